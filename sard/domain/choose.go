package domain

import (
	"cmp"
	"slices"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/roster"
)

// candidate is a domain that a submission may go to.
type candidate struct {
	load roster.DomainLoad
	// guaranteed tells that the account has a guarantee there that holds the gang.
	guaranteed bool
}

// choose orders domains for a gang, the best first: those that have it free, then those that guarantee it, then
// those with the least waiting for their size. Domains that are smaller than the gang are left out.
func choose(size ident.Accelerators, all []candidate) []ident.DataCentre {
	fitting := slices.DeleteFunc(slices.Clone(all), func(c candidate) bool { return c.load.Total < size })
	slices.SortStableFunc(fitting, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(b.rank(size), a.rank(size)),
			cmp.Compare(a.pressure(), b.pressure()),
			cmp.Compare(a.load.DataCentre, b.load.DataCentre),
		)
	})
	names := make([]ident.DataCentre, 0, len(fitting))
	for _, c := range fitting {
		names = append(names, c.load.DataCentre)
	}
	return names
}

// rank is higher for a domain that is likelier to start the gang at once.
func (c candidate) rank(size ident.Accelerators) int {
	rank := 0
	if c.load.LargestFree >= size && c.load.Waiting == 0 {
		rank += 2
	}
	if c.guaranteed {
		rank++
	}
	return rank
}

// pressure is the number of waiting gangs an accelerator.
func (c candidate) pressure() float64 {
	return float64(c.load.Waiting) / float64(max(c.load.Total, 1))
}
