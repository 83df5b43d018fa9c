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

// The points of the slopes.
var (
	bodySizes  = []int{200, 2000, 20000}
	batchSizes = []int{1, 10, 100}
	writers    = []int{1, 4, 16}
)

const (
	listBody = 300
	runName  = "costs"
)

func (b *rig) measure(ctx context.Context, config Config) ([]bench.Figure, error) {
	prefix := fmt.Sprintf("%s-%d-", runName, time.Now().UnixNano())
	steps := []func() ([]bench.Figure, error){
		func() ([]bench.Figure, error) { return b.bodies(ctx, prefix, config.Calls) },
		func() ([]bench.Figure, error) { return b.batches(ctx, prefix, config.Calls) },
		func() ([]bench.Figure, error) { return b.lists(ctx, prefix, config.ListSizes) },
		func() ([]bench.Figure, error) { return b.rates(ctx, prefix, config.Calls) },
		func() ([]bench.Figure, error) { return b.settling(ctx, prefix, config.LostAnswers) },
	}
	var figures []bench.Figure
	for _, step := range steps {
		more, err := step()
		if err != nil {
			return nil, err
		}
		figures = append(figures, more...)
	}
	return figures, nil
}

func (b *rig) bodies(ctx context.Context, prefix string, calls int) ([]bench.Figure, error) {
	var figures []bench.Figure
	for _, size := range bodySizes {
		key := table.Key{Partition: prefix + "body", Sort: fmt.Sprint(size)}
		body := make([]byte, size)
		if err := b.put(ctx, key, table.Absent{}, body); err != nil {
			return nil, err
		}
		puts, err := b.costs(fmt.Sprintf("table.put.%dB", size), calls, func(n int) error {
			return b.put(ctx, key, table.AtRevision{Revision: uint64(n) + 1}, body)
		})
		if err != nil {
			return nil, err
		}
		gets, err := b.costs(fmt.Sprintf("table.get.%dB", size), calls, func(int) error {
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

func (b *rig) batches(ctx context.Context, prefix string, calls int) ([]bench.Figure, error) {
	var figures []bench.Figure
	for _, size := range batchSizes {
		found, err := b.costs(fmt.Sprintf("table.transaction.%d", size), max(1, calls/size), func(n int) error {
			batch := make([]table.Write, size)
			for i := range batch {
				key := table.Key{Partition: prefix + "batch", Sort: fmt.Sprintf("%d-%d-%d", size, n, i)}
				batch[i] = table.Put{Key: key, Body: make([]byte, listBody), If: table.Absent{}}
			}
			return b.client.Apply(ctx, table.LeasePriority, batch...)
		})
		if err != nil {
			return nil, err
		}
		figures = append(figures, found...)
	}
	return figures, nil
}

// lists reads partitions of records, as a successor does after a takeover.
func (b *rig) lists(ctx context.Context, prefix string, sizes []int) ([]bench.Figure, error) {
	var figures []bench.Figure
	for _, size := range sizes {
		partition := fmt.Sprintf("%slist-%d", prefix, size)
		for n := 0; n < size; n += table.MaxBatchWrites {
			var batch []table.Write
			for i := n; i < min(n+table.MaxBatchWrites, size); i++ {
				key := table.Key{Partition: partition, Sort: fmt.Sprintf("%06d", i)}
				batch = append(batch, table.Put{Key: key, Body: make([]byte, listBody), If: table.Absent{}})
			}
			if err := b.client.Apply(ctx, table.LeasePriority, batch...); err != nil {
				return nil, err
			}
		}
		found, err := b.costs(fmt.Sprintf("table.list.%d", size), 1, func(int) error {
			_, err := b.client.List(ctx, table.LeasePriority, partition, "")
			return err
		})
		if err != nil {
			return nil, err
		}
		figures = append(figures, found...)
	}
	return figures, nil
}

// rates measures how many writes a second a client makes with several callers.
func (b *rig) rates(ctx context.Context, prefix string, calls int) ([]bench.Figure, error) {
	var figures []bench.Figure
	for _, callers := range writers {
		var group errgroup.Group
		begun := time.Now()
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
		rate := float64(calls) / time.Since(begun).Seconds()
		figures = append(figures, bench.Figure{Name: fmt.Sprintf("table.writes.%d-callers", callers), Value: rate, Unit: "1/s"})
	}
	return figures, nil
}

// settling measures the time of a write whose answer is lost or late. It needs the service in this process.
func (b *rig) settling(ctx context.Context, prefix string, settles int) ([]bench.Figure, error) {
	if b.server == nil {
		return nil, nil
	}
	slow := faults.Fault{Peer: faults.Table, Kind: faults.Slow, Delay: ident.Duration(2 * time.Second), Calls: 1}
	tests := []struct {
		name  string
		fault faults.Fault
		calls int
	}{
		{"lost", faults.Fault{Peer: faults.Table, Kind: faults.LoseAnswer, Calls: 1}, settles},
		{"late", slow, settles / 10},
	}
	var figures []bench.Figure
	for _, tt := range tests {
		for _, form := range []string{"put", "transaction"} {
			found, err := b.settle(ctx, prefix+tt.name+form, form == "put", tt.fault, tt.calls)
			if err != nil {
				return nil, err
			}
			figures = append(figures, bench.Figure{Name: "table.settle." + tt.name + "." + form, Value: found, Unit: "ms"})
		}
	}
	return figures, nil
}

func (b *rig) settle(ctx context.Context, partition string, single bool, f faults.Fault, calls int) (float64, error) {
	var times []time.Duration
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
		begun := time.Now()
		if err := b.put(ctx, key, cond, nil); err != nil {
			return 0, err
		}
		times = append(times, time.Since(begun))
	}
	if len(times) == 0 {
		return 0, nil
	}
	slices.Sort(times)
	return float64(times[len(times)/2].Microseconds()) / perMille, nil
}

func (b *rig) put(ctx context.Context, key table.Key, cond table.Condition, body []byte) error {
	return b.client.Apply(ctx, table.LeasePriority, table.Put{Key: key, Body: body, If: cond})
}
