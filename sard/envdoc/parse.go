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

// MaxBytes bounds a document's text and its canonical form. The table service takes items of 400 KB.
const MaxBytes = 128 << 10

// Parse reads a document from YAML or JSON, checks it and fills its defaults in. It returns the document, its
// canonical form and the digest of that. The error is a *fault.Error of kind Invalid over Problems, which holds
// all problems of the text.
func Parse(text []byte) (*Document, []byte, ident.Digest, error) {
	var (
		doc Document
		d   decoder
	)
	if len(text) > MaxBytes {
		d.add(position{}, "", fmt.Sprintf("the document has %d bytes; at most %d are allowed", len(text), MaxBytes))
		return nil, nil, "", d.err()
	}
	d.decode(text, &doc)
	if d.readable() {
		checker{&d}.document(&doc)
	}
	if err := d.err(); err != nil {
		return nil, nil, "", err
	}
	doc.fill()
	canonical, err := Canonical(&doc)
	if err != nil {
		return nil, nil, "", err
	}
	return &doc, canonical, DigestOf(canonical), nil
}

// readable tells whether the text had the form of a document, so that its values can be checked.
func (d *decoder) readable() bool {
	return !slices.ContainsFunc(d.problems, func(p Problem) bool { return p.Path == "" })
}

func (d *decoder) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	d.problems.sort()
	return fault.Wrap(d.problems, fault.Invalid, "read document", "")
}

// Canonical returns the one form of doc that its digest is taken of: JSON with the field names as keys.
func Canonical(doc *Document) ([]byte, error) {
	canonical, err := json.Marshal(doc)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode document", "")
	}
	if len(canonical) > MaxBytes {
		return nil, fault.New(fault.Invalid, "encode document", "", "the canonical form has %d bytes; at most %d are allowed", len(canonical), MaxBytes)
	}
	return canonical, nil
}

// DigestOf returns the digest of a canonical form.
func DigestOf(canonical []byte) ident.Digest {
	sum := sha256.Sum256(canonical)
	return ident.Digest(hex.EncodeToString(sum[:]))
}

// Decode reads a canonical form and holds it to its digest. It fails with kind Invalid on other bytes and on
// keys that this program does not know.
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
