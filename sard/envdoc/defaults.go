package envdoc

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// The values that stand in for zero values of a document.
const (
	DefaultWeight             = 1
	DefaultGuaranteeCount     = 1
	DefaultTimeout            = ident.Duration(30 * time.Second)
	DefaultMaxQueuedJobs      = 10_000
	DefaultMaxWaitingRequests = 1_000
	DefaultMaxBodyBytes       = int64(1 << 20)
	DefaultCheckpointGrace    = ident.Duration(30 * time.Second)
	DefaultProvenFor          = ident.Duration(10 * time.Minute)
)

// fill replaces zero values by the defaults and puts the lists in the order of their names, so that documents
// which mean the same are the same.
func (doc *Document) fill() {
	if doc.Objective == (Objective{}) {
		doc.Objective = Objective{CompletionTime: 1, Fragmentation: 1}
	}
	doc.Limits.fill()
	orDefault(&doc.Promotion.ProvenFor, DefaultProvenFor)
	for i := range doc.Accounts {
		doc.Accounts[i].fill(doc.Limits)
	}
	for i := range doc.Routes {
		doc.Routes[i].fill(doc.Limits)
	}
	slices.SortFunc(doc.Accounts, func(a, b Account) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(doc.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
}

func (l *Limits) fill() {
	orDefault(&l.MaxQueuedJobs, DefaultMaxQueuedJobs)
	orDefault(&l.MaxWaitingRequests, DefaultMaxWaitingRequests)
	orDefault(&l.MaxBody, DefaultMaxBodyBytes)
	orDefault(&l.CheckpointGrace, DefaultCheckpointGrace)
}

func (a *Account) fill(limits Limits) {
	orDefault(&a.Weight, DefaultWeight)
	orDefault(&a.MaxQueuedJobs, limits.MaxQueuedJobs)
	orDefault(&a.MaxWaitingRequests, limits.MaxWaitingRequests)
	for i := range a.Guarantees {
		orDefault(&a.Guarantees[i].Count, DefaultGuaranteeCount)
	}
	slices.SortFunc(a.Guarantees, func(x, y Guarantee) int { return cmp.Compare(x.Accelerators, y.Accelerators) })
}

func (r *Route) fill(limits Limits) {
	orDefault(&r.Timeout, DefaultTimeout)
	orDefault(&r.MaxBody, limits.MaxBody)
}

func orDefault[T comparable](v *T, fallback T) {
	var zero T
	if *v == zero {
		*v = fallback
	}
}
