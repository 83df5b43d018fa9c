// Package config accepts environment documents, spreads them over the instances and tracks the one in force.
//
// A document is accepted by one conditional write in the table service, which raises the version by 1. The acceptor
// pushes the new version to its peers, each instance that takes it passes it on, and each instance also polls the
// head of the table. Versions in force only rise.
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
	// partition holds the items of this package in the table.
	partition     = "config"
	versionPrefix = "version/"
	// versionDigits pads the versions of sort keys, so that they sort by number.
	versionDigits = 20
)

var headKey = table.Key{Partition: partition, Sort: "head"}

// Head names the document that was accepted last.
type Head struct {
	Version ident.Version
	Digest  ident.Digest
	// Author is the operator who proposed the document.
	Author string
	// Token is the proposal's, so that a repeated proposal is recognised.
	Token ident.WriteToken
	// Accepted is when the document was accepted, by the clock of the instance that accepted it.
	Accepted time.Time
}

// DataCentreShare is a data centre's part of the guarantees.
type DataCentreShare struct {
	DataCentre ident.DataCentre
	Accounts   []place.Account
}

// Record is an accepted document as it is stored.
type Record struct {
	Head
	BasedOn ident.Version
	// Restored is the version whose content was taken again; 0 when the content came with the proposal.
	Restored ident.Version
	// Content is the document's canonical form.
	Content json.RawMessage
	// Plan divides the guarantees over the data centres.
	Plan []DataCentreShare
	// Proof is the trial's proof of the document; nil when none was given.
	Proof *Proof
}

// ActiveDocument is a document that is in force at this instance.
type ActiveDocument struct {
	Record
	Document *envdoc.Document
	// Since is when the document came into force at this instance.
	Since time.Time
}

func versionKey(v ident.Version) table.Key {
	return table.Key{Partition: partition, Sort: fmt.Sprintf("%s%0*d", versionPrefix, versionDigits, v)}
}

func encode(v any) ([]byte, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode record", "")
	}
	return body, nil
}

func decode[T any](body []byte, peer string) (T, error) {
	var v T
	if err := json.Unmarshal(body, &v); err != nil {
		return v, fault.Wrap(err, fault.Internal, "decode record", peer)
	}
	return v, nil
}
