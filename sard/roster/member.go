// Package roster tracks the instances that are live, leaving or lost.
//
// Each instance sends a heartbeat to the few peers that rendezvous hashing gives it, its monitors. A monitor that
// misses heartbeats spreads the loss as news inside its own heartbeats; an instance that hears of its own loss
// refutes it with a higher incarnation. The platform's lagging list seeds the membership. Nothing that must be
// agreed depends on it: a wrong view costs time, never a promise.
package roster

import (
	"github.com/sardineline/sardineline/sard/ident"
)

//go:generate go tool stringer -type=Status -output=status_string.go

// Status is what is known of a member. A later status wins over an earlier one of the same incarnation.
type Status int

// The statuses of a member.
const (
	Alive Status = iota
	Leaving
	Lost
)

// Member is an instance as its peers see it.
type Member struct {
	Name       ident.Instance
	Address    string
	DataCentre ident.DataCentre
	// Incarnation rises with each start of an instance and each refuted loss.
	Incarnation uint64
	Status      Status
}

// supersedes tells whether m is newer knowledge than old.
func (m Member) supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.Status > old.Status
}

// DomainLoad is what the holder of a domain tells of it.
type DomainLoad struct {
	DataCentre  ident.DataCentre
	Epoch       ident.Epoch
	Total       ident.Accelerators
	Free        ident.Accelerators
	LargestFree ident.Accelerators
	Waiting     int
}

// Heartbeat is what an instance tells its monitors.
type Heartbeat struct {
	From Member
	// Domains are the domains that the sender holds.
	Domains []DomainLoad
	// News are changes of membership that the sender passes on.
	News []Member
	// Servers are backend servers that were seen leaving.
	Servers []LeavingServer
	// Release tells that the receiver is no longer a monitor of the sender.
	Release bool
}
