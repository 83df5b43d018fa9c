// Package peer implements the protocol between instances: CBOR messages over WebSocket.
//
// Both sides may call each other over one connection. A call carries an id and its reply the same id, so replies may
// arrive in any order. A reply that arrives after its call was cancelled is dropped.
package peer

import (
	"github.com/sardineline/sardineline/sard/config"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/roster"
)

//go:generate go tool stringer -type=Kind -output=kind_string.go

// Kind identifies the type of a message on the wire. Its values are part of the protocol: new kinds are added at the
// end.
type Kind int

// The kinds of messages.
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

// Message is a message between instances. The interface is sealed.
type Message interface{ kind() Kind }

// Done is the reply to a call that returns no data.
type Done struct{}

// Heartbeat carries the membership as the sender knows it.
type Heartbeat struct{ roster.Heartbeat }

// Exchange reports the document that the sender has in force. The reply is the receiver's own Exchange.
type Exchange struct{ Report config.Report }

// Fetch requests the record of an accepted document; Version 0 is the one in force. The reply is Record.
type Fetch struct{ Version ident.Version }

// Record carries an accepted document as config.Agent encodes it.
type Record struct{ Record []byte }

// Submit forwards a job submission to the holder of a domain. The reply is View.
type Submit struct {
	Domain  ident.DataCentre
	Account ident.Account
	Key     ident.IdempotencyKey
	Spec    gang.JobSpec
}

// Get requests a job from the holder of a domain. The reply is View.
type Get struct {
	Domain  ident.DataCentre
	Account ident.Account
	Job     ident.Job
}

// List requests an account's jobs from the holder of a domain. The reply is Views.
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

// Explain requests the explanation of a job's placement from the holder of a domain. The reply is Explanation.
type Explain struct {
	Domain  ident.DataCentre
	Account ident.Account
	Job     ident.Job
}

// View carries the view of a job.
type View struct{ View gang.JobView }

// Views carries the views of several jobs.
type Views struct{ Views []gang.JobView }

// Explanation carries the explanation of a job's placement.
type Explanation struct{ Explanation place.Explanation }

// StatusQuery requests the state of an instance. The reply is Status.
type StatusQuery struct{}

// Status is the state of the instance that sends it.
type Status struct {
	Member roster.Member
	Report config.Report
	// NotReady is the reason why the instance is not ready; empty when it is.
	NotReady string
	Domains  []DomainStatus
	// Servers are the backend servers that are leaving, as far as the instance knows.
	Servers  []ident.Server
	Breaches uint64
}

// DomainStatus is the state of a domain that the instance holds.
type DomainStatus struct {
	DataCentre ident.DataCentre
	Epoch      ident.Epoch
	Summary    place.Summary
}

// Drain asks an instance to shut down gracefully. The reply is Done and is sent before the shutdown completes.
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
