package table

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	firstPause  = 50 * time.Millisecond
	longestWait = time.Second
)

// jitter draws the waits between attempts.
type jitter struct {
	mu     sync.Mutex
	random *rand.Rand
}

// newJitter makes a jitter that repeats with the seed; 0 means that it doesn't.
func newJitter(seed uint64) *jitter {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &jitter{random: rand.New(rand.NewPCG(seed, seed))}
}

// backoff returns a random wait, longer on average with each attempt.
func (j *jitter) backoff(tried int) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return time.Duration(j.random.Int64N(int64(min(firstPause<<tried, longestWait))))
}
