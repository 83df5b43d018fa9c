package table

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// initialBackoff and maxBackoff bound the random delay before a retry.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// jitter computes the random backoff between attempts.
type jitter struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// newJitter returns a jitter with the given seed; 0 selects a random one.
func newJitter(seed uint64) *jitter {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &jitter{rng: rand.New(rand.NewPCG(seed, seed))}
}

// backoff returns a random delay of up to initialBackoff << attempts, limited to maxBackoff.
func (j *jitter) backoff(attempts int) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return time.Duration(j.rng.Int64N(int64(min(initialBackoff<<attempts, maxBackoff))))
}
