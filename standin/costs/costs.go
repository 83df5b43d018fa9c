// Package costs measures the processor time and network traffic of the platform clients against the stand-in.
package costs

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/bench"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/table"
	"github.com/sardineline/sardineline/standin/faults"
	"github.com/sardineline/sardineline/standin/tables"
)

// Config configures the measurements.
type Config struct {
	// Endpoint is the URL of the table service of a stand-in in another process, so that only the client's processor
	// time is counted. If it is empty, the service runs in this process and both sides are counted.
	Endpoint string
	// Calls is the number of calls per figure; 0 means 2,000.
	Calls int
	// ListSizes are the numbers of items in the partitions that are listed; nil means 1,000, 5,000 and 17,000.
	ListSizes []int
	// FleetSizes are the numbers of workers in the fleet; nil means 50, 500 and 3,400.
	FleetSizes []int
	// LostAnswers is the number of writes with a lost response, ten times that of writes with a late one; 0 means 50.
	LostAnswers int
}

// Defaults of Config, and a rate limit that no measurement reaches.
const (
	defaultCalls       = 2000
	defaultLostAnswers = 50
	unlimitedRate      = 1e9
)

// tableBench is a table client under measurement, with its table service if that runs in this process.
type tableBench struct {
	trafficMeter
	client *table.Client
	faults *faults.Set
	server *http.Server
	group  errgroup.Group
}

func (c Config) withDefaults() Config {
	if c.Calls == 0 {
		c.Calls = defaultCalls
	}
	if c.ListSizes == nil {
		c.ListSizes = []int{1000, 5000, 17000}
	}
	if c.FleetSizes == nil {
		c.FleetSizes = []int{50, 500, 3400}
	}
	if c.LostAnswers == 0 {
		c.LostAnswers = defaultLostAnswers
	}
	return c
}

// MeasureTable measures the table client.
func MeasureTable(ctx context.Context, config Config) ([]bench.Figure, error) {
	config = config.withDefaults()
	b := &tableBench{faults: faults.New(1)}
	if err := b.open(config.Endpoint); err != nil {
		return nil, err
	}
	figures, err := b.measureAll(ctx, config)
	return figures, errors.Join(err, b.close())
}

// open creates the client, and starts a table service on loopback if endpoint is empty.
func (b *tableBench) open(endpoint string) error {
	if endpoint == "" {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fault.Wrap(err, fault.Internal, "listen", "")
		}
		b.server = &http.Server{Handler: tables.New(tables.Config{Faults: b.faults}), ReadHeaderTimeout: time.Minute}
		b.group.Go(func() error { return b.server.Serve(listener) })
		endpoint = "http://" + listener.Addr().String()
	}
	client, err := table.New(table.Config{
		Endpoint:         endpoint,
		Dial:             b.dial,
		ReadsPerSecond:   unlimitedRate,
		WritesPerSecond:  unlimitedRate,
		RetriesPerSecond: unlimitedRate,
	})
	b.client = client
	return err
}

func (b *tableBench) close() error {
	b.client.Close()
	if b.server == nil {
		return nil
	}
	err := b.server.Close()
	if serveErr := b.group.Wait(); !errors.Is(serveErr, http.ErrServerClosed) {
		return errors.Join(err, serveErr)
	}
	return err
}
