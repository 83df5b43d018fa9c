package domain

import (
	"cmp"
	"slices"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/roster"
)

// candidate is a domain to which a job may be submitted, with its load and whether the account has a guarantee there.
type candidate struct {
	load roster.DomainLoad
	// hasGuarantee is set if the account has a guarantee in the domain that is large enough for the gang.
	hasGuarantee bool
}

// rankDomains orders the domains for a gang, best first: those that can start it at once, then those that guarantee its
// accelerators, then those with the fewest waiting gangs per accelerator. It omits domains that are smaller than the
// gang.
func rankDomains(size ident.Accelerators, candidates []candidate) []ident.DataCentre {
	fitting := slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return c.load.Total < size })
	slices.SortStableFunc(fitting, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(b.startScore(size), a.startScore(size)),
			cmp.Compare(a.waitingPerAccelerator(), b.waitingPerAccelerator()),
			cmp.Compare(a.load.DataCentre, b.load.DataCentre),
		)
	})
	names := make([]ident.DataCentre, 0, len(fitting))
	for _, c := range fitting {
		names = append(names, c.load.DataCentre)
	}
	return names
}

// startScore rates how likely a domain is to start a gang of the given size at once, higher for more likely: enough
// free accelerators without waiting gangs count more than a guarantee.
func (c candidate) startScore(size ident.Accelerators) int {
	score := 0
	if c.load.LargestFree >= size && c.load.Waiting == 0 {
		score += 2
	}
	if c.hasGuarantee {
		score++
	}
	return score
}

// waitingPerAccelerator returns the number of waiting gangs in the domain per accelerator.
func (c candidate) waitingPerAccelerator() float64 {
	return float64(c.load.Waiting) / float64(max(c.load.Total, 1))
}

// preferGuaranteed returns the domains that have a guarantee for the gang, or all candidates if none has. It is used
// for gangs that can't be checkpointed, which fail in domains without a guarantee.
func preferGuaranteed(candidates []candidate) []candidate {
	guaranteed := slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return !c.hasGuarantee })
	if len(guaranteed) == 0 {
		return candidates
	}
	return guaranteed
}
