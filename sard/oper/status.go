package oper

import (
	"context"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// StatusView is the response to GET PathStatus: the state of the whole system.
type StatusView struct {
	// Version and Digest identify the configuration document in force at the instance that serves the call.
	Version   ident.Version
	Digest    ident.Digest
	Instances []InstanceStatus
	Domains   []DomainStatus
	// LeavingServers are the backend servers that get no new requests because they are leaving.
	LeavingServers []ident.Server
	Shortages      []ShortageStatus
	// Breaches is the number of violations of the promised invariants that the instances have detected.
	Breaches uint64
}

// InstanceStatus is the state of one instance.
type InstanceStatus struct {
	Name       ident.Instance
	Address    string
	DataCentre ident.DataCentre
	// State is "Alive", "Leaving" or "Lost".
	State string
	// NotReady is the reason why the instance accepts no work; empty when it is ready.
	NotReady string
	Version  ident.Version
	Digest   ident.Digest
	// InForceFor is the time since the version came into force at the instance.
	InForceFor ident.Duration
	Domains    []ident.DataCentre
	Breaches   uint64
}

// DomainStatus is the state of the scheduling domain of one data centre.
type DomainStatus struct {
	DataCentre ident.DataCentre
	// Holder is the instance that holds the lease of the domain; empty when none does.
	Holder  ident.Instance
	Epoch   ident.Epoch
	Summary place.Summary
}

// ShortageStatus is a guarantee of accelerators that a data centre can't meet with its present workers.
type ShortageStatus struct {
	DataCentre ident.DataCentre
	place.Shortage
}

// StatusSource collects the state of the whole system.
type StatusSource interface {
	// Status returns the state as the serving instance can determine it.
	Status(ctx context.Context) (StatusView, error)
}

// Drainer shuts instances down gracefully.
type Drainer interface {
	// Drain makes an instance hand over its scheduling domains, finish its requests and exit. It returns once that has
	// begun, and is idempotent. The error is of kind NotFound when the instance is not known.
	Drain(ctx context.Context, instance ident.Instance) error
}
