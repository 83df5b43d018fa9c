// Package config accepts environment documents, distributes them to all instances and tracks the document in force at
// each instance.
//
// A document is accepted by one conditional write to the table service, which stores it as the next version and updates
// the head, the item that names the latest version. The accepting instance pushes the new version to its peers, and
// each instance that installs it pushes it to its own peers. Each instance also polls the head. The version in force at
// an instance never decreases.
//
// The package uses these terms:
//
//   - A document is in force at an instance from the time when the instance installs it, until it installs a later
//     version. Instances install a version at different times.
//   - A peer is another instance of the environment. Peers exchange reports, which tell the version in force at the
//     sender.
//   - A confirmation of a version tells that no later version had been accepted at some time.
//   - A witness is another instance that was seen running the version in force here, and to which a version had been
//     confirmed since its process started. While the table is unavailable, a version is confirmed by this instance and
//     its witnesses if they are a majority of all instances.
//   - A survey is a collection of the reports of all instances.
//   - A proof states that a document was in force on all instances of an environment, normally a trial environment,
//     without violations of invariants. It is required for accepting the document elsewhere if Config.RequireProof is
//     set.
//   - The plan of a document distributes the guaranteed accelerators of the accounts over the data centres.
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
	// versionPrefix starts the sort keys of the table items that hold a Record.
	versionPrefix = "version/"
	// versionDigits is the width to which versions in sort keys are zero-padded, so that they sort numerically.
	versionDigits = 20
)

// headKey is the key of the table item that holds the Head.
var headKey = table.Key{Partition: partition, Sort: "head"}

// Head identifies the latest accepted document. It is stored as one item of the table.
type Head struct {
	// Version is the version of the document; 0 if none has been accepted.
	Version ident.Version
	// Digest is the digest of the canonical form of the document.
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

// Record is the form in which an accepted document is stored in the table and sent to peers.
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
	// Document is the content of the record in decoded form.
	Document *envdoc.Document
	// Since is when the document came into force at this instance.
	Since time.Time
}

// versionKey returns the key of the table item that holds the Record of a version.
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

// decode decodes the JSON of a stored item. peer names the source, a peer or the table, in the error.
func decode[T any](body []byte, peer string) (T, error) {
	var v T
	if err := json.Unmarshal(body, &v); err != nil {
		return v, fault.Wrap(err, fault.Internal, "decode record", peer)
	}
	return v, nil
}
