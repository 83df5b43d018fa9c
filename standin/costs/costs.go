// Package costs measures what the clients of the platform cost their process and the network against the stand-in.
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

// Config tells what to measure.
type Config struct {
	// Endpoint is the URL of a stand-in's table service in another process, so that only the client's end is
	// counted. When it is empty, one is served in this process and both ends are counted.
	Endpoint string
	// Calls is the number of calls of a figure; 0 means 2,000.
	Calls int
	// ListSizes are the sizes of the lists; nil means 1,000, 5,000 and 17,000.
	ListSizes []int
	// FleetSizes are the sizes of the fleet; nil means 50, 500 and 3,400.
	FleetSizes []int
	// LostAnswers is the number of lost answers, ten times that of late ones; 0 means 50.
	LostAnswers int
}

const (
	defaultCalls   = 2000
	defaultSettles = 50
	unlimited      = 1e9
)

// rig is a client with a table service, when it is in this process.
type rig struct {
	meter
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
		c.LostAnswers = defaultSettles
	}
	return c
}

// MeasureTable measures the table's client.
func MeasureTable(ctx context.Context, config Config) ([]bench.Figure, error) {
	config = config.withDefaults()
	b := &rig{faults: faults.New(1)}
	if err := b.open(config.Endpoint); err != nil {
		return nil, err
	}
	figures, err := b.measure(ctx, config)
	return figures, errors.Join(err, b.close())
}

func (b *rig) open(endpoint string) error {
	if endpoint == "" {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fault.Wrap(err, fault.Internal, "listen", "")
		}
		b.server = &http.Server{Handler: tables.New(tables.Config{Faults: b.faults}), ReadHeaderTimeout: time.Minute}
		b.group.Go(func() error { return b.server.Serve(l) })
		endpoint = "http://" + l.Addr().String()
	}
	client, err := table.New(table.Config{
		Endpoint:         endpoint,
		Dial:             b.dial,
		ReadsPerSecond:   unlimited,
		WritesPerSecond:  unlimited,
		RetriesPerSecond: unlimited,
	})
	b.client = client
	return err
}

func (b *rig) close() error {
	b.client.Close()
	if b.server == nil {
		return nil
	}
	err := b.server.Close()
	if served := b.group.Wait(); !errors.Is(served, http.ErrServerClosed) {
		return errors.Join(err, served)
	}
	return err
}
