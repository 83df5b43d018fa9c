package object

import "context"

// Key names an object. Its parts are divided by "/".
type Key string

// Info is an object in a list.
type Info struct {
	Key Key
	// Size is in bytes.
	Size int64
}

// Store reads and writes objects. Its errors are *fault.Error of these kinds: NotFound, Invalid, Throttled and
// Unavailable (not done), and OutcomeUnknown (a Put or Delete that may have taken effect). All calls are
// idempotent, so that one with an unknown outcome can be made again.
type Store interface {
	// Put writes a whole object, in place of an earlier one.
	Put(ctx context.Context, key Key, body []byte) error
	// Get reads a whole object.
	Get(ctx context.Context, key Key) ([]byte, error)
	// List returns the objects whose keys start with prefix, in the order of their keys.
	List(ctx context.Context, prefix Key) ([]Info, error)
	// Delete removes an object. Removing an absent one succeeds.
	Delete(ctx context.Context, key Key) error
}

// MaxObjectBytes is the largest object in bytes.
const MaxObjectBytes = 64 << 20

const peerName = "object store"
