package envdoc

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// MaxBytes is the maximum size in bytes of the text of a document and of its canonical form. It is well below the
// 400 KB that the table service allows for an item.
const MaxBytes = 128 << 10

// Parse decodes a YAML or JSON document, validates it and applies the defaults. It returns the document, its canonical
// form and the digest of the canonical form. For an invalid text, the error is a *fault.Error of kind Invalid that
// wraps a Problems value with all problems found.
func Parse(text []byte) (*Document, []byte, ident.Digest, error) {
	var (
		doc Document
		d   decoder
	)
	if len(text) > MaxBytes {
		d.addProblemAt(position{}, "", fmt.Sprintf("the document has %d bytes; the maximum is %d", len(text), MaxBytes))
		return nil, nil, "", d.err()
	}
	d.decode(text, &doc)
	if d.structureValid() {
		checker{&d}.checkDocument(&doc)
	}
	if err := d.err(); err != nil {
		return nil, nil, "", err
	}
	doc.applyDefaults()
	canonical, err := Canonical(&doc)
	if err != nil {
		return nil, nil, "", err
	}
	return &doc, canonical, DigestOf(canonical), nil
}

// structureValid reports whether no problem concerns the text as a whole, which has the empty path. Only then are the
// values worth checking.
func (d *decoder) structureValid() bool {
	return !slices.ContainsFunc(d.problems, func(p Problem) bool { return p.Path == "" })
}

// err returns the problems found, sorted by position; nil if there are none.
func (d *decoder) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	d.problems.sort()
	return fault.Wrap(d.problems, fault.Invalid, "read document", "")
}

// Canonical returns the canonical form of doc, over which its digest is computed: JSON with the field names as keys.
func Canonical(doc *Document) ([]byte, error) {
	canonical, err := json.Marshal(doc)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode document", "")
	}
	if len(canonical) > MaxBytes {
		return nil, fault.New(fault.Invalid, "encode document", "", "the canonical form has %d bytes; the maximum is %d", len(canonical), MaxBytes)
	}
	return canonical, nil
}

// DigestOf returns the digest of a document's canonical form, which is its SHA-256 in hexadecimal.
func DigestOf(canonical []byte) ident.Digest {
	sum := sha256.Sum256(canonical)
	return ident.Digest(hex.EncodeToString(sum[:]))
}

// Decode decodes a canonical form after verifying its digest. Its error is of kind Invalid if the digest differs or if
// the document has keys that are unknown to this version of the program.
func Decode(canonical []byte, digest ident.Digest) (*Document, error) {
	if got := DigestOf(canonical); got != digest {
		return nil, fault.New(fault.Invalid, "decode document", "", "the content has digest %.12s, not %.12s", got, digest)
	}
	decoder := json.NewDecoder(bytes.NewReader(canonical))
	decoder.DisallowUnknownFields()
	var doc Document
	if err := decoder.Decode(&doc); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "decode document", "")
	}
	return &doc, nil
}
