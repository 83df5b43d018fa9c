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

// The maximum number of reads that are measured per fleet size, and the number of workers in each rack of the simulated
// fleet list, which is also the number of accelerators of each worker.
const (
	maxFleetReads  = 50
	workersPerRack = 8
)

// MeasureFleet measures reading the whole fleet list for each of Config.FleetSizes. The figures include the server
// side, which runs in the same process.
func MeasureFleet(ctx context.Context, config Config) ([]bench.Figure, error) {
	config = config.withDefaults()
	var figures []bench.Figure
	for _, size := range config.FleetSizes {
		results, err := measureFleetRead(ctx, size, min(config.Calls, maxFleetReads))
		if err != nil {
			return nil, err
		}
		figures = append(figures, results...)
	}
	return figures, nil
}

// measureFleetRead measures the given number of reads of a fleet list of size workers.
func measureFleetRead(ctx context.Context, size, reads int) ([]bench.Figure, error) {
	workers := make([]fleet.Worker, size)
	for i := range workers {
		workers[i] = fleet.Worker{
			Name:         ident.Worker(fmt.Sprintf("dc-a-r%d-w%d", i/workersPerRack, i%workersPerRack)),
			Address:      fmt.Sprintf("10.0.%d.%d:7000", i/workersPerRack, i%workersPerRack),
			DataCentre:   "dc-a",
			Rack:         ident.Rack(fmt.Sprintf("dc-a-r%d", i/workersPerRack)),
			Accelerators: workersPerRack,
			Index:        i % workersPerRack,
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "listen", "")
	}
	server := &http.Server{Handler: fleets.New(fleets.Config{Workers: workers}), ReadHeaderTimeout: time.Minute}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	var traffic trafficMeter
	client, err := fleet.New(fleet.Config{Endpoint: "http://" + listener.Addr().String(), Dial: traffic.dial})
	if err != nil {
		return nil, errors.Join(err, server.Close())
	}
	figures, err := traffic.measureCalls(fmt.Sprintf("fleet.read.%d", size), reads, func(int) error {
		_, err := client.Snapshot(ctx)
		return err
	})
	client.Close()
	err = errors.Join(err, server.Close())
	if serveErr := group.Wait(); !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	return figures, err
}
