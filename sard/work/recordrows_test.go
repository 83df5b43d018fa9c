package work

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
)

// largestProgress returns the progress of a job with the given number of groups, all of which run on workers of their own, with
// names and checkpoints as long as they may be, and after as many crashes as count.
func largestProgress(groups int) Progress {
	p := Progress{State: ident.Running, Account: "a", Queue: "q"}
	long := func(kind string, i int) string { return fmt.Sprintf("%s%0*d", kind, MaxNameBytes-1, i) }
	for i := range groups {
		p.Lives = append(p.Lives, WorkerProcess{Worker: ident.Worker(long("w", i)), StartedMs: 1 << 41}, WorkerProcess{Worker: ident.Worker(long("c", i)), StartedMs: 1 << 41})
		p.Groups = append(p.Groups, Group{
			Occurrence: 1 << 30, Step: 3, First: i, Attempt: 1 << 20, Failures: 9, Placed: true,
			Checkpoint: Checkpoint(strings.Repeat("x", MaxCheckpointBytes)), Workers: []int{2 * i},
		})
		crashes := PartCrashes{Group: i, Part: i, Likely: 2, Attempt: 1 << 20, Process: 2*i + 1}
		for range 4 {
			crashes.Hosts = append(crashes.Hosts, len(p.Hosts))
			p.Hosts = append(p.Hosts, ident.Host(long("h", len(p.Hosts))))
		}
		p.CrashCounts = append(p.CrashCounts, crashes)
	}
	return p
}

// TestProgressFitsIntoRows guards against a progress record that the store refuses: whatever happens to a job, its record keeps
// the limits of rows and transactions and is read as it was written. What does not fit are the counts of crashes.
func TestProgressFitsIntoRows(t *testing.T) {
	tests := []struct {
		groups, rows int
		// complete is set if the counts of crashes fit too.
		complete bool
	}{
		{groups: 1, rows: 1, complete: true},
		{groups: 40, rows: 1, complete: true},
		{groups: 100, rows: 4, complete: true},
		{groups: 400, rows: 11, complete: true},
		{groups: 1000, rows: 11},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.groups), func(t *testing.T) {
			p := largestProgress(test.groups)
			puts, err := EncodeProgress("5c0e7a21d94b36f8", p)
			assert.NilError(t, err)
			assert.Assert(t, len(puts) <= min(test.rows, MaxRecordRows), "%d rows", len(puts))
			size := 0
			var rows []store.Row
			for _, put := range puts {
				assert.Assert(t, len(put.Value) <= store.MaxRowBytes)
				size += len(put.Value)
				rows = append(rows, store.Row{Key: put.Key, Value: put.Value})
			}
			assert.Assert(t, size < store.MaxTxBytes, "%d bytes", size)
			read, further, err := CollectProgress(rows).Decode("5c0e7a21d94b36f8")
			assert.NilError(t, err)
			assert.Equal(t, further, len(puts)-1)
			if !test.complete {
				p.CrashCounts, p.Hosts = nil, nil
			}
			assert.DeepEqual(t, *read, p)
		})
	}
}

// TestProgressWithMissingRow checks that a record of which rows are missing is not taken for a smaller one.
func TestProgressWithMissingRow(t *testing.T) {
	puts, err := EncodeProgress("5c0e7a21d94b36f8", largestProgress(100))
	assert.NilError(t, err)
	assert.Assert(t, len(puts) > 2)
	for missing := range puts {
		var rows []store.Row
		for i, put := range puts {
			if i != missing {
				rows = append(rows, store.Row{Key: put.Key, Value: put.Value})
			}
		}
		_, _, err := CollectProgress(rows).Decode("5c0e7a21d94b36f8")
		assert.Assert(t, err != nil, "row %d", missing)
	}
}

// BenchmarkProgressRecord reports the size of a progress record by the number of groups, with names of usual length.
func BenchmarkProgressRecord(b *testing.B) {
	for _, groups := range []int{100, 800} {
		for _, crashes := range []bool{false, true} {
			b.Run(fmt.Sprintf("groups=%d/crashes=%v", groups, crashes), func(b *testing.B) {
				p := usualProgress(groups, crashes)
				size := 0
				for b.Loop() {
					puts, err := EncodeProgress("5c0e7a21d94b36f8", p)
					assert.NilError(b, err)
					size = 0
					for _, put := range puts {
						size += len(put.Value)
					}
				}
				b.ReportMetric(float64(size), "bytes")
			})
		}
	}
}

// usualProgress returns the progress of a job whose groups run on eight workers. With crashes, one of them has crashed under all
// groups.
func usualProgress(groups int, crashes bool) Progress {
	p := Progress{State: ident.Running, Account: "a", Queue: "q", Hosts: []ident.Host{"i-7f3a0000"}}
	for i := range 8 {
		p.Lives = append(p.Lives, WorkerProcess{Worker: ident.Worker(fmt.Sprintf("i-7f3a%04d", i)), StartedMs: 1 << 41})
	}
	for i := range groups {
		p.Groups = append(p.Groups, Group{Step: 1, First: i, Attempt: 2, Placed: true, Checkpoint: "00000bb87a21d94b", Workers: []int{i % 8}})
		if crashes {
			p.CrashCounts = append(p.CrashCounts, PartCrashes{Group: i, Part: i, Hosts: []int{0}, Attempt: 1})
		}
	}
	return p
}
