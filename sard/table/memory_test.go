package table_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/table"
)

// TestMemoryRejectsBatch checks that batches with a failed condition or without any are rejected and change nothing.
func TestMemoryRejectsBatch(t *testing.T) {
	ctx := context.Background()
	key := table.Key{Partition: "p", Sort: "a"}
	first := table.Put{Key: key, Epoch: 7, Body: []byte("first"), If: table.Absent{}}
	tests := []struct {
		name  string
		batch []table.Write
		want  fault.Kind
	}{
		{"absent", []table.Write{table.Put{Key: key, If: table.Absent{}}}, fault.Conflict},
		{"revision", []table.Write{table.Put{Key: key, If: table.AtRevision{Revision: 2}}}, fault.Conflict},
		{"epoch", []table.Write{table.Delete{Key: key, If: table.AtEpoch{Epoch: 6}}}, fault.Conflict},
		{"no condition", []table.Write{table.ConditionCheck{Key: key}}, fault.Invalid},
		{"empty batch", nil, fault.Invalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := &table.Memory{}
			assert.NilError(t, m.Apply(ctx, table.LeasePriority, first))
			before, err := m.Get(ctx, table.LeasePriority, key)
			assert.NilError(t, err)
			assert.Assert(t, before.Token != "")
			err = m.Apply(ctx, table.LeasePriority, tt.batch...)
			assert.Assert(t, fault.Is(err, tt.want), "%v", err)
			after, err := m.Get(ctx, table.LeasePriority, key)
			assert.NilError(t, err)
			assert.DeepEqual(t, after, before)
		})
	}
}
