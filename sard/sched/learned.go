package sched

import (
	"context"
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// learnedVersion is the version of the format of the row at learnedKey. Rows of other versions are ignored.
	learnedVersion = 1
	// learnedWritePause is the minimum time between writes of the learned state.
	learnedWritePause = 2 * time.Second
	// maxLearnedAge is the time after which the learned state is written again if only little is new.
	maxLearnedAge = 10 * time.Second
	// minNewEnds is the number of ended groups from which the learned state has changed enough to be written.
	minNewEnds = 8
	// maxLearnedBytes limits the size of the row.
	maxLearnedBytes = 60 << 10
	// learnedReadTimeout is how long a new holder waits for the learned state while nothing of it arrives.
	learnedReadTimeout = 400 * time.Millisecond
)

// learnedKey is the key of the row with what the holder of the scheduler lease has learned.
var learnedKey = store.Key{Table: work.LearnedTable, Partition: work.MainPartition, Name: "state"}

// learnedRow is the value of the row at learnedKey.
type learnedRow struct {
	Version int
	// WrittenMs is the Unix time in milliseconds at which the row was written.
	WrittenMs int64
	// State is a pool.Learned, encoded by itself so that rows of other versions can be told.
	State []byte
}

// learnedState is the state of writing what was learned to the store.
type learnedState struct {
	// writing is set while a write is in flight.
	writing   bool
	nextWrite clock.Instant
	// writtenEnds is the engine's LearnedEnds as of the last successful write, which was at writtenAt.
	writtenEnds uint64
	writtenAt   clock.Instant
	failures    int
}

// learnedResult is the result of a write of the learned state.
type learnedResult struct {
	ends    uint64
	size    int
	started clock.Instant
	err     error
}

func (learnedResult) event() {}

// learns reports whether there is learned state to keep.
func (s *Scheduler) learns() bool {
	return s.config.RunTimes || s.config.WorkerSpeeds
}

// saveLearned starts to write the learned state, if enough of it is new, in the background.
func (s *Scheduler) saveLearned(ctx context.Context) {
	ends := s.engine.LearnedEnds()
	if !s.learns() || s.learned.writing || ends == s.learned.writtenEnds || clock.Now().Before(s.learned.nextWrite) {
		return
	}
	if ends-s.learned.writtenEnds < minNewEnds && clock.Since(s.learned.writtenAt) < maxLearnedAge {
		return
	}
	s.learned.writing, s.learned.nextWrite = true, clock.Now().Add(learnedWritePause)
	state, fence := s.engine.Learned(time.Now()), s.lease.Fence()
	s.runAsync(ctx, func() event {
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		result := learnedResult{ends: ends, started: clock.Now()}
		var value []byte
		if value, result.err = encodeLearned(state, time.Now()); result.err != nil {
			return result
		}
		result.size = len(value)
		_, result.err = s.config.Store.Apply(ctx, store.Tx{
			Preconditions: []store.Precondition{fence}, Put: []store.Put{{Key: learnedKey, Value: value}},
		})
		return result
	})
}

// encodeLearned returns the row for a learned state, without the entries that matter least if there are too many.
func encodeLearned(state pool.Learned, now time.Time) ([]byte, error) {
	for {
		encoded, err := work.Encode(state)
		if err != nil {
			return nil, err
		}
		if len(encoded) <= maxLearnedBytes {
			return work.Encode(learnedRow{Version: learnedVersion, WrittenMs: now.UnixMilli(), State: encoded})
		}
		state.Halve()
	}
}

// handleLearned processes the result of a write of the learned state. A failed write is repeated with the next one.
func (s *Scheduler) handleLearned(ev learnedResult) {
	s.learned.writing = false
	if ev.err != nil {
		s.learned.failures++
		if s.learned.failures == 1 {
			s.config.Logger.Warn("learned state not written", "error", ev.err)
		}
		return
	}
	if s.learned.failures > 0 || s.learned.writtenEnds == 0 {
		s.config.Logger.Info("learned state written", "bytes", ev.size, "ends", ev.ends, "failures", s.learned.failures,
			"took_ms", clock.Since(ev.started).Milliseconds())
	}
	s.learned.failures, s.learned.writtenEnds, s.learned.writtenAt = 0, ev.ends, clock.Now()
	s.config.Metrics.learned.bytes.Set(float64(ev.size))
}

// learnedRead is a read of the row at learnedKey under way.
type learnedRead struct {
	// result gets the listing if the read succeeds.
	result chan store.Listing
	// ended is closed when the read has ended, or is given up because nothing arrives.
	ended <-chan struct{}
}

// readLearned reads the row at learnedKey in the background.
func (s *Scheduler) readLearned(ctx context.Context) learnedRead {
	ctx, cancel := store.WithSilenceLimit(ctx, learnedReadTimeout)
	read := learnedRead{result: make(chan store.Listing, 1), ended: ctx.Done()}
	s.group.Go(func() error {
		defer cancel()
		if !s.learns() {
			return nil
		}
		if listing, err := s.config.Store.List(ctx, store.KeyRange(learnedKey)); err == nil {
			read.result <- listing
		}
		return nil
	})
	return read
}

// takeLearned waits until the read of the learned state has ended, and takes over what a former holder has learned.
func (s *Scheduler) takeLearned(read learnedRead) {
	if !s.learns() {
		return
	}
	<-read.ended
	select {
	case listing := <-read.result:
		for _, row := range listing.Rows {
			s.restoreLearned(row.Value)
		}
	default:
		s.config.Logger.Warn("learned state not read, starting without")
	}
}

// restoreLearned takes over the learned state of a row, unless it is of another version or can't be read.
func (s *Scheduler) restoreLearned(value []byte) {
	var row learnedRow
	if err := work.Decode(value, &row); err != nil {
		s.config.Logger.Warn("learned state ignored", "error", err)
		return
	}
	if row.Version != learnedVersion {
		s.config.Logger.Warn("learned state ignored", "version", row.Version, "expected", learnedVersion)
		return
	}
	var state pool.Learned
	if err := work.Decode(row.State, &state); err != nil {
		s.config.Logger.Warn("learned state ignored", "error", err)
		return
	}
	now := time.Now()
	s.engine.RestoreLearned(state, now)
	s.learned.writtenAt = clock.Now()
	s.config.Logger.Info("learned state taken over", "kinds", len(state.RunTimes.Kinds), "workers", len(state.Speeds.Entries),
		"age_ms", now.UnixMilli()-row.WrittenMs, "bytes", len(value))
}

// reportLearned updates the metrics of the forecasts and logs how far they and the estimates were off lately, as the factor
// between them and the run time, in geometric mean.
func (s *Scheduler) reportLearned() {
	if !s.learns() {
		return
	}
	if s.learned.writtenAt != clock.Never {
		s.config.Metrics.learned.age.Set(clock.Since(s.learned.writtenAt).Seconds())
	}
	var forecasts, estimates errorMean
	for _, r := range s.engine.TakeForecastRatios() {
		forecasts.add(r.Forecast, s.config.Metrics.learned.ratio.WithLabelValues("forecast"))
		estimates.add(r.Estimate, s.config.Metrics.learned.ratio.WithLabelValues("estimate"))
	}
	if estimates.count > 0 {
		s.config.Logger.Info("run time forecasts", "ended", estimates.count, "forecast", forecasts.count,
			"forecast_off", forecasts.factor(), "estimate_off", estimates.factor(), "samples", s.engine.LearnedEnds())
	}
}

// errorMean is the mean size of the logarithms of ratios.
type errorMean struct {
	sum   float64
	count int
}

// add adds a ratio, which is 0 if unknown, and observes it in a histogram.
func (m *errorMean) add(ratio float64, h prometheus.Observer) {
	if ratio <= 0 {
		return
	}
	m.sum += math.Abs(math.Log(ratio))
	m.count++
	h.Observe(ratio)
}

// factor returns the mean as a factor, rounded; 0 if there is none.
func (m *errorMean) factor() float64 {
	if m.count == 0 {
		return 0
	}
	const precision = 100
	return math.Round(math.Exp(m.sum/float64(m.count))*precision) / precision
}

// learnedMetrics holds the metrics of forecasts and of the learned state in the store.
type learnedMetrics struct {
	ratio      *prometheus.HistogramVec
	bytes, age prometheus.Gauge
}

// newLearnedMetrics creates the metrics and registers them if registerer is not nil.
func newLearnedMetrics(registerer prometheus.Registerer) learnedMetrics {
	m := learnedMetrics{
		ratio: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "sardine", Subsystem: "sched", Name: "run_time_ratio",
			Help:    "Run times of ended work, at normal speed, divided by the forecast or the submitter's estimate.",
			Buckets: prometheus.ExponentialBuckets(0.125, math.Sqrt2, 15),
		}, []string{"of"}),
		bytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "sardine", Subsystem: "sched", Name: "learned_bytes", Help: "Size of the learned state in the store.",
		}),
		age: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "sardine", Subsystem: "sched", Name: "learned_age_seconds",
			Help: "Time since the learned state was written or taken over; meaningful while holding.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.ratio, m.bytes, m.age)
	}
	return m
}
