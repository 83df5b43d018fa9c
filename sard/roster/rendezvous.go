package roster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RendezvousOrder orders names by rendezvous hashing for a key, the best first. Names that come or go leave the order of the
// others as it was.
func RendezvousOrder[N ~string](key string, names []N) []N {
	type scored struct {
		name  N
		score uint64
	}
	all := make([]scored, 0, len(names))
	for _, name := range names {
		all = append(all, scored{name: name, score: score(key, string(name))})
	}
	slices.SortFunc(all, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	ranked := make([]N, 0, len(all))
	for _, s := range all {
		ranked = append(ranked, s.name)
	}
	return ranked
}

func score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
