// Package fleet is the client of the platform's lagging list of live and leaving machines.
//
// The list is served as JSON at GET /v1/fleet.
package fleet

import "github.com/sardineline/sardineline/sard/ident"

// Worker is a worker in the list.
type Worker struct {
	Name         ident.Worker
	Address      string
	DataCentre   ident.DataCentre
	Rack         ident.Rack
	Accelerators ident.Accelerators
	State        ident.MemberState
	// Index is the worker's position in its rack, from 0.
	Index int
}

// Server is a backend server in the list.
type Server struct {
	Name        ident.Server
	Address     string
	DataCentre  ident.DataCentre
	Slots       int
	Connections int
	State       ident.MemberState
}

// Instance is an entry instance in the list.
type Instance struct {
	Name       ident.Instance
	Address    string
	DataCentre ident.DataCentre
	State      ident.MemberState
}

// Snapshot is the list at a moment, which may lie some time back. Racks of a data centre are listed in the
// order in which they stand; neighbours in the list are adjacent.
type Snapshot struct {
	// Sequence rises with each change.
	Sequence  uint64
	Workers   []Worker
	Servers   []Server
	Instances []Instance
}
