package envdoc

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// The defaults that replace zero values of a document.
const (
	// DefaultWeight is the default of Account.Weight.
	DefaultWeight = 1
	// DefaultGuaranteeCount is the default of Guarantee.Count.
	DefaultGuaranteeCount = 1
	// DefaultTimeout is the default of Route.Timeout.
	DefaultTimeout = ident.Duration(30 * time.Second)
	// DefaultMaxQueuedJobs is the default of Limits.MaxQueuedJobs.
	DefaultMaxQueuedJobs = 10_000
	// DefaultMaxWaitingRequests is the default of Limits.MaxWaitingRequests.
	DefaultMaxWaitingRequests = 1_000
	// DefaultMaxBodyBytes is the default of Limits.MaxBody.
	DefaultMaxBodyBytes = int64(1 << 20)
	// DefaultCheckpointGrace is the default of Limits.CheckpointGrace.
	DefaultCheckpointGrace = ident.Duration(30 * time.Second)
	// DefaultProvenFor is the default of Promotion.ProvenFor.
	DefaultProvenFor = ident.Duration(10 * time.Minute)
)

// applyDefaults replaces zero values by the defaults and sorts the lists, so that equivalent documents become identical
// and have the same digest.
func (doc *Document) applyDefaults() {
	if doc.Objective == (Objective{}) {
		doc.Objective = Objective{CompletionTime: 1, Fragmentation: 1}
	}
	doc.Limits.applyDefaults()
	setDefault(&doc.Promotion.ProvenFor, DefaultProvenFor)
	for i := range doc.Accounts {
		doc.Accounts[i].applyDefaults(doc.Limits)
	}
	for i := range doc.Routes {
		doc.Routes[i].applyDefaults(doc.Limits)
	}
	slices.SortFunc(doc.Accounts, func(a, b Account) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(doc.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
}

// applyDefaults replaces zero limits by the defaults of the package.
func (l *Limits) applyDefaults() {
	setDefault(&l.MaxQueuedJobs, DefaultMaxQueuedJobs)
	setDefault(&l.MaxWaitingRequests, DefaultMaxWaitingRequests)
	setDefault(&l.MaxBody, DefaultMaxBodyBytes)
	setDefault(&l.CheckpointGrace, DefaultCheckpointGrace)
}

// applyDefaults replaces zero values, the limits by those of the document, and sorts the guarantees by size.
func (a *Account) applyDefaults(limits Limits) {
	setDefault(&a.Weight, DefaultWeight)
	setDefault(&a.MaxQueuedJobs, limits.MaxQueuedJobs)
	setDefault(&a.MaxWaitingRequests, limits.MaxWaitingRequests)
	for i := range a.Guarantees {
		setDefault(&a.Guarantees[i].Count, DefaultGuaranteeCount)
	}
	slices.SortFunc(a.Guarantees, func(x, y Guarantee) int { return cmp.Compare(x.Accelerators, y.Accelerators) })
}

// applyDefaults replaces zero values, the body limit by that of the document.
func (r *Route) applyDefaults(limits Limits) {
	setDefault(&r.Timeout, DefaultTimeout)
	setDefault(&r.MaxBody, limits.MaxBody)
}

// setDefault sets a zero field to fallback.
func setDefault[T comparable](field *T, fallback T) {
	var zero T
	if *field == zero {
		*field = fallback
	}
}
