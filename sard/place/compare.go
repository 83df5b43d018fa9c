package place

import (
	"cmp"
	"math/bits"
	"slices"
)

// popCount returns the number of accelerators in a mask.
func popCount(mask uint64) int32 { return int32(bits.OnesCount64(mask)) }

// cost ranks alternatives, such as cells for a gang. Its elements are compared in order, the most important one first;
// lower is better.
type cost [4]int64

// less reports whether c is better than d.
func (c cost) less(d cost) bool {
	return slices.Compare(c[:], d[:]) < 0
}

// compareGrants orders grants by descending size, then by account name and by their number in the account.
func compareGrants(a, b *grant) int {
	return cmp.Or(cmp.Compare(b.size, a.size), cmp.Compare(a.account.name, b.account.name), cmp.Compare(a.number, b.number))
}
