// Package ident defines the identifier and unit types shared by the other packages.
//
// The environment document is the configuration that operators propose and all instances apply. A scheduling domain is
// a data centre; its jobs are scheduled by the one instance that holds its lease.
package ident

import (
	"math/bits"
	"strconv"
	"time"
)

// Account is the name of a client account.
type Account string

// DataCentre is the name of a data centre. Each one is a scheduling domain with its own lease.
type DataCentre string

// Region is the name of a group of data centres.
type Region string

// Rack is the name of a rack of workers within a data centre.
type Rack string

// Worker is the name of a machine that runs tasks on accelerators.
type Worker string

// Host is the name of the computer that a worker runs on.
type Host string

// Instance is the name of one running sardined process. A restarted process has a new name.
type Instance string

// Server is the name of a backend server that answers short requests.
type Server string

// Job is the identifier of a submitted job.
type Job string

// JobKind is the type of work a job does, such as "renewal-pricing". Run times are estimated per account and kind.
type JobKind string

// RouteName is the name of a route, which is a path prefix with its settings, in the environment document.
type RouteName string

// Request is the identifier of one request, unique across all instances.
type Request string

// IdempotencyKey is chosen by the caller to identify a submission or request. It is scoped to the account.
type IdempotencyKey string

// WriteToken is a unique text that is stored with a table write, so that its writer can recognise the write after a
// lost response.
type WriteToken string

// Digest is a SHA-256 hash in lower-case hexadecimal.
type Digest string

// Epoch numbers the successive holders of the lease of a scheduling domain. It never decreases.
type Epoch uint64

// Attempt is the number of an attempt to run a job, starting from 1.
type Attempt uint32

// Version numbers the accepted environment documents, starting from 1. It never decreases.
type Version uint64

// Accelerators is a number of accelerators.
type Accelerators int

// AcceleratorSet is a bit mask of the accelerators of one worker. Bit 0 is the first accelerator.
type AcceleratorSet uint64

// Len returns the number of accelerators in the set.
func (s AcceleratorSet) Len() Accelerators {
	return Accelerators(bits.OnesCount64(uint64(s)))
}

// String formats the set in hexadecimal.
func (s AcceleratorSet) String() string {
	return "0x" + strconv.FormatUint(uint64(s), 16)
}

// Duration is a time.Duration that is encoded as text, such as "1m30s", in documents and APIs.
type Duration time.Duration

// Std converts d to a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String formats d like time.Duration.String.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalText encodes d as text, such as "1m30s".
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText parses a duration such as "1m30s". It returns an error for text that time.ParseDuration rejects.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}
