// Package peer implements the protocol between instances: CBOR messages over WebSocket.
//
// Both sides may call each other over one connection. A call carries an id and its reply the same id, so replies may
// arrive in any order. A reply that arrives after its call was cancelled is dropped.
//
// Some messages concern a domain, which is the scheduling domain of one data centre. Its holder is the instance that
// schedules the jobs there. A document is an environment document, which holds the operators' settings.
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

// The kinds of messages, each named after its message type. KindNone is the kind of a reply that carries an error.
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

// Message is a message between instances. Only the types of this package implement it.
type Message interface{ kind() Kind }

// Done is the reply to a call that returns no data.
type Done struct{}

// Heartbeat tells a peer that the sender is alive, and passes on membership changes and the loads of its domains.
type Heartbeat struct{ roster.Heartbeat }

// Exchange reports which document is in force at the sender. The reply is an Exchange with the receiver's report.
type Exchange struct{ Report config.Report }

// Fetch requests the document that is in force at the receiver, if it has the given version; 0 requests any version.
// The reply is Record.
type Fetch struct{ Version ident.Version }

// Record carries an accepted document as encoded by config.Agent.EncodedRecord.
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

// View carries the state of a job as shown to its client account.
type View struct{ View gang.JobView }

// Views carries the states of several jobs as shown to their client account.
type Views struct{ Views []gang.JobView }

// Explanation tells why a job waits, or where and why it was placed.
type Explanation struct{ Explanation place.Explanation }

// StatusQuery requests the state of the receiving instance. The reply is Status.
type StatusQuery struct{}

// Status is the state of the instance that sends it.
type Status struct {
	Member roster.Member
	// Report tells which document is in force at the instance.
	Report config.Report
	// NotReady is the reason why the instance is not ready; empty when it is.
	NotReady string
	// Domains are the domains that the instance holds.
	Domains []DomainStatus
	// Servers are the backend servers that are leaving, as far as the instance knows.
	Servers []ident.Server
	// Breaches is the number of violations of promised invariants that the instance has detected.
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
