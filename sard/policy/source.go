package policy

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/store"
)

// Config describes where a Source reads.
type Config struct {
	Store store.Store
	// Key is the row that holds the newest configuration.
	Key store.Key
	// Decode reads the row's value.
	Decode func(value []byte) (*Policy, error)
	Logger hclog.Logger
}

const (
	// readPeriod lies between two reads of the row; they back the feed and confirm the configuration.
	readPeriod = time.Second
	// readTimeout bounds a read.
	readTimeout = 900 * time.Millisecond
	// feedWait is how long a feed waits for a change.
	feedWait = 10 * time.Second
	// feedSlack is added to feedWait to bound a call of the feed.
	feedSlack = 2 * time.Second
	// retryPause lies between a failed call and the next.
	retryPause = 200 * time.Millisecond
)

// Source follows the configuration.
type Source struct {
	config Config

	mu        sync.Mutex
	current   *Policy
	version   store.Version
	confirmed clock.Instant
	reachable bool
}

// NewSource makes a Source; Run fills it.
func NewSource(config Config) *Source {
	return &Source{config: config, confirmed: clock.Never}
}

// Current returns the configuration in force, or nil before the first was read.
func (s *Source) Current() *Policy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Staleness returns how long ago the configuration in force was surely the newest.
func (s *Source) Staleness() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return clock.Since(s.confirmed)
}

// Run follows the row until ctx ends.
func (s *Source) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.poll(ctx) })
	group.Go(func() error { return s.follow(ctx) })
	return group.Wait()
}

// poll reads the row again and again.
func (s *Source) poll(ctx context.Context) error {
	for {
		pause := readPeriod
		if _, err := s.read(ctx); err != nil {
			pause = retryPause
		}
		if !clock.Sleep(ctx, pause) {
			return nil
		}
	}
}

// read reads the row and returns the version from which the feed can continue.
func (s *Source) read(ctx context.Context) (store.Version, error) {
	sent := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	listing, err := s.config.Store.List(ctx, store.KeyRange(s.config.Key))
	if err != nil {
		s.lost(err)
		return 0, err
	}
	for _, row := range listing.Rows {
		s.take(row)
	}
	s.confirm(sent)
	return listing.Version, nil
}

// follow takes changes as soon as the store tells them.
func (s *Source) follow(ctx context.Context) error {
	after := store.Version(0)
	for ctx.Err() == nil {
		next, err := s.feed(ctx, after)
		if err == nil {
			after = next
			continue
		}
		if fault.Is(err, fault.NotFound) {
			// When the reading fails too, the feed tells once more that the history is gone.
			after, _ = s.read(ctx)
		}
		if !clock.Sleep(ctx, retryPause) {
			break
		}
	}
	return nil
}

func (s *Source) feed(ctx context.Context, after store.Version) (store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, feedWait+feedSlack)
	defer cancel()
	changes, err := s.config.Store.Feed(ctx, s.config.Key.Table, after, feedWait)
	if err != nil {
		return after, err
	}
	for _, row := range changes.Rows {
		if row.Key == s.config.Key && !row.Deleted {
			s.take(row)
		}
	}
	return changes.Version, nil
}

// take puts a row in force unless it is older than what is in force, or unreadable.
func (s *Source) take(row store.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row.Version <= s.version {
		return
	}
	p, err := s.config.Decode(row.Value)
	if err != nil {
		s.config.Logger.Error("configuration not readable, the last one stays in force", "row_version", row.Version, "error", err)
		return
	}
	if s.current != nil && p.Version < s.current.Version {
		s.config.Logger.Error("configuration is older than the one in force", "version", p.Version, "in_force", s.current.Version)
		return
	}
	p.BuildIndex()
	s.current, s.version = p, row.Version
	s.config.Logger.Info("configuration in force", "version", p.Version, "row_version", row.Version,
		"queues", len(p.Queues), "accounts", len(p.Accounts))
}

func (s *Source) confirm(at clock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed = max(s.confirmed, at)
	if !s.reachable {
		s.reachable = true
		s.config.Logger.Info("store reached")
	}
}

func (s *Source) lost(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reachable {
		s.reachable = false
		s.config.Logger.Warn("store lost", "confirmed_ago_ms", clock.Since(s.confirmed).Milliseconds(), "error", err)
	}
}
