package roster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RendezvousOrder returns names ordered by rendezvous hashing for a key, best first. Adding or removing a name does not
// change the order of the others.
func RendezvousOrder[N ~string](key string, names []N) []N {
	type scored struct {
		name  N
		score uint64
	}
	scores := make([]scored, 0, len(names))
	for _, name := range names {
		scores = append(scores, scored{name: name, score: rendezvousScore(key, string(name))})
	}
	slices.SortFunc(scores, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	ordered := make([]N, 0, len(scores))
	for _, s := range scores {
		ordered = append(ordered, s.name)
	}
	return ordered
}

// rendezvousScore returns the hash of a key and a name, separated by a zero byte.
func rendezvousScore(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
