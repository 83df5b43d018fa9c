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
	// heartbeatTimeout bounds the sending of one heartbeat.
	heartbeatTimeout = time.Second
	// maxHeartbeats bounds the heartbeats that are sent at a time.
	maxHeartbeats = 16
)

// neighbours are the other instances, as the configuration agent calls them.
type neighbours struct {
	roster *roster.Roster
	link   *peer.Transport
}

// Neighbours lists the other instances that are not lost.
func (n neighbours) Neighbours() []ident.Instance {
	var names []ident.Instance
	for _, m := range n.others() {
		names = append(names, m.Name)
	}
	return names
}

func (n neighbours) others() []roster.Member {
	self := n.roster.Self().Name
	var others []roster.Member
	for _, m := range n.roster.Members() {
		if m.Name != self {
			others = append(others, m)
		}
	}
	return others
}

// Exchange sends this instance's report to a peer and returns the peer's.
func (n neighbours) Exchange(ctx context.Context, name ident.Instance, mine config.Report) (config.Report, error) {
	reply, err := n.call(ctx, name, peer.Exchange{Report: mine})
	if err != nil {
		return config.Report{}, err
	}
	theirs, ok := reply.(peer.Exchange)
	if !ok {
		return config.Report{}, unexpected(name, reply)
	}
	return theirs.Report, nil
}

// Fetch returns the record of an accepted document that a peer has in force.
func (n neighbours) Fetch(ctx context.Context, name ident.Instance, version ident.Version) ([]byte, error) {
	reply, err := n.call(ctx, name, peer.Fetch{Version: version})
	if err != nil {
		return nil, err
	}
	record, ok := reply.(peer.Record)
	if !ok {
		return nil, unexpected(name, reply)
	}
	return record.Record, nil
}

func (n neighbours) call(ctx context.Context, name ident.Instance, m peer.Message) (peer.Message, error) {
	member, ok := n.roster.Lookup(name)
	if !ok {
		return nil, fault.New(fault.Unavailable, "find instance", "instance "+string(name), "not a live member")
	}
	return n.link.Call(ctx, member.Address, m)
}

func unexpected(name ident.Instance, m peer.Message) error {
	return fault.New(fault.Internal, "read reply", "instance "+string(name), "unexpected message %T", m)
}

// handler serves the calls of peers.
type handler struct {
	roster  *roster.Roster
	agent   *config.Agent
	router  *route.Router
	domains *domain.Manager
	status  func() peer.Status
	drain   func()
}

// Serve answers a peer's message.
func (h *handler) Serve(ctx context.Context, m peer.Message) (peer.Message, error) {
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

// heartbeats sends a round of heartbeats each period until ctx ends, and tells the router who is live.
func (d *daemon) heartbeats(ctx context.Context) error {
	ticker := time.NewTicker(d.roster.Period())
	defer ticker.Stop()
	for {
		d.shareServers()
		d.round(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *daemon) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxHeartbeats)
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

// shareServers tells the router which instances share the connections to the backend servers.
func (d *daemon) shareServers() {
	var live []ident.Instance
	for _, m := range d.roster.Members() {
		live = append(live, m.Name)
	}
	d.router.SetInstances(d.roster.Self().Name, live)
}
