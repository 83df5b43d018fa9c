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

// processSeparator separates, in the holder of a lease, the name of an instance from the id of its process. Thus a
// restarted instance is another holder.
const processSeparator = "@"

// unschedulableTimeout is how long a job waits that would not fit into its domain even if no other job ran there,
// before the job fails. Most outages of a rack or a data centre are shorter.
const unschedulableTimeout = time.Hour

// renewedLease is a domain lease that is renewed in the background until it is released.
type renewedLease struct {
	*lease.Lease
	renewals     *errgroup.Group
	stopRenewals context.CancelFunc
}

// startRenewals starts to renew a domain lease in the background.
func startRenewals(domainLease *lease.Lease) *renewedLease {
	ctx, stop := context.WithCancel(context.Background())
	renewed := &renewedLease{Lease: domainLease, renewals: &errgroup.Group{}, stopRenewals: stop}
	renewed.renewals.Go(func() error { return domainLease.KeepAlive(ctx) })
	return renewed
}

// Release ends the renewals and then releases the lease.
func (l *renewedLease) Release(ctx context.Context) error {
	l.stopRenewals()
	_ = l.renewals.Wait()
	return l.Lease.Release(ctx)
}

// newDomains creates the manager that acquires the leases of domains and runs the scheduler of each domain that this
// instance holds.
func (d *daemon) newDomains() {
	process := ident.Instance(d.settings.Instance + processSeparator + strconv.FormatInt(time.Now().UnixNano(), 36))
	leaseManager := lease.New(lease.Config{
		Store:    d.store,
		Instance: process,
		IsPredecessor: func(holder ident.Instance) bool {
			return holder != process && instanceOf(holder) == ident.Instance(d.settings.Instance)
		},
		Logger: d.log.Named("lease"),
	})
	transport := worker.NewTransport()
	transport.DialContext = d.traffic.dialer("worker")
	factory := schedulerFactory{daemon: d, client: &http.Client{Transport: transport}}
	d.domains = domain.New(domain.Config{
		Self:   d.roster.Self(),
		Roster: d.roster,
		Peers:  d.link,
		AcquireLease: func(ctx context.Context, dc ident.DataCentre) (domain.Lease, error) {
			acquired, err := leaseManager.Acquire(ctx, dc)
			if err != nil {
				return nil, err
			}
			return startRenewals(acquired), nil
		},
		ReadHolder: func(ctx context.Context, dc ident.DataCentre) (ident.Instance, error) {
			record, err := leaseManager.Read(ctx, dc)
			return instanceOf(record.Holder), err
		},
		NewScheduler: factory.newScheduler,
		Logger:       d.log.Named("domain"),
	})
}

// instanceOf returns the name of the instance whose process holds a lease.
func instanceOf(holder ident.Instance) ident.Instance {
	name, _, _ := strings.Cut(string(holder), processSeparator)
	return ident.Instance(name)
}

// schedulerFactory creates the schedulers of domains. They share one HTTP client for calls to workers.
type schedulerFactory struct {
	daemon *daemon
	client *http.Client
}

// newScheduler creates the scheduler of the domain dc, whose lease this instance holds.
func (f schedulerFactory) newScheduler(dc ident.DataCentre, domainLease domain.Lease) domain.Scheduler {
	return gang.New(gang.Config{
		DataCentre:   dc,
		Store:        f.daemon.store,
		Lease:        domainLease.(*renewedLease).Lease,
		Engine:       place.New(place.Config{UnschedulableTimeout: unschedulableTimeout}),
		WorkerClient: f.newWorkerClient,
		Archive:      f.daemon.archive,
		Logger:       f.daemon.log.Named("gang"),
		Registerer:   f.daemon.registry,
	})
}

// newWorkerClient creates a client for the worker with a name and an address.
func (f schedulerFactory) newWorkerClient(name ident.Worker, address string) worker.Client {
	return worker.New(worker.Config{Worker: name, Address: address, HTTP: f.client})
}
