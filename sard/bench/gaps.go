package bench

import (
	"math"
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// gaps averages fragmentation over time, from the assignments alone. Cells are aligned blocks of a power of two
// of accelerators, in the order of racks and workers.
type gaps struct {
	each    int
	index   map[ident.Worker]int
	out     map[ident.Worker]bool
	used    []bool
	since   time.Time
	begin   time.Time
	sum     float64
	strands float64
}

func newGaps(s site, begin time.Time) *gaps {
	g := &gaps{each: int(s.each), index: map[ident.Worker]int{}, out: map[ident.Worker]bool{}, since: begin, begin: begin}
	for i, w := range s.topology().Workers {
		g.index[w.Name] = i
	}
	g.used = make([]bool, s.accelerators())
	return g
}

// occupy marks the accelerators of parts as used with by 1, as free with -1.
func (g *gaps) occupy(parts []place.Part, by int) {
	for _, p := range parts {
		for set := uint64(p.Accelerators); set != 0; set &= set - 1 {
			g.used[g.index[p.Worker]*g.each+bits.TrailingZeros64(set)] = by > 0
		}
	}
}

func (g *gaps) serve(w ident.Worker, in bool) {
	g.out[w] = !in
}

// pass counts the time until at under the present assignment.
func (g *gaps) pass(at time.Time, shape int) {
	span := at.Sub(g.since).Seconds()
	g.since = at
	if span <= 0 || shape == 0 {
		return
	}
	fragmentation, stranded := g.measure(1 << bits.Len(uint(shape-1)))
	g.sum += fragmentation * span
	g.strands += stranded * span
}

// measure returns the fragmentation for a shape and the stranded share of all accelerators.
func (g *gaps) measure(shape int) (fragmentation, stranded float64) {
	free, whole := 0, 0
	for first := 0; first < len(g.used); first += shape {
		n := 0
		for i := first; i < min(first+shape, len(g.used)); i++ {
			if !g.used[i] && !g.outAt(i) {
				n++
			}
		}
		free += n
		if n == shape {
			whole++
		}
	}
	if possible := free / shape; possible > 0 {
		fragmentation = 1 - float64(whole)/float64(possible)
	}
	return fragmentation, float64(free-whole*shape) / float64(len(g.used))
}

func (g *gaps) outAt(i int) bool {
	if len(g.out) == 0 {
		return false
	}
	for w, out := range g.out {
		if out && g.index[w] == i/g.each {
			return true
		}
	}
	return false
}

func (g *gaps) averages() (fragmentation, stranded float64) {
	span := g.since.Sub(g.begin).Seconds()
	if span <= 0 {
		return 0, 0
	}
	return g.sum / span, g.strands / span
}

func lognormal(r *rand.Rand, spread float64) float64 {
	return math.Exp(spread * r.NormFloat64())
}
