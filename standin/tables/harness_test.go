package tables_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/table"
	"github.com/sardineline/sardineline/standin/faults"
	"github.com/sardineline/sardineline/standin/inmem"
	"github.com/sardineline/sardineline/standin/tables"
)

// address is the address of the service on the in-process network.
const address = "table:1"

// harness is a table service on an in-process network, with its faults.
type harness struct {
	network inmem.Network
	faults  *faults.Set
	service *tables.Service
	server  *inmem.Server
}

// newHarness starts a table service that records writes and ends its pages at 100 bytes. seed seeds the random choices
// of its faults.
func newHarness(seed uint64) (*harness, error) {
	h := &harness{faults: faults.New(seed)}
	h.service = tables.New(tables.Config{Faults: h.faults, RecordWrites: true, PageBytes: 100})
	server, err := h.network.Serve(address, h.service)
	h.server = server
	return h, err
}

// client creates a client of the table service.
func (h *harness) client(config table.Config) (*table.Client, error) {
	config.Endpoint = "http://" + address
	config.Dial = h.network.DialContext
	return table.New(config)
}

// startService creates a harness and a client, which are closed at the end of the test.
func startService(t *testing.T) (*harness, *table.Client) {
	t.Helper()
	h, err := newHarness(1)
	assert.NilError(t, err)
	c, err := h.client(table.Config{})
	assert.NilError(t, err)
	t.Cleanup(func() {
		c.Close()
		assert.NilError(t, h.server.Close())
	})
	return h, c
}

// put returns a put of an item in partition p with a sort key, a body and a condition.
func put(sort, body string, cond table.Condition) table.Put {
	return table.Put{Key: table.Key{Partition: "p", Sort: sort}, Body: []byte(body), If: cond}
}

// apply writes a batch in one call with the priority of decisions, which the client's rate limit applies to.
func apply(t *testing.T, c *table.Client, batch ...table.Write) error {
	t.Helper()
	return c.Apply(context.Background(), table.DecisionPriority, batch...)
}
