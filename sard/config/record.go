// Package config accepts environment documents, distributes them to all instances and tracks the document in force at
// each instance.
//
// A document is accepted by one conditional write to the table service, which increments the version. The accepting
// instance pushes the new version to its peers, and each instance that installs it pushes it to its own peers. Each
// instance also polls the head of the table. The version in force at an instance never decreases.
package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/sardineline/sardineline/sard/envdoc"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/table"
)

const (
	// partition is the partition key of the items of this package in the table.
	partition = "config"
	// versionPrefix starts the sort keys of records.
	versionPrefix = "version/"
	// versionDigits is the width to which versions in sort keys are zero-padded, so that they sort numerically.
	versionDigits = 20
)

// headKey is the key of the Head.
var headKey = table.Key{Partition: partition, Sort: "head"}

// Head identifies the latest accepted document.
type Head struct {
	// Version is the version of the document; 0 if none has been accepted.
	Version ident.Version
	// Digest is the digest of the canonical form.
	Digest ident.Digest
	// Author is the operator who proposed the document.
	Author string
	// Token is the token of the proposal, by which a repeated proposal is recognised.
	Token ident.WriteToken
	// Accepted is when the document was accepted, according to the clock of the accepting instance.
	Accepted time.Time
}

// DataCentreShare holds the guarantees that are placed in one data centre.
type DataCentreShare struct {
	// DataCentre is the data centre that provides the guarantees.
	DataCentre ident.DataCentre
	// Accounts are the accounts, with only the guarantees in this data centre.
	Accounts []place.Account
}

// Record is the stored form of an accepted document.
type Record struct {
	Head
	// BasedOn is the version that the document replaced; 0 for the first document.
	BasedOn ident.Version
	// Restored is the earlier version whose content was restored; 0 if the proposal contained the content.
	Restored ident.Version
	// Content is the canonical form of the document.
	Content json.RawMessage
	// Plan distributes the guarantees over the data centres.
	Plan []DataCentreShare
	// Proof is the proof from the trial environment; nil if the proposal contained none.
	Proof *Proof
}

// ActiveDocument is the document in force at this instance.
type ActiveDocument struct {
	Record
	// Document is the decoded Content.
	Document *envdoc.Document
	// Since is when the document came into force at this instance.
	Since time.Time
}

// versionKey returns the key of the record of a version.
func versionKey(v ident.Version) table.Key {
	return table.Key{Partition: partition, Sort: fmt.Sprintf("%s%0*d", versionPrefix, versionDigits, v)}
}

// encode encodes a stored item or a proof as JSON.
func encode(v any) ([]byte, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode record", "")
	}
	return body, nil
}

// decode decodes an item that was read from a peer or the table.
func decode[T any](body []byte, peer string) (T, error) {
	var v T
	if err := json.Unmarshal(body, &v); err != nil {
		return v, fault.Wrap(err, fault.Internal, "decode record", peer)
	}
	return v, nil
}
