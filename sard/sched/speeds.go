package sched

import (
	"math"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/speed"
)

// percent is the factor between a fraction and percent.
const percent = 100

// speedGroups lists the groups that are logged and counted.
var speedGroups = []speed.Group{speed.Unknown, speed.Slow, speed.Typical, speed.Fast}

// newSpeedsGauge returns the gauge of the workers in each group of speeds.
func newSpeedsGauge() *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: "sardine", Subsystem: "sched", Name: "worker_speeds",
		Help: "Accepting workers by their learned speed; meaningful while holding.",
	}, []string{"group"})
}

// speedFields returns the fields of a log line that tell what is known of a worker's speed.
func (s *Scheduler) speedFields(worker ident.Worker) []any {
	if !s.config.WorkerSpeeds {
		return nil
	}
	known := s.engine.KnownSpeed(worker)
	return []any{
		"speed_percent", math.Round(known.Speed.Factor() * percent), "speed_group", known.Group().String(),
		"speed_age_ms", known.Age.Milliseconds(),
	}
}

// reportSpeeds logs and counts the workers in each group of speeds.
func (s *Scheduler) reportSpeeds() {
	if !s.config.WorkerSpeeds {
		return
	}
	counts := s.engine.SpeedGroups()
	var fields []any
	for _, group := range speedGroups {
		s.config.Metrics.speeds.WithLabelValues(group.String()).Set(float64(counts[group]))
		fields = append(fields, group.String(), counts[group])
	}
	for choice, count := range s.engine.TakeChoices() {
		name := pool.Choice(choice).String()
		s.config.Metrics.choices.WithLabelValues(name).Add(float64(count))
		fields = append(fields, name, count)
	}
	s.config.Logger.Info("learned worker speeds", fields...)
}
