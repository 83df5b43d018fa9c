package costs

import (
	"context"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/bench"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/table"
	"github.com/sardineline/sardineline/standin/faults"
)

// Sizes for which the figures are measured: bodies in bytes, writes per transaction and concurrent callers.
var (
	bodySizes    = []int{200, 2000, 20000}
	batchSizes   = []int{1, 10, 100}
	callerCounts = []int{1, 4, 16}
)

// The size of the body of a typical record, and the prefix of the names of the partitions that are written.
const (
	recordBodyBytes = 300
	partitionPrefix = "costs"
)

// measureAll makes all measurements of the table client. Each run writes to partitions of its own, so that runs can be
// repeated on one table.
func (b *tableBench) measureAll(ctx context.Context, config Config) ([]bench.Figure, error) {
	prefix := fmt.Sprintf("%s-%d-", partitionPrefix, time.Now().UnixNano())
	steps := []func() ([]bench.Figure, error){
		func() ([]bench.Figure, error) { return b.measureBodySizes(ctx, prefix, config.Calls) },
		func() ([]bench.Figure, error) { return b.measureBatchSizes(ctx, prefix, config.Calls) },
		func() ([]bench.Figure, error) { return b.measureLists(ctx, prefix, config.ListSizes) },
		func() ([]bench.Figure, error) { return b.measureWriteRates(ctx, prefix, config.Calls) },
		func() ([]bench.Figure, error) { return b.measureSettling(ctx, prefix, config.LostAnswers) },
	}
	var figures []bench.Figure
	for _, step := range steps {
		results, err := step()
		if err != nil {
			return nil, err
		}
		figures = append(figures, results...)
	}
	return figures, nil
}

// measureBodySizes measures a put and a get of an item for each of bodySizes.
func (b *tableBench) measureBodySizes(ctx context.Context, prefix string, calls int) ([]bench.Figure, error) {
	var figures []bench.Figure
	for _, size := range bodySizes {
		key := table.Key{Partition: prefix + "body", Sort: fmt.Sprint(size)}
		body := make([]byte, size)
		if err := b.put(ctx, key, table.Absent{}, body); err != nil {
			return nil, err
		}
		puts, err := b.measureCalls(fmt.Sprintf("table.put.%dB", size), calls, func(n int) error {
			return b.put(ctx, key, table.AtRevision{Revision: uint64(n) + 1}, body)
		})
		if err != nil {
			return nil, err
		}
		gets, err := b.measureCalls(fmt.Sprintf("table.get.%dB", size), calls, func(int) error {
			_, err := b.client.Get(ctx, table.LeasePriority, key)
			return err
		})
		if err != nil {
			return nil, err
		}
		figures = append(append(figures, puts...), gets...)
	}
	return figures, nil
}

// measureBatchSizes measures a transaction for each of batchSizes.
func (b *tableBench) measureBatchSizes(ctx context.Context, prefix string, calls int) ([]bench.Figure, error) {
	var figures []bench.Figure
	for _, size := range batchSizes {
		results, err := b.measureCalls(fmt.Sprintf("table.transaction.%d", size), max(1, calls/size), func(n int) error {
			batch := make([]table.Write, size)
			for i := range batch {
				key := table.Key{Partition: prefix + "batch", Sort: fmt.Sprintf("%d-%d-%d", size, n, i)}
				batch[i] = table.Put{Key: key, Body: make([]byte, recordBodyBytes), If: table.Absent{}}
			}
			return b.client.Apply(ctx, table.LeasePriority, batch...)
		})
		if err != nil {
			return nil, err
		}
		figures = append(figures, results...)
	}
	return figures, nil
}

// measureLists measures listing a whole partition for each number of items in sizes. An instance makes such a call
// after it takes over the scheduling of a data centre.
func (b *tableBench) measureLists(ctx context.Context, prefix string, sizes []int) ([]bench.Figure, error) {
	var figures []bench.Figure
	for _, size := range sizes {
		partition := fmt.Sprintf("%slist-%d", prefix, size)
		for n := 0; n < size; n += table.MaxBatchWrites {
			var batch []table.Write
			for i := n; i < min(n+table.MaxBatchWrites, size); i++ {
				key := table.Key{Partition: partition, Sort: fmt.Sprintf("%06d", i)}
				batch = append(batch, table.Put{Key: key, Body: make([]byte, recordBodyBytes), If: table.Absent{}})
			}
			if err := b.client.Apply(ctx, table.LeasePriority, batch...); err != nil {
				return nil, err
			}
		}
		results, err := b.measureCalls(fmt.Sprintf("table.list.%d", size), 1, func(int) error {
			_, err := b.client.List(ctx, table.LeasePriority, partition, "")
			return err
		})
		if err != nil {
			return nil, err
		}
		figures = append(figures, results...)
	}
	return figures, nil
}

// measureWriteRates measures the writes per second of one client for each of callerCounts.
func (b *tableBench) measureWriteRates(ctx context.Context, prefix string, calls int) ([]bench.Figure, error) {
	var figures []bench.Figure
	for _, callers := range callerCounts {
		var group errgroup.Group
		started := time.Now()
		for w := range callers {
			group.Go(func() error {
				key := table.Key{Partition: prefix + "rate", Sort: fmt.Sprintf("%d-%d", callers, w)}
				if err := b.put(ctx, key, table.Absent{}, nil); err != nil {
					return err
				}
				for n := range calls / callers {
					if err := b.put(ctx, key, table.AtRevision{Revision: uint64(n) + 1}, nil); err != nil {
						return err
					}
				}
				return nil
			})
		}
		if err := group.Wait(); err != nil {
			return nil, err
		}
		rate := float64(calls) / time.Since(started).Seconds()
		figures = append(figures, bench.Figure{Name: fmt.Sprintf("table.writes.%d-callers", callers), Value: rate, Unit: "1/s"})
	}
	return figures, nil
}

// measureSettling measures the time until a client knows the result of a write whose response is lost or late. It
// injects these faults directly, so it measures nothing if the table service runs in another process.
func (b *tableBench) measureSettling(ctx context.Context, prefix string, lostAnswers int) ([]bench.Figure, error) {
	if b.server == nil {
		return nil, nil
	}
	slow := faults.Fault{Peer: faults.Table, Kind: faults.Slow, Delay: ident.Duration(2 * time.Second), Calls: 1}
	cases := []struct {
		name  string
		fault faults.Fault
		calls int
	}{
		{"lost", faults.Fault{Peer: faults.Table, Kind: faults.LoseAnswer, Calls: 1}, lostAnswers},
		{"late", slow, lostAnswers / 10},
	}
	var figures []bench.Figure
	for _, c := range cases {
		for _, form := range []string{"put", "transaction"} {
			median, err := b.medianSettleTime(ctx, prefix+c.name+form, form == "put", c.fault, c.calls)
			if err != nil {
				return nil, err
			}
			figures = append(figures, bench.Figure{Name: "table.settle." + c.name + "." + form, Value: median, Unit: "ms"})
		}
	}
	return figures, nil
}

// medianSettleTime returns the median time, in milliseconds, of the given number of writes that each meet the fault f.
// If single is set, each write replaces an existing item; otherwise it creates one, for which the client uses a
// transaction.
func (b *tableBench) medianSettleTime(ctx context.Context, partition string, single bool, f faults.Fault, calls int) (float64, error) {
	var durations []time.Duration
	for n := range calls {
		key := table.Key{Partition: partition, Sort: fmt.Sprint(n)}
		cond := table.Condition(table.Absent{})
		if single {
			if err := b.put(ctx, key, cond, nil); err != nil {
				return 0, err
			}
			cond = table.AtRevision{Revision: 1}
		}
		if err := b.faults.Inject(f); err != nil {
			return 0, err
		}
		started := time.Now()
		if err := b.put(ctx, key, cond, nil); err != nil {
			return 0, err
		}
		durations = append(durations, time.Since(started))
	}
	if len(durations) == 0 {
		return 0, nil
	}
	slices.Sort(durations)
	return float64(durations[len(durations)/2].Microseconds()) / microsecondsPerMillisecond, nil
}

func (b *tableBench) put(ctx context.Context, key table.Key, cond table.Condition, body []byte) error {
	return b.client.Apply(ctx, table.LeasePriority, table.Put{Key: key, Body: body, If: cond})
}
