package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/fcast"
	"github.com/sardineline/sardineline/sard/speed"
)

// Learned is what the engine has learned from the work that has ended, for the next holder of the scheduler lease.
type Learned struct {
	_        struct{} `cbor:",toarray"`
	RunTimes fcast.Snapshot
	Speeds   speed.Snapshot
}

// Learned returns what has been learned.
func (e *Engine) Learned(now time.Time) Learned {
	l := Learned{Speeds: e.SpeedSnapshot(now)}
	if e.runTimes != nil {
		l.RunTimes = e.runTimes.Snapshot()
	}
	return l
}

// RestoreLearned takes over what a former holder has learned.
func (e *Engine) RestoreLearned(l Learned, now time.Time) {
	if e.runTimes != nil {
		e.runTimes.Restore(l.RunTimes)
	}
	e.RestoreSpeeds(l.Speeds, now)
}

// Halve drops the half of the entries that matters least.
func (l *Learned) Halve() {
	l.RunTimes.Kinds = l.RunTimes.Kinds[:len(l.RunTimes.Kinds)/2]
	l.Speeds.Entries = l.Speeds.Entries[:len(l.Speeds.Entries)/2]
}

// LearnedEnds returns the number of groups that have succeeded, by which a caller can tell how much of Learned is new.
func (e *Engine) LearnedEnds() uint64 {
	return e.learnedEnds
}
