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

const address = "table:1"

// rig is a table service on a network of pipes.
type rig struct {
	network inmem.Network
	faults  *faults.Set
	service *tables.Service
	server  *inmem.Server
}

func newRig(seed uint64) (*rig, error) {
	r := &rig{faults: faults.New(seed)}
	r.service = tables.New(tables.Config{Faults: r.faults, RecordWrites: true, PageBytes: 100})
	server, err := r.network.Serve(address, r.service)
	r.server = server
	return r, err
}

func (r *rig) client(config table.Config) (*table.Client, error) {
	config.Endpoint = "http://" + address
	config.Dial = r.network.DialContext
	return table.New(config)
}

// start makes a rig and a client that end with the test.
func start(t *testing.T) (*rig, *table.Client) {
	t.Helper()
	r, err := newRig(1)
	assert.NilError(t, err)
	c, err := r.client(table.Config{})
	assert.NilError(t, err)
	t.Cleanup(func() {
		c.Close()
		assert.NilError(t, r.server.Close())
	})
	return r, c
}

func put(sort, body string, cond table.Condition) table.Put {
	return table.Put{Key: table.Key{Partition: "p", Sort: sort}, Body: []byte(body), If: cond}
}

func apply(t *testing.T, c *table.Client, batch ...table.Write) error {
	t.Helper()
	return c.Apply(context.Background(), table.DecisionPriority, batch...)
}
