package envdoc_test

import (
	"fmt"

	"github.com/sardineline/sardineline/sard/envdoc"
)

// commented shows every key of a document. Keys that are left out have the defaults.
const commented = `
# Weights of the two measures. Only the ratio matters.
Objective:
  CompletionTime: 3
  Fragmentation: 1

# Client accounts and what each can always reclaim.
Accounts:
- Name: north
  Guarantees:
  - Accelerators: 64    # a whole rack of 8 workers
    Count: 2
  - Accelerators: 8     # one worker
  Weight: 2             # share of what is not guaranteed
  MaxQueuedJobs: 500
  MaxWaitingRequests: 200
- Name: south

# Short requests, by the longest matching path.
Routes:
- Name: quotes
  Path: /quotes
  Class: Idempotent     # may be sent again
  Timeout: 5s
- Name: settle
  Path: /claims/settle
  Class: NotRepeated    # is sent at most once
  MaxBody: 65536

Limits:
  MaxQueuedJobs: 10000
  MaxWaitingRequests: 1000
  MaxBody: 1048576
  CheckpointGrace: 30s

# How long all trial instances must run the document before it is promoted.
Promotion:
  ProvenFor: 10m
`

func ExampleParse() {
	doc, _, digest, err := envdoc.Parse([]byte(commented))
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
