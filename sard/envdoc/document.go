// Package envdoc reads, checks and identifies environment documents.
//
// A document holds what operators decide for an environment. It names no address and no environment, so that
// the same bytes are proven in trial and promoted to production.
package envdoc

import "github.com/sardineline/sardineline/sard/ident"

// Document is an environment document.
type Document struct {
	Objective Objective
	Accounts  []Account
	Routes    []Route
	Limits    Limits
	Promotion Promotion
}

// Objective weighs the two measures. Only the ratio matters; both zero means equal weights.
type Objective struct {
	CompletionTime float64
	Fragmentation  float64
}

// Account is a client account.
type Account struct {
	Name       ident.Account
	Guarantees []Guarantee
	// Weight is the account's share of what is not guaranteed and of request queues; 0 means 1.
	Weight int
	// MaxQueuedJobs bounds the account's jobs that wait; 0 means the document's limit.
	MaxQueuedJobs int
	// MaxWaitingRequests bounds the account's requests that wait; 0 means the document's limit.
	MaxWaitingRequests int
}

// Guarantee is a number of cells of one shape.
type Guarantee struct {
	// Accelerators is the size of a cell: adjacent accelerators that one gang can use.
	Accelerators ident.Accelerators
	// Count is the number of such cells; 0 means 1.
	Count int
}

// Route is a kind of short request, chosen by the longest matching path prefix.
type Route struct {
	Name    ident.RouteName
	Path    string
	Class   ident.RequestClass
	Timeout ident.Duration
	// MaxBody bounds the body of a request in bytes; 0 means the document's limit.
	MaxBody int64
}

// Limits bounds what an environment takes in. Zero values mean the defaults of the package.
type Limits struct {
	MaxQueuedJobs      int
	MaxWaitingRequests int
	MaxBody            int64
	CheckpointGrace    ident.Duration
}

// Promotion tells when a document counts as proven in trial.
type Promotion struct {
	// ProvenFor is how long the digest must have been in force on all trial instances; 0 means the default.
	ProvenFor ident.Duration
}
