// Package ident holds the named types of identifiers and units that the other packages share.
package ident

import (
	"math/bits"
	"strconv"
	"time"
)

// Account names a client account.
type Account string

// DataCentre names a data centre, which is also the domain of one scheduling lease.
type DataCentre string

// Region names a group of data centres.
type Region string

// Rack names a rack of workers within a data centre.
type Rack string

// Worker names a machine that runs tasks on accelerators.
type Worker string

// Instance names one running sardined process. A restarted process has a new name.
type Instance string

// Server names a backend server that answers short requests.
type Server string

// Job names a submitted job.
type Job string

// JobKind names what a job does, such as "renewal-pricing". Run times are learnt per account and kind.
type JobKind string

// RouteName names a route of the environment document.
type RouteName string

// Request names one request of a caller. It is unique over all instances.
type Request string

// IdempotencyKey is a caller's own name for a submission or request, scoped to its account.
type IdempotencyKey string

// WriteToken marks a table write with its writer, so that a write whose result was lost can be recognised.
type WriteToken string

// Digest is a SHA-256 in lower-case hexadecimal.
type Digest string

// Epoch counts the holders of a domain lease. It only rises.
type Epoch uint64

// Attempt counts the tries of a job, from 1.
type Attempt uint32

// Version counts the accepted environment documents, from 1. It only rises.
type Version uint64

// Accelerators is a number of accelerators.
type Accelerators int

// AcceleratorSet is a bit mask of the accelerators of one worker; bit 0 is the first.
type AcceleratorSet uint64

// Len counts the accelerators in the set.
func (s AcceleratorSet) Len() Accelerators {
	return Accelerators(bits.OnesCount64(uint64(s)))
}

// String formats the set in hexadecimal.
func (s AcceleratorSet) String() string {
	return "0x" + strconv.FormatUint(uint64(s), 16)
}

// Duration is a time.Duration that is written as text, such as "1m30s", in documents and APIs.
type Duration time.Duration

// Std converts d to the standard library's type.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String formats d as the standard library does.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalText writes d as text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText reads a duration such as "1m30s". It fails on text that time.ParseDuration refuses.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}
