package policy

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/store"
)

const (
	// feedWait is how long a feed call waits for a change. Each response confirms that the configuration is current.
	feedWait = 600 * time.Millisecond
	// retryPeriod is the minimum time from the start of a failed call to the next call.
	retryPeriod = 200 * time.Millisecond
	// listPeriod is the minimum time between two reads of all rows while their changes can't be read.
	listPeriod = time.Second
)

// Run follows the configuration until ctx is cancelled. It reads all rows once and then only their changes, so that a
// large configuration is transferred once for each version. It reads all rows again when the changes can't be read, for
// example because the store has removed its history, and when versions follow each other faster than they are
// transferred.
func (s *Source) Run(ctx context.Context) error {
	var f follower
	for ctx.Err() == nil {
		sent := clock.Now()
		result, err := s.read(ctx, f)
		s.metrics.observeRead(f.next, clock.Since(sent), err)
		if err == nil {
			s.markConfirmed(result.confirmed)
			f.succeeded(sent, result)
			continue
		}
		if ctx.Err() == nil && !fault.Is(err, fault.NotFound) {
			s.markUnreachable(sent, err)
		}
		clock.Sleep(ctx, f.failed(sent, err))
	}
	return nil
}

//go:generate go tool stringer -type=readKind -trimprefix=read -output=readkind_string.go

// readKind is a way to read the configuration.
type readKind int

const (
	// readAll reads all rows.
	readAll readKind = iota
	// readPendingChanges reads the changes since the last read that there are already.
	readPendingChanges
	// readNextChange reads the changes since the last read, and waits for one if there are none.
	readNextChange
)

// readResult is the result of a successful read.
type readResult struct {
	// version is the one up to which all changes were read.
	version store.Version
	// confirmed is the latest known time until which there were no other changes.
	confirmed clock.Instant
	// changed indicates that the read found a new version of the configuration.
	changed bool
}

// follower decides what a Source reads next.
type follower struct {
	next readKind
	// version is the one up to which all changes were read.
	version store.Version
	// listed is when all rows were last read.
	listed clock.Instant
}

// succeeded takes note of a successful read that was sent at a time. A read that may have taken long is followed by one
// that does not wait, which confirms the result. If even that finds a new version, all rows are read until there is no
// newer one, since the feed would return each version.
func (f *follower) succeeded(sent clock.Instant, result readResult) {
	first := f.listed == clock.Never
	f.version = result.version
	switch f.next {
	case readAll:
		f.listed = sent
		if first || !result.changed {
			f.next = readPendingChanges
		}
	case readPendingChanges:
		f.next = readNextChange
		if result.changed {
			f.next = readAll
		}
	case readNextChange:
		if result.changed {
			f.next = readPendingChanges
		}
	}
}

// failed takes note of a failed read that was sent at a time, and returns the pause before the next one. A failed wait for
// a change is followed by a read of the pending ones, which is cheap. All rows are read if that fails too, or if the
// store has removed the changes.
func (f *follower) failed(sent clock.Instant, err error) time.Duration {
	pause := retryPeriod - clock.Since(sent)
	switch {
	case f.next == readAll:
		if f.listed != clock.Never {
			f.next = readPendingChanges
		}
		return pause
	case f.next == readNextChange && !fault.Is(err, fault.NotFound):
		f.next = readPendingChanges
		return pause
	default:
		f.next = readAll
		return max(pause, listPeriod-clock.Since(f.listed))
	}
}

// read makes the next read of a follower and applies its result.
func (s *Source) read(ctx context.Context, f follower) (readResult, error) {
	switch f.next {
	case readPendingChanges:
		return s.readChanges(ctx, f.version, 0)
	case readNextChange:
		return s.readChanges(ctx, f.version, feedWait)
	default:
		return s.readRows(ctx)
	}
}

// readRows reads the row of the configuration and those of evacuations.
func (s *Source) readRows(ctx context.Context) (readResult, error) {
	sent := clock.Now()
	listing, err := s.config.Store.List(ctx, s.rowRange())
	if err != nil {
		return readResult{}, err
	}
	result := readResult{version: listing.Version, confirmed: sent}
	for _, row := range listing.Rows {
		if row.Key == s.config.Key {
			result.changed = s.apply(row)
		}
	}
	s.applyEvacuations(listing)
	return result, nil
}

// readChanges reads the changes after a version. If there are none, it waits for one.
func (s *Source) readChanges(ctx context.Context, after store.Version, wait time.Duration) (readResult, error) {
	sent := clock.Now()
	changes, err := s.config.Store.Feed(ctx, s.config.Key.Table, after, wait)
	if err != nil {
		return readResult{}, err
	}
	result := readResult{version: changes.Version, confirmed: sent}
	if len(changes.Rows) == 0 && clock.Since(sent) >= wait {
		// The store found no change until the end of the wait. If it answered early and the response arrived late, the time is
		// too late, but by no more than the wait.
		result.confirmed = sent.Add(wait)
	}
	for _, row := range changes.Rows {
		if row.Key == s.config.Key && !row.Deleted {
			result.changed = s.apply(row) || result.changed
		}
		if dc, ok := s.evacuatedBy(row); ok {
			s.applyEvacuation(dc, row)
		}
	}
	return result, nil
}
