package pool

import (
	"flag"
	"fmt"
	"testing"
)

// seeds is how many seeds the random worlds are played with.
var seeds = flag.Uint64("seeds", 40, "number of seeds of the random worlds")

// TestRandomWaitsInPoolWithRoom guards against jobs that have nothing running for 3 s although a group's turn has come, it fits
// twice and under half of the pool is in use.
func TestRandomWaitsInPoolWithRoom(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			newWorld(t, seed).play()
		})
	}
}
