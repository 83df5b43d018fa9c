package speed

import (
	"math"
	"time"
)

// Need describes how much time work has, to choose workers by their speed.
type Need struct {
	// Typical and High are the forecast run time of the work on a typical worker, and one that it rarely exceeds.
	Typical, High time.Duration
	// Left is the time in which the work should end.
	Left time.Duration
	// First is set for work that gets the fastest workers whatever time it has left.
	First bool
}

const (
	// littleSlack is the speed from which on work that needs it has little slack: it probably ends late on a typical worker.
	littleSlack Log = -0.15
	// hopeless is the required speed of work that no worker can end in time.
	hopeless Log = 10
	// BandWidth is the difference of speeds within which workers count as equally fast.
	BandWidth Log = 0.15
	// maxBand limits the bands on both sides.
	maxBand = 20
)

// Required returns the least speed at which work of the given run time ends within the time left.
func (n Need) Required(runTime time.Duration) Log {
	if n.Left <= 0 {
		return hopeless
	}
	if runTime <= 0 {
		return -hopeless
	}
	return LogOf(runTime.Seconds() / n.Left.Seconds())
}

// WantsFast reports whether the work should get the fastest workers: it comes first, or it has little slack. Work with
// much slack takes the slowest workers on which it ends in time, and leaves the fast ones to others.
func (n Need) WantsFast() bool {
	return n.First || n.Required(n.High) > littleSlack
}

// EndsInTime reports whether the work is expected to end in time on workers of the given speed.
func (n Need) EndsInTime(slowest Log) bool {
	return slowest >= n.Required(n.Typical)
}

// Band is a class of workers that count as equally fast. Faster workers have higher bands, and a typical worker that is
// known well has the band 0.
type Band int8

// Band returns the band of a worker with this estimate, by the speed that it probably reaches.
func (e Estimate) Band() Band {
	return bandOf(e.Low())
}

// Floor returns the lowest band whose workers probably end the work in time.
func (n Need) Floor() Band {
	return bandOf(n.Required(n.High))
}

// bandOf returns the band that contains a speed.
func bandOf(l Log) Band {
	return Band(max(-maxBand, min(math.Round(float64(l/BandWidth)), maxBand)))
}

// Class is a coarser classification of workers than Band, for work to which their exact speed does not matter.
type Class int8

// Classes of workers, slowest first.
const (
	slowClass Class = iota
	typicalClass
	fastClass
)

// slowestTypical is the lowest band of the workers that are not surely slow.
const slowestTypical Band = -3

// Class returns the class of a band. Workers of unknown speed are among the typical ones.
func (b Band) Class() Class {
	switch {
	case b < slowestTypical:
		return slowClass
	case b <= 0:
		return typicalClass
	default:
		return fastClass
	}
}
