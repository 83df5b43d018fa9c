// Package fleet is the client of the platform's list of live and leaving machines: workers, backend servers and
// instances. A leaving machine is about to be removed. The list may lag behind reality.
//
// The platform serves the list as JSON at GET /v1/fleet.
package fleet

import "github.com/sardineline/sardineline/sard/ident"

// Worker is a worker in the list.
type Worker struct {
	Name       ident.Worker
	Address    string
	DataCentre ident.DataCentre
	Rack       ident.Rack
	// Accelerators is the number of accelerators of the worker.
	Accelerators ident.Accelerators
	State        ident.MemberState
	// Index is the position of the worker in its rack, counted from 0.
	Index int
}

// Server is a backend server in the list.
type Server struct {
	Name       ident.Server
	Address    string
	DataCentre ident.DataCentre
	// Slots is the number of requests that the server handles at the same time.
	Slots int
	// Connections is the number of connections that all instances together may have open to the server.
	Connections int
	State       ident.MemberState
}

// Instance is an instance of Sardineline, the service of this module, in the list.
type Instance struct {
	Name       ident.Instance
	Address    string
	DataCentre ident.DataCentre
	State      ident.MemberState
}

// Snapshot is the list at a point in time, which may lie in the past. The racks of a data centre are listed in their
// physical order: neighbours in the list are adjacent.
type Snapshot struct {
	// Sequence increases with each change of the list.
	Sequence  uint64
	Workers   []Worker
	Servers   []Server
	Instances []Instance
}
