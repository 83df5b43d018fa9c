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

// statusTimeout bounds the question to each instance for its status.
const statusTimeout = 2 * time.Second

// ownStatus returns this instance's state.
func (d *daemon) ownStatus() peer.Status {
	s := peer.Status{
		Member:   d.roster.Self(),
		Report:   d.agent.Report(),
		Domains:  d.domains.HeldDomains(),
		Servers:  d.router.LeavingServers(),
		Breaches: d.breaches(),
	}
	if err := d.ready(); err != nil {
		s.NotReady = err.Error()
	}
	return s
}

// answer is what one member said of its state; a member that did not answer has an Err.
type answer struct {
	member roster.Member
	status peer.Status
	err    error
}

// ask asks all members for their state.
func (d *daemon) ask(ctx context.Context) []answer {
	members := d.roster.Members()
	answers := make([]answer, len(members))
	var group errgroup.Group
	for i, m := range members {
		group.Go(func() error {
			answers[i] = d.askOne(ctx, m)
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

func (d *daemon) askOne(ctx context.Context, m roster.Member) answer {
	if m.Name == d.roster.Self().Name {
		return answer{member: m, status: d.ownStatus()}
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	reply, err := d.link.Call(ctx, m.Address, peer.StatusQuery{})
	if err != nil {
		return answer{member: m, err: err}
	}
	status, ok := reply.(peer.Status)
	if !ok {
		return answer{member: m, err: unexpected(m.Name, reply)}
	}
	return answer{member: m, status: status}
}

// Status gathers the state of the whole system.
func (d *daemon) Status(ctx context.Context) (oper.StatusView, error) {
	report := d.agent.Report()
	view := oper.StatusView{Version: report.Version, Digest: report.Digest}
	for _, a := range d.ask(ctx) {
		view.Instances = append(view.Instances, instanceStatus(a))
		view.Breaches += a.status.Breaches
		view.LeavingServers = append(view.LeavingServers, a.status.Servers...)
		for _, dom := range a.status.Domains {
			addDomain(&view, a.member.Name, dom)
		}
	}
	slices.Sort(view.LeavingServers)
	view.LeavingServers = slices.Compact(view.LeavingServers)
	d.addUnheld(&view)
	return view, nil
}

func addDomain(view *oper.StatusView, holder ident.Instance, dom peer.DomainStatus) {
	view.Domains = append(view.Domains, oper.DomainStatus{
		DataCentre: dom.DataCentre, Holder: holder, Epoch: dom.Epoch, Summary: dom.Summary,
	})
	for _, s := range dom.Summary.Shortages {
		view.Shortages = append(view.Shortages, oper.ShortageStatus{DataCentre: dom.DataCentre, Shortage: s})
	}
}

// addUnheld adds the domains that no instance answered for.
func (d *daemon) addUnheld(view *oper.StatusView) {
	for _, dc := range d.domains.Domains() {
		held := slices.ContainsFunc(view.Domains, func(s oper.DomainStatus) bool { return s.DataCentre == dc })
		if !held {
			view.Domains = append(view.Domains, oper.DomainStatus{DataCentre: dc})
		}
	}
}

func instanceStatus(a answer) oper.InstanceStatus {
	s := oper.InstanceStatus{
		Name:       a.member.Name,
		Address:    a.member.Address,
		DataCentre: a.member.DataCentre,
		State:      a.member.Status.String(),
		NotReady:   a.status.NotReady,
		Version:    a.status.Report.Version,
		Digest:     a.status.Report.Digest,
		InForceFor: a.status.Report.InForceFor,
		Breaches:   a.status.Breaches,
	}
	for _, dom := range a.status.Domains {
		s.Domains = append(s.Domains, dom.DataCentre)
	}
	if a.err != nil {
		s.NotReady = a.err.Error()
	}
	return s
}

// survey asks all instances for their configuration reports.
func (d *daemon) survey(ctx context.Context) (config.Survey, error) {
	var s config.Survey
	for _, a := range d.ask(ctx) {
		if a.err != nil {
			s.Missing = append(s.Missing, a.member.Name)
			continue
		}
		s.Reports = append(s.Reports, a.status.Report)
	}
	return s, nil
}

// Drain has an instance stop by plan.
func (d *daemon) Drain(ctx context.Context, name ident.Instance) error {
	if name == d.roster.Self().Name {
		d.stop()
		return nil
	}
	m, ok := d.roster.Lookup(name)
	if !ok {
		return fault.New(fault.NotFound, "drain instance", "", "no instance %q", name)
	}
	_, err := d.link.Call(ctx, m.Address, peer.Drain{})
	return err
}
