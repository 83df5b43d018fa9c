// Package roster tracks which instances are alive, leaving or lost.
//
// Each instance sends heartbeats to a few peers, its monitors, which it chooses by rendezvous hashing. A monitor that
// misses heartbeats marks the instance as lost and disseminates that as a membership update in its own heartbeats
// (gossip). An instance that learns of its own loss refutes it with a higher incarnation. The platform's list of
// instances, which lags behind, provides the initial members.
//
// The membership is eventually consistent. No guarantee depends on it: a wrong view costs time, but never correctness.
package roster

import (
	"github.com/sardineline/sardineline/sard/ident"
)

//go:generate go tool stringer -type=Status -output=status_string.go

// Status is the state of a member. Within one incarnation a higher status supersedes a lower one.
type Status int

// A member has one of these statuses.
const (
	// Alive is a member that is running and accepts work.
	Alive Status = iota
	// Leaving is a member that is shutting down or that the platform is about to remove.
	Leaving
	// Lost is a member whose heartbeats stopped, or that the platform no longer lists.
	Lost
)

// Member is an instance as it is described to its peers.
type Member struct {
	Name ident.Instance
	// Address is where the instance listens for its peers.
	Address    string
	DataCentre ident.DataCentre
	// Incarnation rises with each start of the instance and each update about itself that it refutes.
	Incarnation uint64
	Status      Status
}

// supersedes reports whether m is newer than old.
func (m Member) supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.Status > old.Status
}

// DomainLoad is the load of a scheduling domain, which is a data centre, as reported by its holder, the instance that
// schedules it.
type DomainLoad struct {
	DataCentre ident.DataCentre
	// Epoch is the epoch of the lease under which the domain is held; it rises with each new holder.
	Epoch ident.Epoch
	Total ident.Accelerators
	Free  ident.Accelerators
	// LargestFree is the number of accelerators in the largest free cell, a block of accelerators in which a gang can
	// be placed.
	LargestFree ident.Accelerators
	// Waiting is the number of gangs that wait to be placed. A gang is a job that needs all its accelerators at the
	// same time.
	Waiting int
}

// Heartbeat is the message that an instance sends to its monitors once per period.
type Heartbeat struct {
	// From is the sender.
	From Member
	// Domains are the loads of the domains that the sender holds.
	Domains []DomainLoad
	// News are the states of members that the sender passes on: recent changes of membership, and a few others in turn.
	News []Member
	// Servers are the backend servers that are marked as leaving.
	Servers []LeavingServer
	// Release tells the receiver that it is not, or no longer, a monitor of the sender and must not expect further
	// heartbeats.
	Release bool
}
