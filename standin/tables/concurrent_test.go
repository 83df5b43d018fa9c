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

// step is one write of a writer.
type step struct {
	Form  string
	Key   int
	Pause time.Duration
}

// outage is a fault that comes at a time.
type outage struct {
	At    time.Duration
	Fault faults.Fault
}

type script struct {
	Seed    uint64
	Writers [][]step
	Outages []outage
}

func drawScript(rt *rapid.T) script {
	steps := rapid.Custom(func(rt *rapid.T) step {
		return step{
			Form:  rapid.SampledFrom([]string{"put", "epoch", "batch", "create", "delete"}).Draw(rt, "form"),
			Key:   rapid.IntRange(0, 2).Draw(rt, "key"),
			Pause: time.Duration(rapid.IntRange(0, 500).Draw(rt, "pause")) * time.Millisecond,
		}
	})
	kinds := []faults.Kind{
		faults.Down, faults.Cut, faults.Slow, faults.Throttle, faults.LoseAnswer, faults.Stale, faults.Freeze,
	}
	outages := rapid.Custom(func(rt *rapid.T) outage {
		return outage{
			At: time.Duration(rapid.IntRange(0, 5000).Draw(rt, "at")) * time.Millisecond,
			Fault: faults.Fault{
				Kind:  rapid.SampledFrom(kinds).Draw(rt, "kind"),
				Rate:  rapid.SampledFrom([]float64{0.1, 0.5, 1}).Draw(rt, "rate"),
				Delay: ident.Duration(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "delay")) * time.Millisecond),
				For:   ident.Duration(time.Duration(rapid.IntRange(1, 8000).Draw(rt, "for")) * time.Millisecond),
			},
		}
	})
	return script{
		Seed:    rapid.Uint64().Draw(rt, "seed"),
		Writers: rapid.SliceOfN(rapid.SliceOfN(steps, 1, 12), 1, 5).Draw(rt, "writers"),
		Outages: rapid.SliceOfN(outages, 0, 6).Draw(rt, "outages"),
	}
}

// told is what a writer was told of the puts that carry a body, or of the deletion of a key.
type told struct {
	body    string
	keys    int
	deleted table.Key
	err     error
}

// writer runs its steps through a client of its own and keeps what it was told.
type writer struct {
	name    int
	client  *table.Client
	results []told
}

func (w *writer) run(steps []step) {
	for i, s := range steps {
		time.Sleep(s.Pause)
		body := fmt.Sprintf("%d/%d", w.name, i)
		batch := w.batch(s, body)
		err := w.client.Apply(context.Background(), table.DecisionPriority, batch...)
		w.results = append(w.results, newTold(body, batch, err))
	}
}

func newTold(body string, batch []table.Write, err error) told {
	t := told{body: body, err: err}
	for _, write := range batch {
		switch write := write.(type) {
		case table.Put:
			t.keys++
		case table.Delete:
			t.deleted = write.Key
		case table.ConditionCheck:
		}
	}
	return t
}

func (w *writer) batch(s step, body string) []table.Write {
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

// atRevision puts a shared item at the revision that a read shows, stale or not.
func (w *writer) atRevision(sort, body string) table.Put {
	item, err := w.client.GetStale(context.Background(), table.DecisionPriority, table.Key{Partition: "p", Sort: sort})
	if err != nil {
		return put(sort, body, table.Absent{})
	}
	return put(sort, body, table.AtRevision{Revision: item.Revision})
}

// play runs a script and returns the first broken invariant.
func play(s script) error {
	r, err := newRig(s.Seed)
	if err != nil {
		return err
	}
	writers := make([]*writer, len(s.Writers))
	var group errgroup.Group
	for i := range writers {
		client, err := r.client(table.Config{Seed: s.Seed + uint64(i) + 1})
		if err != nil {
			return err
		}
		writers[i] = &writer{name: i, client: client}
		group.Go(func() error {
			writers[i].run(s.Writers[i])
			return nil
		})
	}
	for _, o := range s.Outages {
		group.Go(func() error {
			time.Sleep(o.At)
			return r.faults.Inject(o.Fault)
		})
	}
	err = group.Wait()
	time.Sleep(time.Minute)
	for _, w := range writers {
		w.client.Close()
	}
	err = errors.Join(err, r.server.Close())
	time.Sleep(time.Minute)
	if err != nil {
		return err
	}
	return judge(r.service.Writes(), writers)
}

func judge(writes []tables.AppliedWrite, writers []*writer) error {
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
			return fmt.Errorf("%v went to revision %d, want %d", w.Key, w.Revision, revisions[w.Key])
		}
		applied[string(w.Body)]++
	}
	for _, w := range writers {
		if err := judgeDeletions(w.results, deleted); err != nil {
			return err
		}
		for _, told := range w.results {
			if err := judgeOne(told, applied[told.body]); err != nil {
				return err
			}
		}
	}
	return nil
}

// judgeDeletions checks the deletions of a writer's own keys, which are made once.
func judgeDeletions(results []told, deleted map[table.Key]int) error {
	least := map[table.Key]int{}
	most := map[table.Key]int{}
	for _, t := range results {
		if t.deleted == (table.Key{}) {
			continue
		}
		most[t.deleted] += 0
		if t.err == nil {
			least[t.deleted]++
		}
		if t.err == nil || fault.Is(t.err, fault.OutcomeUnknown) {
			most[t.deleted]++
		}
	}
	for key, n := range most {
		if deleted[key] < least[key] || deleted[key] > n {
			return fmt.Errorf("%v was deleted %d times, want %d to %d", key, deleted[key], least[key], n)
		}
	}
	return nil
}

func judgeOne(t told, applied int) error {
	switch {
	case t.err == nil && applied != t.keys:
		return fmt.Errorf("%s: told success, %d of %d writes took effect", t.body, applied, t.keys)
	case t.err != nil && !fault.Is(t.err, fault.OutcomeUnknown) && applied != 0:
		return fmt.Errorf("%s: told %w, %d writes took effect", t.body, t.err, applied)
	case applied != 0 && applied != t.keys:
		return fmt.Errorf("%s: %d of %d writes took effect", t.body, applied, t.keys)
	}
	return nil
}

// fixSeed lets a randomised run repeat when no seed is given on the command line.
func fixSeed(t *testing.T) {
	t.Helper()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		assert.NilError(t, f.Value.Set("20261203"))
	}
}

func TestConcurrentWritersUnderAllFaults(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScript(rt)
		var err error
		synctest.Test(t, func(*testing.T) { err = play(s) })
		if err != nil {
			rt.Fatalf("%v", err)
		}
	})
}

// The judge must see each breach that the run above looks for.
func TestJudge(t *testing.T) {
	key := table.Key{Partition: "p", Sort: "a"}
	one := []tables.AppliedWrite{{Key: key, Revision: 1, Body: []byte("x")}}
	conflict := fault.New(fault.Conflict, "", "", "lost")
	tests := []struct {
		name   string
		writes []tables.AppliedWrite
		told   told
		want   string
	}{
		{"fine", one, told{body: "x", keys: 1}, ""},
		{"lost", nil, told{body: "x", keys: 1}, "told success, 0 of 1"},
		{"doubled", append(one, tables.AppliedWrite{Key: key, Revision: 2, Body: []byte("x")}), told{body: "x", keys: 1}, "told success, 2 of 1"},
		{"told wrong", one, told{body: "x", keys: 1, err: conflict}, "took effect"},
		{"not deleted", one, told{deleted: key}, "deleted 0 times, want 1"},
		{"deleted though told not", append(one, tables.AppliedWrite{Key: key, Deleted: true}), told{deleted: key, err: conflict}, "deleted 1 times"},
		{"skipped", []tables.AppliedWrite{{Key: key, Revision: 2}}, told{}, "went to revision 2, want 1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := judge(tt.writes, []*writer{{results: []told{tt.told}}})
			if tt.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tt.want)
		})
	}
}
