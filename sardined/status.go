package main

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/config"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/oper"
	"github.com/sardineline/sardineline/sard/peer"
	"github.com/sardineline/sardineline/sard/roster"
)

// statusTimeout limits the time to query the status of one instance.
const statusTimeout = 2 * time.Second

// ownStatus returns the status of this instance, as other instances can query it.
func (d *daemon) ownStatus() peer.Status {
	s := peer.Status{
		Member:   d.roster.Self(),
		Report:   d.agent.Report(),
		Domains:  d.domains.HeldDomains(),
		Servers:  d.router.LeavingServers(),
		Breaches: d.violationCount(),
	}
	if err := d.checkReady(); err != nil {
		s.NotReady = err.Error()
	}
	return s
}

// memberReply is the status of a member, or the error of the query.
type memberReply struct {
	member roster.Member
	status peer.Status
	err    error
}

// queryMembers queries the status of all members, including this instance.
func (d *daemon) queryMembers(ctx context.Context) []memberReply {
	members := d.roster.Members()
	replies := make([]memberReply, len(members))
	var group errgroup.Group
	for i, m := range members {
		group.Go(func() error {
			replies[i] = d.queryMember(ctx, m)
			return nil
		})
	}
	_ = group.Wait()
	return replies
}

// queryMember queries the status of one member.
func (d *daemon) queryMember(ctx context.Context, m roster.Member) memberReply {
	if m.Name == d.roster.Self().Name {
		return memberReply{member: m, status: d.ownStatus()}
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	reply, err := d.link.Call(ctx, m.Address, peer.StatusQuery{})
	if err != nil {
		return memberReply{member: m, err: err}
	}
	status, ok := reply.(peer.Status)
	if !ok {
		return memberReply{member: m, err: unexpectedMessageError(m.Name, reply)}
	}
	return memberReply{member: m, status: status}
}

// Status queries all members and returns the status of all instances and domains, as the operators' API shows it.
func (d *daemon) Status(ctx context.Context) (oper.StatusView, error) {
	report := d.agent.Report()
	view := oper.StatusView{Version: report.Version, Digest: report.Digest}
	for _, reply := range d.queryMembers(ctx) {
		view.Instances = append(view.Instances, instanceStatus(reply))
		view.Breaches += reply.status.Breaches
		view.LeavingServers = append(view.LeavingServers, reply.status.Servers...)
		for _, dom := range reply.status.Domains {
			addDomain(&view, reply.member.Name, dom)
		}
	}
	slices.Sort(view.LeavingServers)
	view.LeavingServers = slices.Compact(view.LeavingServers)
	d.addUnheldDomains(&view)
	return view, nil
}

// addDomain adds to view a domain that the instance holder holds, and the guarantees that lack capacity there.
func addDomain(view *oper.StatusView, holder ident.Instance, dom peer.DomainStatus) {
	view.Domains = append(view.Domains, oper.DomainStatus{
		DataCentre: dom.DataCentre, Holder: holder, Epoch: dom.Epoch, Summary: dom.Summary,
	})
	for _, s := range dom.Summary.Shortages {
		view.Shortages = append(view.Shortages, oper.ShortageStatus{DataCentre: dom.DataCentre, Shortage: s})
	}
}

// addUnheldDomains adds to view the domains that no queried instance holds.
func (d *daemon) addUnheldDomains(view *oper.StatusView) {
	for _, dc := range d.domains.Domains() {
		held := slices.ContainsFunc(view.Domains, func(s oper.DomainStatus) bool { return s.DataCentre == dc })
		if !held {
			view.Domains = append(view.Domains, oper.DomainStatus{DataCentre: dc})
		}
	}
}

// instanceStatus converts the reply of a member into the form of the operators' API.
func instanceStatus(reply memberReply) oper.InstanceStatus {
	s := oper.InstanceStatus{
		Name:       reply.member.Name,
		Address:    reply.member.Address,
		DataCentre: reply.member.DataCentre,
		State:      reply.member.Status.String(),
		NotReady:   reply.status.NotReady,
		Version:    reply.status.Report.Version,
		Digest:     reply.status.Report.Digest,
		InForceFor: reply.status.Report.InForceFor,
		Breaches:   reply.status.Breaches,
	}
	for _, dom := range reply.status.Domains {
		s.Domains = append(s.Domains, dom.DataCentre)
	}
	if reply.err != nil {
		s.NotReady = reply.err.Error()
	}
	return s
}

// survey collects the reports of all members on the documents that they have in force, and the names of the members
// that did not answer.
func (d *daemon) survey(ctx context.Context) (config.Survey, error) {
	var s config.Survey
	for _, reply := range d.queryMembers(ctx) {
		if reply.err != nil {
			s.Missing = append(s.Missing, reply.member.Name)
			continue
		}
		s.Reports = append(s.Reports, reply.status.Report)
	}
	return s, nil
}

// Drain starts the graceful shutdown of the instance with the given name, which may be another one.
func (d *daemon) Drain(ctx context.Context, name ident.Instance) error {
	if name == d.roster.Self().Name {
		d.requestShutdown()
		return nil
	}
	m, ok := d.roster.Lookup(name)
	if !ok {
		return fault.New(fault.NotFound, "drain instance", "", "no instance %q", name)
	}
	_, err := d.link.Call(ctx, m.Address, peer.Drain{})
	return err
}
