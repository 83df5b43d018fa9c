package main

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/domain"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/lease"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/worker"
)

// processMark separates an instance's name from the mark of its process in the holder of a lease.
const processMark = "@"

// hopelessAfter is how long an accepted job that could not run even in a free domain waits before it fails. A rack or
// a data centre that was lost is mostly back within it.
const hopelessAfter = time.Hour

// keptLease is a domain lease that is renewed until it is released.
type keptLease struct {
	*lease.Lease
	group *errgroup.Group
	stop  context.CancelFunc
}

// keep renews a lease until it is released.
func keep(held *lease.Lease) *keptLease {
	ctx, stop := context.WithCancel(context.Background())
	k := &keptLease{Lease: held, group: &errgroup.Group{}, stop: stop}
	k.group.Go(func() error { return held.KeepAlive(ctx) })
	return k
}

// Release ends the renewals and gives the lease up.
func (k *keptLease) Release(ctx context.Context) error {
	k.stop()
	_ = k.group.Wait()
	return k.Lease.Release(ctx)
}

// newDomains makes the contender for domains.
func (d *daemon) newDomains() {
	leases := lease.New(lease.Config{
		Store:    d.store,
		Instance: ident.Instance(d.settings.Instance + processMark + strconv.FormatInt(time.Now().UnixNano(), 36)),
		Logger:   d.log.Named("lease"),
	})
	transport := worker.NewTransport()
	transport.DialContext = d.traffic.dialer("worker")
	open := opener{daemon: d, client: &http.Client{Transport: transport}}
	d.domains = domain.New(domain.Config{
		Self:   d.roster.Self(),
		Roster: d.roster,
		Peers:  d.link,
		AcquireLease: func(ctx context.Context, dc ident.DataCentre) (domain.Lease, error) {
			held, err := leases.Acquire(ctx, dc)
			if err != nil {
				return nil, err
			}
			return keep(held), nil
		},
		ReadHolder: func(ctx context.Context, dc ident.DataCentre) (ident.Instance, error) {
			holding, err := leases.Read(ctx, dc)
			name, _, _ := strings.Cut(string(holding.Holder), processMark)
			return ident.Instance(name), err
		},
		NewScheduler: open.open,
		Logger:       d.log.Named("domain"),
	})
}

// opener makes the schedulers of domains.
type opener struct {
	daemon *daemon
	client *http.Client
}

func (o opener) open(dc ident.DataCentre, held domain.Lease) domain.Scheduler {
	return gang.New(gang.Config{
		DataCentre:   dc,
		Store:        o.daemon.store,
		Lease:        held.(*keptLease).Lease,
		Engine:       place.New(place.Config{UnschedulableTimeout: hopelessAfter}),
		WorkerClient: o.worker,
		Archive:      o.daemon.archive,
		Logger:       o.daemon.log.Named("gang"),
		Registerer:   o.daemon.registry,
	})
}

func (o opener) worker(name ident.Worker, address string) worker.Client {
	return worker.New(worker.Config{Worker: name, Address: address, HTTP: o.client})
}
