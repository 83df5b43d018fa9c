package blobs_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/object"
	"github.com/sardineline/sardineline/standin/blobs"
	"github.com/sardineline/sardineline/standin/faults"
	"github.com/sardineline/sardineline/standin/inmem"
)

// startStore starts a simulated object store and a client of it, which are closed at the end of the test.
func startStore(t *testing.T) (*faults.Set, *object.Client) {
	t.Helper()
	faultSet := faults.New(1)
	network := &inmem.Network{}
	server, err := network.Serve("object:1", blobs.New(faultSet))
	assert.NilError(t, err)
	c, err := object.New(object.Config{Endpoint: "http://object:1", Dial: network.DialContext})
	assert.NilError(t, err)
	t.Cleanup(func() {
		c.Close()
		assert.NilError(t, server.Close())
	})
	return faultSet, c
}

// A client of the simulated store must behave the same as object.Memory.
func TestStores(t *testing.T) {
	stores := []struct {
		name string
		make func(t *testing.T) object.Store
	}{
		{"client", func(t *testing.T) object.Store {
			_, c := startStore(t)
			return c
		}},
		{"memory", func(*testing.T) object.Store { return &object.Memory{} }},
	}
	for _, tt := range stores {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := context.Background()
				store := tt.make(t)
				for i := range blobs.MaxKeysPerPage + 5 {
					assert.NilError(t, store.Put(ctx, object.Key(fmt.Sprintf("jobs/%04d", i)), []byte("body")))
				}
				assert.NilError(t, store.Put(ctx, "other key/é", bytes.Repeat([]byte("x"), 1<<20)))
				entries, err := store.List(ctx, "jobs/")
				assert.NilError(t, err)
				assert.Equal(t, len(entries), blobs.MaxKeysPerPage+5)
				assert.DeepEqual(t, entries[blobs.MaxKeysPerPage], object.Info{Key: "jobs/1000", Size: 4})
				body, err := store.Get(ctx, "other key/é")
				assert.NilError(t, err)
				assert.Equal(t, len(body), 1<<20)
				assert.NilError(t, store.Delete(ctx, "jobs/0000"))
				assert.NilError(t, store.Delete(ctx, "jobs/0000"))
				_, err = store.Get(ctx, "jobs/0000")
				assert.Assert(t, fault.Is(err, fault.NotFound), "%v", err)
			})
		})
	}
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault faults.Fault
		put   fault.Kind
		get   fault.Kind
	}{
		{"down", faults.Fault{Kind: faults.Down}, fault.OutcomeUnknown, fault.Unavailable},
		{"connection cut", faults.Fault{Kind: faults.Cut}, fault.OutcomeUnknown, fault.Unavailable},
		{"throttled", faults.Fault{Kind: faults.Throttle}, fault.Throttled, fault.Throttled},
		{"down for one call", faults.Fault{Kind: faults.Down, Calls: 1}, fault.Internal, fault.Internal},
		{"responses lost", faults.Fault{Kind: faults.LoseAnswer, Calls: 2}, fault.Internal, fault.Internal},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				faultSet, c := startStore(t)
				tt.fault.Peer = faults.Object
				assert.NilError(t, faultSet.Inject(tt.fault))
				err := c.Put(context.Background(), "a", []byte("body"))
				assert.Equal(t, fault.KindOf(err), tt.put, "%v", err)
				_, err = c.Get(context.Background(), "a")
				assert.Equal(t, fault.KindOf(err), tt.get, "%v", err)
			})
		})
	}
}

func TestUnsupportedOperationsAreRefused(t *testing.T) {
	for _, path := range []string{"/", "/bucket?acl", "/bucket"} {
		w := httptest.NewRecorder()
		blobs.New(faults.New(1)).ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		assert.Equal(t, w.Code, http.StatusNotImplemented, path)
	}
}
