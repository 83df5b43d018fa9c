// Package peer is the link between instances: CBOR messages over WebSocket.
//
// Each side may call the other over one connection. A call carries an id; its reply carries the same id, so replies
// may come in any order and a late one is dropped.
package peer

import (
	"github.com/sardineline/sardineline/sard/config"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/roster"
)

//go:generate go tool stringer -type=Kind -output=kind_string.go

// Kind names the type of a message on the wire. New kinds are added at the end.
type Kind int

// The kinds of messages, in the order of the registry.
const (
	KindNone Kind = iota
	KindDone
	KindHeartbeat
	KindExchange
	KindFetch
	KindRecord
	KindSubmit
	KindGet
	KindList
	KindCancel
	KindExplain
	KindView
	KindViews
	KindExplanation
	KindStatusQuery
	KindStatus
	KindDrain
)

// Message is what instances send each other. It is sealed.
type Message interface{ kind() Kind }

// Done is the reply to a call that has nothing to tell.
type Done struct{}

// Heartbeat carries the membership.
type Heartbeat struct{ roster.Heartbeat }

// Exchange tells what a peer has in force. The reply is Exchange.
type Exchange struct{ Report config.Report }

// Fetch asks for the record of an accepted document. Version 0 asks for the one in force. The reply is Record.
type Fetch struct{ Version ident.Version }

// Record carries an accepted document as config.Agent encodes it.
type Record struct{ Record []byte }

// Submit passes a job on to the holder of a domain. The reply is View.
type Submit struct {
	Domain  ident.DataCentre
	Account ident.Account
	Key     ident.IdempotencyKey
	Spec    gang.JobSpec
}

// Get asks the holder of a domain for a job. The reply is View.
type Get struct {
	Domain  ident.DataCentre
	Account ident.Account
	Job     ident.Job
}

// List asks the holder of a domain for an account's jobs. The reply is Views.
type List struct {
	Domain  ident.DataCentre
	Account ident.Account
}

// Cancel asks the holder of a domain to cancel jobs. The reply is Done.
type Cancel struct {
	Domain  ident.DataCentre
	Account ident.Account
	Jobs    []ident.Job
}

// Explain asks the holder of a domain about a job. The reply is Explanation.
type Explain struct {
	Domain  ident.DataCentre
	Account ident.Account
	Job     ident.Job
}

// View carries a job.
type View struct{ View gang.JobView }

// Views carries jobs.
type Views struct{ Views []gang.JobView }

// Explanation carries what is known of a job's placement.
type Explanation struct{ Explanation place.Explanation }

// StatusQuery asks an instance for its Status.
type StatusQuery struct{}

// Status is an instance's own state.
type Status struct {
	Member roster.Member
	Report config.Report
	// NotReady tells why the instance is not ready; empty when it is.
	NotReady string
	Domains  []DomainStatus
	// Servers are the backend servers that the instance knows as leaving.
	Servers  []ident.Server
	Breaches uint64
}

// DomainStatus is the state of a domain that the instance holds.
type DomainStatus struct {
	DataCentre ident.DataCentre
	Epoch      ident.Epoch
	Summary    place.Summary
}

// Drain asks an instance to stop by plan. The reply is Done, given at once.
type Drain struct{}

func (Done) kind() Kind        { return KindDone }
func (Heartbeat) kind() Kind   { return KindHeartbeat }
func (Exchange) kind() Kind    { return KindExchange }
func (Fetch) kind() Kind       { return KindFetch }
func (Record) kind() Kind      { return KindRecord }
func (Submit) kind() Kind      { return KindSubmit }
func (Get) kind() Kind         { return KindGet }
func (List) kind() Kind        { return KindList }
func (Cancel) kind() Kind      { return KindCancel }
func (Explain) kind() Kind     { return KindExplain }
func (View) kind() Kind        { return KindView }
func (Views) kind() Kind       { return KindViews }
func (Explanation) kind() Kind { return KindExplanation }
func (StatusQuery) kind() Kind { return KindStatusQuery }
func (Status) kind() Kind      { return KindStatus }
func (Drain) kind() Kind       { return KindDrain }
