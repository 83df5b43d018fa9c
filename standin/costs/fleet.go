package costs

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/bench"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/standin/fleets"
)

const (
	fleetReads = 50
	rackSize   = 8
)

// MeasureFleet measures the whole reading of the list against its number of workers. Both ends are in this process.
func MeasureFleet(ctx context.Context, config Config) ([]bench.Figure, error) {
	config = config.withDefaults()
	var figures []bench.Figure
	for _, size := range config.FleetSizes {
		found, err := readFleet(ctx, size, min(config.Calls, fleetReads))
		if err != nil {
			return nil, err
		}
		figures = append(figures, found...)
	}
	return figures, nil
}

func readFleet(ctx context.Context, size, reads int) ([]bench.Figure, error) {
	workers := make([]fleet.Worker, size)
	for i := range workers {
		workers[i] = fleet.Worker{
			Name:         ident.Worker(fmt.Sprintf("dc-a-r%d-w%d", i/rackSize, i%rackSize)),
			Address:      fmt.Sprintf("10.0.%d.%d:7000", i/rackSize, i%rackSize),
			DataCentre:   "dc-a",
			Rack:         ident.Rack(fmt.Sprintf("dc-a-r%d", i/rackSize)),
			Accelerators: rackSize,
			Index:        i % rackSize,
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "listen", "")
	}
	s := &http.Server{Handler: fleets.New(fleets.Config{Workers: workers}), ReadHeaderTimeout: time.Minute}
	var group errgroup.Group
	group.Go(func() error { return s.Serve(l) })
	var m meter
	client, err := fleet.New(fleet.Config{Endpoint: "http://" + l.Addr().String(), Dial: m.dial})
	if err != nil {
		return nil, errors.Join(err, s.Close())
	}
	figures, err := m.costs(fmt.Sprintf("fleet.read.%d", size), reads, func(int) error {
		_, err := client.Snapshot(ctx)
		return err
	})
	client.Close()
	err = errors.Join(err, s.Close())
	if served := group.Wait(); !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, served)
	}
	return figures, err
}
