package place

import (
	"cmp"
	"math/bits"
	"slices"
)

func ones(mask uint64) int32 { return int32(bits.OnesCount64(mask)) }

// cost ranks choices: the first field that differs decides, the lower is better.
type cost [4]int64

func (c cost) less(d cost) bool {
	return slices.Compare(c[:], d[:]) < 0
}

// bySize orders grants, the largest first, then by account.
func bySize(a, b *grant) int {
	return cmp.Or(cmp.Compare(b.size, a.size), cmp.Compare(a.account.name, b.account.name), cmp.Compare(a.number, b.number))
}
