package tables_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/table"
	"github.com/sardineline/sardineline/standin/faults"
	"github.com/sardineline/sardineline/standin/tables"
)

// writerStep is one call of a writer: a pause, and then a write of the given form to a key.
type writerStep struct {
	Form  string
	Key   int
	Pause time.Duration
}

// timedFault is a fault and the time at which it is injected.
type timedFault struct {
	At    time.Duration
	Fault faults.Fault
}

// scenario is the input of a randomised run: the steps of each writer and the faults.
type scenario struct {
	Seed        uint64
	Writers     [][]writerStep
	TimedFaults []timedFault
}

// drawScenario draws a random scenario from a property-based test.
func drawScenario(rt *rapid.T) scenario {
	steps := rapid.Custom(func(rt *rapid.T) writerStep {
		return writerStep{
			Form:  rapid.SampledFrom([]string{"put", "epoch", "batch", "create", "delete"}).Draw(rt, "form"),
			Key:   rapid.IntRange(0, 2).Draw(rt, "key"),
			Pause: time.Duration(rapid.IntRange(0, 500).Draw(rt, "pause")) * time.Millisecond,
		}
	})
	kinds := []faults.Kind{
		faults.Down, faults.Cut, faults.Slow, faults.Throttle, faults.LoseAnswer, faults.Stale, faults.Freeze,
	}
	timedFaults := rapid.Custom(func(rt *rapid.T) timedFault {
		return timedFault{
			At: time.Duration(rapid.IntRange(0, 5000).Draw(rt, "at")) * time.Millisecond,
			Fault: faults.Fault{
				Kind:  rapid.SampledFrom(kinds).Draw(rt, "kind"),
				Rate:  rapid.SampledFrom([]float64{0.1, 0.5, 1}).Draw(rt, "rate"),
				Delay: ident.Duration(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "delay")) * time.Millisecond),
				For:   ident.Duration(time.Duration(rapid.IntRange(1, 8000).Draw(rt, "for")) * time.Millisecond),
			},
		}
	})
	return scenario{
		Seed:        rapid.Uint64().Draw(rt, "seed"),
		Writers:     rapid.SliceOfN(rapid.SliceOfN(steps, 1, 12), 1, 5).Draw(rt, "writers"),
		TimedFaults: rapid.SliceOfN(timedFaults, 0, 6).Draw(rt, "faults"),
	}
}

// writeResult is the result that a writer got for one batch: err, the number of puts with the given body, and the key
// to delete, if any.
type writeResult struct {
	body    string
	puts    int
	deleted table.Key
	err     error
}

// writer performs its steps one after another with its own client and keeps the results.
type writer struct {
	name    int
	client  *table.Client
	results []writeResult
}

func (w *writer) run(steps []writerStep) {
	for i, s := range steps {
		time.Sleep(s.Pause)
		body := fmt.Sprintf("%d/%d", w.name, i)
		batch := w.nextBatch(s, body)
		err := w.client.Apply(context.Background(), table.DecisionPriority, batch...)
		w.results = append(w.results, newWriteResult(body, batch, err))
	}
}

// newWriteResult returns the result err of a batch whose puts have the given body.
func newWriteResult(body string, batch []table.Write, err error) writeResult {
	result := writeResult{body: body, err: err}
	for _, write := range batch {
		switch write := write.(type) {
		case table.Put:
			result.puts++
		case table.Delete:
			result.deleted = write.Key
		case table.ConditionCheck:
		}
	}
	return result
}

// nextBatch returns the writes of a step. All writers write shared keys; only one writer writes an own key.
func (w *writer) nextBatch(s writerStep, body string) []table.Write {
	shared := fmt.Sprintf("shared-%d", s.Key)
	own := fmt.Sprintf("own-%s", body)
	switch s.Form {
	case "create":
		return []table.Write{put(own, body, table.Absent{})}
	case "delete":
		last := table.Key{Partition: "p", Sort: fmt.Sprintf("own-%d/%d", w.name, s.Key)}
		return []table.Write{table.Delete{Key: last, If: table.AtRevision{Revision: 1}}}
	case "epoch":
		return []table.Write{put(shared, body, table.AtEpoch{})}
	case "batch":
		return []table.Write{put(own, body, table.Absent{}), w.atRevision(shared, body)}
	}
	return []table.Write{w.atRevision(shared, body)}
}

// atRevision returns a put on condition of the revision from an eventually consistent read. That revision may be
// outdated.
func (w *writer) atRevision(sort, body string) table.Put {
	item, err := w.client.GetStale(context.Background(), table.DecisionPriority, table.Key{Partition: "p", Sort: sort})
	if err != nil {
		return put(sort, body, table.Absent{})
	}
	return put(sort, body, table.AtRevision{Revision: item.Revision})
}

// runScenario runs a scenario and returns an error for the first invariant that it violates.
func runScenario(s scenario) error {
	h, err := newHarness(s.Seed)
	if err != nil {
		return err
	}
	writers := make([]*writer, len(s.Writers))
	var group errgroup.Group
	for i := range writers {
		client, err := h.client(table.Config{Seed: s.Seed + uint64(i) + 1})
		if err != nil {
			return err
		}
		writers[i] = &writer{name: i, client: client}
		group.Go(func() error {
			writers[i].run(s.Writers[i])
			return nil
		})
	}
	for _, timed := range s.TimedFaults {
		group.Go(func() error {
			time.Sleep(timed.At)
			return h.faults.Inject(timed.Fault)
		})
	}
	err = group.Wait()
	time.Sleep(time.Minute)
	for _, w := range writers {
		w.client.Close()
	}
	err = errors.Join(err, h.server.Close())
	time.Sleep(time.Minute)
	if err != nil {
		return err
	}
	return checkInvariants(h.service.Writes(), writers)
}

// checkInvariants compares the results that the writers got with the writes that were applied, and checks that revisions
// increase by one.
func checkInvariants(writes []tables.AppliedWrite, writers []*writer) error {
	revisions := map[table.Key]uint64{}
	applied := map[string]int{}
	deleted := map[table.Key]int{}
	for _, w := range writes {
		if w.Deleted {
			revisions[w.Key] = 0
			deleted[w.Key]++
			continue
		}
		if revisions[w.Key]++; w.Revision != revisions[w.Key] {
			return fmt.Errorf("%v has revision %d after a write, want %d", w.Key, w.Revision, revisions[w.Key])
		}
		applied[string(w.Body)]++
	}
	for _, w := range writers {
		if err := checkDeletions(w.results, deleted); err != nil {
			return err
		}
		for _, result := range w.results {
			if err := checkResult(result, applied[result.body]); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkDeletions checks the number of deletions of each own key of a writer, by key in deleted. Each own key is created
// at most once and so deleted at most once.
func checkDeletions(results []writeResult, deleted map[table.Key]int) error {
	minCount := map[table.Key]int{}
	maxCount := map[table.Key]int{}
	for _, result := range results {
		if result.deleted == (table.Key{}) {
			continue
		}
		maxCount[result.deleted] += 0
		if result.err == nil {
			minCount[result.deleted]++
		}
		if result.err == nil || fault.Is(result.err, fault.OutcomeUnknown) {
			maxCount[result.deleted]++
		}
	}
	for key, n := range maxCount {
		if deleted[key] < minCount[key] || deleted[key] > n {
			return fmt.Errorf("%v was deleted %d times, want %d to %d", key, deleted[key], minCount[key], n)
		}
	}
	return nil
}

// checkResult compares the result of one batch with applied, the number of its puts that were applied.
func checkResult(result writeResult, applied int) error {
	switch {
	case result.err == nil && applied != result.puts:
		return fmt.Errorf("%s: reported as successful, but %d of %d writes were applied", result.body, applied, result.puts)
	case result.err != nil && !fault.Is(result.err, fault.OutcomeUnknown) && applied != 0:
		return fmt.Errorf("%s: reported as failed (%w), but %d writes were applied", result.body, result.err, applied)
	case applied != 0 && applied != result.puts:
		return fmt.Errorf("%s: %d of %d writes were applied", result.body, applied, result.puts)
	}
	return nil
}

// setDefaultSeed sets a fixed seed for the property-based tests if the command line gives none, so that runs are
// reproducible.
func setDefaultSeed(t *testing.T) {
	t.Helper()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		assert.NilError(t, f.Value.Set("20261203"))
	}
}

func TestConcurrentWritersUnderAllFaults(t *testing.T) {
	setDefaultSeed(t)
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var err error
		synctest.Test(t, func(*testing.T) { err = runScenario(s) })
		if err != nil {
			rt.Fatalf("%v", err)
		}
	})
}

// checkInvariants must detect each violation that TestConcurrentWritersUnderAllFaults looks for.
func TestCheckInvariants(t *testing.T) {
	key := table.Key{Partition: "p", Sort: "a"}
	one := []tables.AppliedWrite{{Key: key, Revision: 1, Body: []byte("x")}}
	conflict := fault.New(fault.Conflict, "", "", "lost")
	tests := []struct {
		name   string
		writes []tables.AppliedWrite
		result writeResult
		want   string
	}{
		{"consistent", one, writeResult{body: "x", puts: 1}, ""},
		{"not applied", nil, writeResult{body: "x", puts: 1}, "reported as successful, but 0 of 1"},
		{"applied twice", append(one, tables.AppliedWrite{Key: key, Revision: 2, Body: []byte("x")}), writeResult{body: "x", puts: 1}, "reported as successful, but 2 of 1"},
		{"applied despite conflict", one, writeResult{body: "x", puts: 1, err: conflict}, "reported as failed"},
		{"not deleted", one, writeResult{deleted: key}, "deleted 0 times, want 1"},
		{"deleted despite conflict", append(one, tables.AppliedWrite{Key: key, Deleted: true}), writeResult{deleted: key, err: conflict}, "deleted 1 times"},
		{"revision skipped", []tables.AppliedWrite{{Key: key, Revision: 2}}, writeResult{}, "has revision 2 after a write, want 1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := checkInvariants(tt.writes, []*writer{{results: []writeResult{tt.result}}})
			if tt.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tt.want)
		})
	}
}
