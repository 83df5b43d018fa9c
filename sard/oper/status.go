package oper

import (
	"context"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// StatusView is the state of the whole system.
type StatusView struct {
	// Version and Digest are of the document in force at the instance that answers.
	Version   ident.Version
	Digest    ident.Digest
	Instances []InstanceStatus
	Domains   []DomainStatus
	// LeavingServers are the backend servers that get no new requests.
	LeavingServers []ident.Server
	Shortages      []ShortageStatus
	// Breaches counts the broken promises that the instances have seen.
	Breaches uint64
}

// InstanceStatus is the state of one instance.
type InstanceStatus struct {
	Name       ident.Instance
	Address    string
	DataCentre ident.DataCentre
	// State is "Alive", "Leaving" or "Lost".
	State string
	// NotReady tells why the instance takes no work; empty when it is ready.
	NotReady string
	Version  ident.Version
	Digest   ident.Digest
	// InForceFor is how long the version has been in force at the instance.
	InForceFor ident.Duration
	Domains    []ident.DataCentre
	Breaches   uint64
}

// DomainStatus is the state of one data centre's domain.
type DomainStatus struct {
	DataCentre ident.DataCentre
	// Holder is the instance that decides for the domain; empty for none.
	Holder  ident.Instance
	Epoch   ident.Epoch
	Summary place.Summary
}

// ShortageStatus is a guarantee that a data centre can't meet.
type ShortageStatus struct {
	DataCentre ident.DataCentre
	place.Shortage
}

// StatusSource gathers the state of the whole system.
type StatusSource interface {
	Status(ctx context.Context) (StatusView, error)
}

// Drainer stops instances by plan.
type Drainer interface {
	// Drain has an instance hand over its domains, finish its requests and exit. It returns when that has begun.
	// It is idempotent. The error is of kind NotFound for an instance that is not known.
	Drain(ctx context.Context, instance ident.Instance) error
}
