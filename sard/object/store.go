package object

import "context"

// Key is the name of an object in the bucket. Its segments are separated by "/".
type Key string

// Info describes an object in a listing.
type Info struct {
	Key Key
	// Size is the size of the object's content in bytes.
	Size int64
}

// Store reads and writes objects. Its methods return errors of type *fault.Error with one of these kinds: NotFound,
// Invalid, Throttled or Unavailable (the operation had no effect), or OutcomeUnknown (a Put or Delete may have taken
// effect). All operations are idempotent, so one with an unknown outcome can be repeated.
type Store interface {
	// Put writes an object, replacing an existing one.
	Put(ctx context.Context, key Key, body []byte) error
	// Get returns the content of an object.
	Get(ctx context.Context, key Key) ([]byte, error)
	// List returns the objects whose keys start with prefix, sorted by key.
	List(ctx context.Context, prefix Key) ([]Info, error)
	// Delete removes an object. Removing an object that does not exist succeeds.
	Delete(ctx context.Context, key Key) error
}

// MaxObjectBytes is the maximum size of an object in bytes.
const MaxObjectBytes = 64 << 20

// serviceName is the name of the object store in the Peer field of errors.
const serviceName = "object store"
