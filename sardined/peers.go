package main

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/config"
	"github.com/sardineline/sardineline/sard/domain"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/peer"
	"github.com/sardineline/sardineline/sard/roster"
	"github.com/sardineline/sardineline/sard/route"
)

const (
	// heartbeatRoundTimeout limits the time to send one round of heartbeats.
	heartbeatRoundTimeout = time.Second
	// maxConcurrentHeartbeats is the maximum number of heartbeats of a round that are sent at the same time.
	maxConcurrentHeartbeats = 16
)

// peerClient calls other instances for the agent that distributes documents.
type peerClient struct {
	roster *roster.Roster
	link   *peer.Transport
}

// Neighbours returns the names of the other instances that are not lost.
func (c peerClient) Neighbours() []ident.Instance {
	var names []ident.Instance
	for _, m := range c.others() {
		names = append(names, m.Name)
	}
	return names
}

// others returns all members except this instance.
func (c peerClient) others() []roster.Member {
	self := c.roster.Self().Name
	var others []roster.Member
	for _, m := range c.roster.Members() {
		if m.Name != self {
			others = append(others, m)
		}
	}
	return others
}

// Exchange sends this instance's report on its document in force to another instance and returns that instance's
// report.
func (c peerClient) Exchange(ctx context.Context, name ident.Instance, own config.Report) (config.Report, error) {
	reply, err := c.call(ctx, name, peer.Exchange{Report: own})
	if err != nil {
		return config.Report{}, err
	}
	exchange, ok := reply.(peer.Exchange)
	if !ok {
		return config.Report{}, unexpectedMessageError(name, reply)
	}
	return exchange.Report, nil
}

// Fetch returns the record of a version of the document that is in force on another instance.
func (c peerClient) Fetch(ctx context.Context, name ident.Instance, version ident.Version) ([]byte, error) {
	reply, err := c.call(ctx, name, peer.Fetch{Version: version})
	if err != nil {
		return nil, err
	}
	record, ok := reply.(peer.Record)
	if !ok {
		return nil, unexpectedMessageError(name, reply)
	}
	return record.Record, nil
}

// call sends a message to another instance and returns the reply.
func (c peerClient) call(ctx context.Context, name ident.Instance, msg peer.Message) (peer.Message, error) {
	member, ok := c.roster.Lookup(name)
	if !ok {
		return nil, fault.New(fault.Unavailable, "find instance", "instance "+string(name), "not a live member")
	}
	return c.link.Call(ctx, member.Address, msg)
}

// unexpectedMessageError returns the error for a reply of an unexpected message type from another instance.
func unexpectedMessageError(name ident.Instance, m peer.Message) error {
	return fault.New(fault.Internal, "read reply", "instance "+string(name), "unexpected message %T", m)
}

// peerHandler handles the messages that other instances send over the peer link.
type peerHandler struct {
	roster  *roster.Roster
	agent   *config.Agent
	router  *route.Router
	domains *domain.Manager
	status  func() peer.Status
	drain   func()
}

// Serve handles a message and returns the reply.
func (h *peerHandler) Serve(ctx context.Context, m peer.Message) (peer.Message, error) {
	switch m := m.(type) {
	case peer.Heartbeat:
		for _, server := range h.roster.HandleHeartbeat(m.Heartbeat) {
			h.router.MarkServerLeaving(server)
		}
		return peer.Done{}, nil
	case peer.Exchange:
		return peer.Exchange{Report: h.agent.Exchange(m.Report)}, nil
	case peer.Fetch:
		record, err := h.agent.EncodedRecord(m.Version)
		return peer.Record{Record: record}, err
	case peer.StatusQuery:
		return h.status(), nil
	case peer.Drain:
		h.drain()
		return peer.Done{}, nil
	}
	return h.domains.Serve(ctx, m)
}

// runHeartbeats periodically sends heartbeats to other instances and updates the list of instances in the router, until
// ctx is cancelled.
func (d *daemon) runHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(d.roster.Period())
	defer ticker.Stop()
	for {
		d.updateRouterInstances()
		d.sendHeartbeats(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// sendHeartbeats sends to other instances the heartbeats that are due in this period.
func (d *daemon) sendHeartbeats(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatRoundTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxConcurrentHeartbeats)
	for _, due := range d.roster.Tick(d.domains.OwnLoads()) {
		group.Go(func() error {
			err := d.link.Send(ctx, due.To.Address, peer.Heartbeat{Heartbeat: due.Heartbeat})
			if err != nil {
				d.log.Debug("heartbeat not sent", "peer", due.To.Name, "error", err)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// updateRouterInstances passes the names of all members to the router, which divides the backend servers among them.
func (d *daemon) updateRouterInstances() {
	var live []ident.Instance
	for _, m := range d.roster.Members() {
		live = append(live, m.Name)
	}
	d.router.SetInstances(d.roster.Self().Name, live)
}
