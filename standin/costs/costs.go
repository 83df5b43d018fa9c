// Package costs measures the processor time and network traffic of the clients of the platform's table service and
// fleet list. It measures calls to the stand-in's simulations of these services.
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

// Config configures the measurements. The zero value selects the defaults.
type Config struct {
	// Endpoint is the URL of the table service of a stand-in in another process, so that only the client's processor
	// time is counted. If it is empty, the service runs in this process and both sides are counted.
	Endpoint string
	// Calls is the number of calls that a figure is averaged over; 0 means 2,000.
	Calls int
	// ListSizes are the numbers of items in the partitions whose listing is measured; nil means 1,000, 5,000 and
	// 17,000.
	ListSizes []int
	// FleetSizes are the numbers of workers in the fleet lists whose reading is measured; nil means 50, 500 and 3,400.
	FleetSizes []int
	// LostAnswers is the number of writes with a lost response that are measured; 0 means 50. A tenth as many writes
	// with a late response are measured.
	LostAnswers int
}

// Defaults of Config, and a limit on the calls per second that no measurement reaches.
const (
	defaultCalls       = 2000
	defaultLostAnswers = 50
	unlimitedRate      = 1e9
)

// tableBench is the table client that is measured and, unless the table service runs in another process, the server of
// that service.
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

// MeasureTable measures the calls of the table client: puts, gets, transactions, lists, concurrent writes and writes
// with a lost or late response.
func MeasureTable(ctx context.Context, config Config) ([]bench.Figure, error) {
	config = config.withDefaults()
	b := &tableBench{faults: faults.New(1)}
	if err := b.open(config.Endpoint); err != nil {
		return nil, err
	}
	figures, err := b.measureAll(ctx, config)
	return figures, errors.Join(err, b.close())
}

// open creates the table client for endpoint. If endpoint is empty, it starts a table service on loopback first.
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
