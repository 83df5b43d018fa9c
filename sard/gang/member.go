package gang

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/worker"
)

// member is a worker of the domain. It is guarded by the domain's mu.
type member struct {
	name    ident.Worker
	address string
	client  worker.Client
	// listed tells that the worker is in the topology.
	listed bool
	// watched tells that a poll loop runs.
	watched bool
	// fenced tells that the worker has accepted this epoch and said what it runs.
	fenced bool
	// lost tells that the engine counts the worker as lost.
	lost bool
	// accepted is when the last call was sent that the worker accepted under this epoch; heard is when its answer
	// came.
	accepted, heard time.Time
	// seen is the sequence of the last report of a poll.
	seen uint64
	// shares are the parts of attempts on this worker.
	shares map[*share]struct{}
	// failing tells that the last poll failed; the next one does not wait at the worker.
	failing bool
	// forget are ended parts whose attempts are over, so that the worker need not report them any more.
	forget []worker.Part
	// strays are unknown parts that are being stopped.
	strays map[worker.Part]bool
}

// list adds or updates a worker and starts its poll loop once the domain has recovered. The caller holds mu.
func (d *Scheduler) list(w fleet.Worker) {
	m, ok := d.members[w.Name]
	if !ok {
		m = &member{name: w.Name, heard: time.Now(), shares: map[*share]struct{}{}, strays: map[worker.Part]bool{}}
		d.members[w.Name] = m
	}
	if m.client == nil || m.address != w.Address {
		m.address = w.Address
		m.client = d.config.WorkerClient(w.Name, w.Address)
	}
	m.listed = true
	if d.ready {
		d.watch(m)
	}
}

// member returns a worker, which may have left the list. The caller holds mu.
func (d *Scheduler) member(name ident.Worker) *member {
	m, ok := d.members[name]
	if !ok {
		m = &member{name: name, heard: time.Now(), shares: map[*share]struct{}{}, strays: map[worker.Part]bool{}}
		d.members[name] = m
	}
	return m
}

// watch starts a worker's poll loop. The caller holds mu.
func (d *Scheduler) watch(m *member) {
	if m.watched || m.client == nil {
		return
	}
	m.watched = true
	d.start(func(ctx context.Context) { d.poll(ctx, m) })
}

// poll fences a worker and then renews the leases of its parts and takes its reports in, until the worker is
// neither listed nor used.
func (d *Scheduler) poll(ctx context.Context, m *member) {
	for ctx.Err() == nil && d.wanted(m) {
		if err := d.pollOnce(ctx, m); err != nil {
			d.missed(m, err)
			clock.Sleep(ctx, callPause)
		}
	}
}

func (d *Scheduler) wanted(m *member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m.listed || len(m.shares) > 0 {
		return true
	}
	m.watched, m.fenced = false, false
	return false
}

func (d *Scheduler) pollOnce(ctx context.Context, m *member) error {
	d.mu.Lock()
	client, fenced := m.client, m.fenced
	d.mu.Unlock()
	if !fenced {
		return d.fence(ctx, m, client)
	}
	// A worker that does not hold its answer back is not called again at once.
	early := false
	defer func() {
		if early {
			clock.Sleep(ctx, callPause)
		}
	}()
	req, renewed := d.renewal(m)
	sent := time.Now()
	report, err := client.Renew(ctx, req)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range renewed {
		s.granted(err, longLease)
	}
	if err != nil {
		return err
	}
	early = report.Sequence == req.Seen && time.Since(sent) < callPause
	d.heard(m, sent, report)
	return nil
}

// fence raises the worker's epoch and takes its parts in.
func (d *Scheduler) fence(ctx context.Context, m *member, client worker.Client) error {
	sent := time.Now()
	report, err := client.Fence(ctx, worker.FenceRequest{Domain: d.config.DataCentre, Epoch: d.config.Lease.Epoch()})
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	m.fenced = true
	for s := range m.shares {
		s.adopt(sent)
	}
	d.heard(m, sent, report)
	return nil
}

// renewal makes the poll of a worker: the confirmed parts are renewed while that is safe.
func (d *Scheduler) renewal(m *member) (worker.RenewRequest, []*share) {
	d.mu.Lock()
	defer d.mu.Unlock()
	req := worker.RenewRequest{
		Domain: d.config.DataCentre,
		Epoch:  d.config.Lease.Epoch(),
		Lease:  ident.Duration(longLease),
		Seen:   m.seen,
		Wait:   ident.Duration(pollWait),
		Forget: m.forget,
	}
	if m.failing {
		req.Wait = 0
	}
	if !d.mayRenew() {
		return req, nil
	}
	var renewed []*share
	for s := range m.shares {
		if s.attempt.phase == confirmed && !s.ended() {
			req.Parts = append(req.Parts, s.part)
			renewed = append(renewed, s)
			s.sending()
		}
	}
	return req, renewed
}

// mayRenew tells whether no successor can count on the lapse of leases yet. While the domain lease is lapsed, most
// workers must have accepted this epoch a short while ago: a successor starts to count only when it has fenced
// most workers, and any two majorities share a worker. The caller holds mu.
func (d *Scheduler) mayRenew() bool {
	err := d.config.Lease.Check()
	if err == nil {
		return true
	}
	return !fault.Is(err, fault.Fenced) && d.most(func(m *member) bool {
		return m.fenced && time.Since(m.accepted) < witnessLimit
	})
}

// most tells whether more than half of the listed workers are so. The caller holds mu.
func (d *Scheduler) most(so func(*member) bool) bool {
	listed, count := 0, 0
	for _, m := range d.members {
		if !m.listed {
			continue
		}
		listed++
		if so(m) {
			count++
		}
	}
	return 2*count > listed
}

// heard takes a worker's report in. The caller holds mu.
func (d *Scheduler) heard(m *member, sent time.Time, report worker.Report) {
	m.accepted, m.heard, m.failing = sent, time.Now(), false
	m.seen = report.Sequence
	if d.fencedSince.IsZero() && d.most(func(m *member) bool { return m.fenced }) {
		d.fencedSince = time.Now()
	}
	if m.lost {
		m.lost = false
		d.log.Info("worker back", "Worker", m.name)
		d.apply(place.WorkerRecovered{Worker: m.name})
	}
	m.forget = nil
	if report.Unchanged {
		return
	}
	said := map[worker.Part]worker.PartReport{}
	for _, p := range report.Parts {
		said[p.Part] = p
	}
	for s := range m.shares {
		if !s.report(sent, said) {
			// The next report has to name the parts again.
			m.seen = 0
		}
	}
	for part, p := range said {
		switch {
		case d.expected(m, part):
		case p.State <= ident.PartRunning:
			d.stopStray(m, part)
		default:
			m.forget = append(m.forget, part)
		}
	}
}

// expected tells whether a part on a worker belongs to an attempt that lives. The caller holds mu.
func (d *Scheduler) expected(m *member, part worker.Part) bool {
	for s := range m.shares {
		if s.part == part {
			return true
		}
	}
	return false
}

// stopStray ends a part that belongs to no attempt. The caller holds mu.
func (d *Scheduler) stopStray(m *member, part worker.Part) {
	if m.strays[part] {
		return
	}
	m.strays[part] = true
	client := m.client
	d.log.Warn("stray part stopped", "Worker", m.name, "Job", part.Job, "Attempt", part.Attempt)
	d.start(func(ctx context.Context) {
		req := worker.StopRequest{Domain: d.config.DataCentre, Epoch: d.config.Lease.Epoch(), Part: part}
		if _, err := client.Stop(ctx, req); err != nil {
			d.fail("stop stray part", err)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(m.strays, part)
		m.seen = 0
	})
}

// missed counts a failed poll and gives the worker up when it has not answered for long.
func (d *Scheduler) missed(m *member, err error) {
	d.fail("poll worker", err)
	d.mu.Lock()
	defer d.mu.Unlock()
	m.failing = true
	if m.lost || time.Since(m.heard) < unreachableLimit {
		return
	}
	m.lost, m.fenced = true, false
	d.log.Warn("worker lost", "Worker", m.name, "Error", err)
	for s := range m.shares {
		s.attempt.request(ending{result: place.Requeued, reason: "worker " + string(m.name) + " was lost"})
	}
	d.apply(place.WorkerLost{Worker: m.name})
}

// fail counts a failed call of a worker. A refusal for the epoch means that the lease is lost.
func (d *Scheduler) fail(step string, err error) {
	d.metrics.failed(step)
	if fault.Is(err, fault.Fenced) {
		d.log.Warn("superseded", "Step", step, "Error", err)
		d.config.Lease.MarkLost()
		return
	}
	d.log.Debug("worker call failed", "Step", step, "Error", err)
}
