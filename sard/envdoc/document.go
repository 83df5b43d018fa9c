// Package envdoc parses and validates environment documents, and computes their digests.
//
// A document is the configuration that operators set for an environment. It contains no addresses and no environment
// name, so that the same bytes can be tested in the trial environment and then promoted to production. The canonical
// form of a document is its JSON encoding after defaults were applied; its digest is the SHA-256 of that form.
package envdoc

import "github.com/sardineline/sardineline/sard/ident"

// Document is an environment document: the client accounts, routes, limits and promotion requirements of an
// environment, and the weights by which it places jobs. Its canonical form is its JSON encoding, so the names and the
// order of the fields determine the digest.
type Document struct {
	// Objective sets the weights of the placement objective.
	Objective Objective
	// Accounts are the client accounts. Parse sorts them by name.
	Accounts []Account
	// Routes are the routes of short requests. Parse sorts them by name.
	Routes []Route
	// Limits are the limits on queues, request bodies and checkpoints.
	Limits Limits
	// Promotion sets the requirements for promoting the document to production.
	Promotion Promotion
}

// Objective holds the weights of the two terms of the objective by which jobs are placed on accelerators. Only their
// ratio matters; if both are 0, the weights are equal.
type Objective struct {
	// CompletionTime is the weight of short job completion times.
	CompletionTime float64
	// Fragmentation is the weight of low fragmentation of free accelerators.
	Fragmentation float64
}

// Account holds the guarantees and limits of a client account.
type Account struct {
	// Name identifies the account; it is unique in the document.
	Name ident.Account
	// Guarantees is the capacity that the account can always reclaim. Parse sorts it by size.
	Guarantees []Guarantee
	// Weight is the account's relative share of capacity that is not guaranteed and of request queues; 0 means 1.
	Weight int
	// MaxQueuedJobs limits the queued jobs of the account; 0 means the limit of the document.
	MaxQueuedJobs int
	// MaxWaitingRequests limits the waiting requests of the account; 0 means the limit of the document.
	MaxWaitingRequests int
}

// Guarantee is a number of cells of one size that an account can always reclaim.
type Guarantee struct {
	// Accelerators is the size of a cell, which is a group of adjacent accelerators that one gang can use.
	Accelerators ident.Accelerators
	// Count is the number of cells; 0 means 1.
	Count int
}

// Route holds the settings of one type of short request. A request uses the route with the longest matching path
// prefix.
type Route struct {
	// Name identifies the route; it is unique in the document.
	Name ident.RouteName
	// Path is the path prefix that the route matches.
	Path string
	// Class tells whether requests may be sent again to a backend server.
	Class ident.RequestClass
	// Timeout bounds the duration of a request; 0 means DefaultTimeout.
	Timeout ident.Duration
	// MaxBody limits the body of a request in bytes; 0 means the limit of the document.
	MaxBody int64
}

// Limits holds the limits on queues, request bodies and checkpoints. Zero values mean the defaults of this package.
type Limits struct {
	// MaxQueuedJobs is the limit on queued jobs for accounts that set none.
	MaxQueuedJobs int
	// MaxWaitingRequests is the limit on waiting requests for accounts that set none.
	MaxWaitingRequests int
	// MaxBody is the limit on request bodies in bytes for routes that set none.
	MaxBody int64
	// CheckpointGrace is how long a job may take to write a checkpoint before it is stopped.
	CheckpointGrace ident.Duration
}

// Promotion holds the requirements for promoting a document from the trial environment to production.
type Promotion struct {
	// ProvenFor is how long the document must have been in force on all trial instances; 0 means
	// DefaultProvenFor.
	ProvenFor ident.Duration
}
