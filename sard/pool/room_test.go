package pool

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// seeds is how many seeds each random world is played with; 0 for the numbers in randomWorlds.
var seeds = flag.Uint64("seeds", 0, "number of seeds of each random world")

// randomWorlds are the random worlds, by what happens in them besides failures of workers.
var randomWorlds = []struct {
	name  string
	seeds uint64
	play  func(t *testing.T, seed uint64)
}{
	{"", 40, func(t *testing.T, seed uint64) { newWorld(t, seed, plainSpace).play() }},
	{"takeovers", 10, func(t *testing.T, seed uint64) {
		f := newFaultyWorld(t, seed, takeoverSpace)
		f.takeovers = rand.New(rand.NewPCG(seed, takeoverSpace+1000))
		f.play()
	}},
	{"crashes", 10, func(t *testing.T, seed uint64) {
		f := newFaultyWorld(t, seed, crashSpace)
		f.crashing = rand.New(rand.NewPCG(seed, crashSpace+1000))
		f.play()
	}},
	{"workers", 10, func(t *testing.T, seed uint64) {
		f := newFaultyWorld(t, seed, workerSpace)
		f.troubles = rand.New(rand.NewPCG(seed, workerSpace+1000))
		f.play()
	}},
	{"all", 10, func(t *testing.T, seed uint64) {
		f := newFaultyWorld(t, seed, combinedSpace)
		f.takeovers = rand.New(rand.NewPCG(seed, combinedSpace+1000))
		f.crashing = rand.New(rand.NewPCG(seed, combinedSpace+2000))
		f.troubles = rand.New(rand.NewPCG(seed, combinedSpace+3000))
		f.play()
	}},
}

// TestRandomWaitsInPoolWithRoom guards against jobs that have nothing running for 3 s although a group's turn has come, it fits
// twice and under half of the pool is in use.
func TestRandomWaitsInPoolWithRoom(t *testing.T) {
	for _, world := range randomWorlds {
		for seed := range cmp.Or(*seeds, world.seeds) {
			t.Run(strings.TrimSpace(fmt.Sprintf("%s seed %d", world.name, seed)), func(t *testing.T) {
				t.Parallel()
				world.play(t, seed)
			})
		}
	}
}
