package setup_test

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/standin/setup"
)

func TestWorkloadFiles(t *testing.T) {
	tests := []struct {
		name             string
		workers, servers int
		lastWorker       string
		lastServer       string
	}{
		{"kowhai", 50, 50, "127.0.0.1:21149", "127.0.0.1:21549"},
		{"observatory", 50, 50, "127.0.0.1:21149", "127.0.0.1:21549"},
		{"demo", 6, 6, "127.0.0.1:21105", "127.0.0.1:21505"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env, err := setup.Load(filepath.Join("..", "..", "workloads", tt.name+".yaml"))
			assert.NilError(t, err)
			assert.Equal(t, len(env.DataCentres), 3)
			f := env.FleetSnapshot(setup.Ports{Host: "127.0.0.1", Base: 21000})
			assert.Equal(t, len(f.Workers), tt.workers)
			assert.Equal(t, len(f.Servers), tt.servers)
			assert.Equal(t, f.Workers[tt.workers-1].Address, tt.lastWorker)
			assert.Equal(t, f.Servers[tt.servers-1].Address, tt.lastServer)
			assert.Equal(t, f.Servers[0].Slots, 8)
			assert.Equal(t, f.Servers[0].Connections, 60)
			for _, w := range f.Workers {
				assert.Equal(t, int(w.Accelerators), 8)
				assert.Assert(t, w.Index < 8)
			}
		})
	}
}

func TestParseRejectsInvalid(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown key", "Lagg: 3s", "Lagg"},
		{"bad duration", "Lag: soon", "invalid duration"},
		{"unknown fault", "Faults: [{Peer: Table, Kind: Explode}]", "Explode"},
		{"too many workers", "DataCentres: [{Name: a, Racks: [{Name: r, Workers: 401}]}]", "at most 400"},
		{"too many accelerators", "Accelerators: 65", "at most 64"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := setup.Parse([]byte(tt.text))
			assert.ErrorContains(t, err, tt.want)
		})
	}
}
