package envdoc_test

import (
	"fmt"

	"github.com/sardineline/sardineline/sard/envdoc"
)

// exampleDocument uses every key of a document. Omitted keys get their defaults.
const exampleDocument = `
# Weights of the placement objective. Only their ratio matters.
Objective:
  CompletionTime: 3
  Fragmentation: 1

# Client accounts and the capacity that each can always reclaim.
Accounts:
- Name: north
  Guarantees:
  - Accelerators: 64    # a whole rack of 8 workers
    Count: 2
  - Accelerators: 8     # one worker
  Weight: 2             # relative share of capacity that is not guaranteed
  MaxQueuedJobs: 500
  MaxWaitingRequests: 200
- Name: south

# Short requests, matched by the longest path prefix.
Routes:
- Name: quotes
  Path: /quotes
  Class: Idempotent     # may be retried
  Timeout: 5s
- Name: settle
  Path: /claims/settle
  Class: NotRepeated    # sent at most once
  MaxBody: 65536

Limits:
  MaxQueuedJobs: 10000
  MaxWaitingRequests: 1000
  MaxBody: 1048576
  CheckpointGrace: 30s

# How long all trial instances must run the document before it can be promoted.
Promotion:
  ProvenFor: 10m
`

func ExampleParse() {
	doc, _, digest, err := envdoc.Parse([]byte(exampleDocument))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Printf("%.12s\n", digest)
	fmt.Println(doc.Accounts[1].Name, doc.Accounts[1].Weight, doc.Accounts[1].MaxQueuedJobs)
	fmt.Println(doc.Routes[0].Name, doc.Routes[0].Class, doc.Routes[0].Timeout, doc.Routes[0].MaxBody)
	// Output:
	// 72c24021293b
	// south 1 10000
	// quotes Idempotent 5s 1048576
}

func ExampleDiff() {
	from, _, _, _ := envdoc.Parse([]byte("Accounts: [{Name: north, Weight: 2}]"))
	to, _, _, _ := envdoc.Parse([]byte("Accounts: [{Name: north, Guarantees: [{Accelerators: 8}]}]"))
	for _, change := range envdoc.Diff(from, to) {
		fmt.Println(change)
	}
	// Output:
	// + Accounts[north].Guarantees[8].Accelerators: 8
	// + Accounts[north].Guarantees[8].Count: 1
	// ~ Accounts[north].Weight: 2 -> 1
}
