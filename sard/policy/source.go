package policy

import (
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
)

// Config configures a Source.
type Config struct {
	// Store holds the row with the configuration.
	Store store.Store
	// Key is the key of the row with the current configuration.
	Key store.Key
	// Decode decodes the value of the row.
	Decode func(value []byte) (*Policy, error)
	// EvacuationPrefix is the prefix of the names of the rows that request the evacuation of a data centre, which are in
	// the table and partition of Key; the rest of such a name is the data centre. It must sort after the name of Key.
	EvacuationPrefix string
	// Registerer registers the metrics of the Source; nil registers none.
	Registerer prometheus.Registerer
	// Logger logs changes of the configuration in force and outages of the store.
	Logger hclog.Logger
}

// Source reads the configuration of a pool from the store and keeps it up to date while Run runs.
type Source struct {
	config  Config
	metrics *metrics
	// rowVersion is the version of the newest row of the configuration that was read. Only Run uses it.
	rowVersion store.Version

	mu      sync.Mutex
	current *Policy
	// evacuationRows tracks the rows that request evacuations; evacuations is nil until they were listed.
	evacuationRows evacuationRows
	evacuations    *Evacuations
	// confirmed is the latest time at which the configuration in force is known to have been the newest.
	confirmed clock.Instant
	// reachable is set if the last read succeeded, and lost if the log says that it failed.
	reachable, lost bool
}

// NewSource returns a Source that has no configuration until Run reads it.
func NewSource(config Config) *Source {
	s := &Source{config: config, evacuationRows: evacuationRows{}, confirmed: clock.Never}
	s.metrics = newMetrics(config.Registerer, s.Staleness)
	return s
}

// Current returns the configuration in force, or nil if none has been read yet.
func (s *Source) Current() *Policy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Evacuations returns the data centres that are being evacuated, or nil if they have not been read yet. The result
// changes only when the set does.
func (s *Source) Evacuations() *Evacuations {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations
}

// Confirmed returns the configuration in force if it was confirmed to be the newest within maxAge, and else nil, together
// with the time since it was confirmed. It never combines a configuration with the confirmation of a later one.
func (s *Source) Confirmed(maxAge time.Duration) (*Policy, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := clock.Since(s.confirmed)
	if age > maxAge {
		return nil, age
	}
	return s.current, age
}

// Staleness returns the time since the configuration in force was last confirmed to be the newest.
func (s *Source) Staleness() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return clock.Since(s.confirmed)
}

// rowRange returns the range that holds the row of the configuration and those of evacuations.
func (s *Source) rowRange() store.Range {
	if s.config.EvacuationPrefix == "" {
		return store.KeyRange(s.config.Key)
	}
	r := store.PrefixRange(s.config.Key.Table, s.config.Key.Partition, s.config.EvacuationPrefix)
	r.From = s.config.Key.Name
	return r
}

// evacuatedBy returns the data centre whose evacuation a row requests.
func (s *Source) evacuatedBy(row store.Row) (ident.DataCentre, bool) {
	if s.config.EvacuationPrefix == "" || row.Key.Table != s.config.Key.Table || row.Key.Partition != s.config.Key.Partition {
		return "", false
	}
	name, ok := strings.CutPrefix(row.Key.Name, s.config.EvacuationPrefix)
	return ident.DataCentre(name), ok && name != ""
}

// applyEvacuation applies a change of a row that requests an evacuation.
func (s *Source) applyEvacuation(dc ident.DataCentre, row store.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.evacuationRows.change(dc, evacuationRow{version: row.Version, removed: row.Deleted})
	if changed && s.evacuations != nil {
		s.updateEvacuations(row.Version)
	}
}

// applyEvacuations applies a listing of all rows that request evacuations.
func (s *Source) applyEvacuations(listing store.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[ident.DataCentre]bool{}
	changed := s.evacuations == nil
	for _, row := range listing.Rows {
		if dc, ok := s.evacuatedBy(row); ok {
			listed[dc] = true
			changed = s.evacuationRows.change(dc, evacuationRow{version: row.Version}) || changed
		}
	}
	changed = s.evacuationRows.removeMissing(listed, listing.Version) || changed
	if changed {
		s.updateEvacuations(listing.Version)
	}
}

// updateEvacuations puts the current set of evacuated data centres in force. The caller must hold mu.
func (s *Source) updateEvacuations(version store.Version) {
	s.evacuations = s.evacuationRows.set()
	s.config.Logger.Info("evacuations in force", "data_centres", s.evacuations.List(), "row_version", version)
}

// apply makes the configuration in a row the current one, unless it is older than the current one or can't be decoded.
// It reports whether the row is newer than the one applied last. Only Run calls it.
func (s *Source) apply(row store.Row) bool {
	if row.Version <= s.rowVersion {
		return false
	}
	s.rowVersion = row.Version
	decoding := clock.Now()
	p, err := s.config.Decode(row.Value)
	if err != nil {
		s.config.Logger.Error("can't decode the configuration, keeping the current one", "row_version", row.Version, "error", err)
		return true
	}
	if problems := p.Check(); len(problems) > 0 {
		s.config.Logger.Error("refused a configuration, keeping the current one", "version", p.Version, "row_version", row.Version, "problems", len(problems), "error", problems)
		return true
	}
	if current := s.Current(); current != nil && p.Version < current.Version {
		s.config.Logger.Error("ignored a configuration older than the one in force", "version", p.Version, "in_force", current.Version)
		return true
	}
	p.BuildIndex()
	s.setCurrent(p)
	s.metrics.size.Set(float64(len(row.Value)))
	s.config.Logger.Info("configuration in force", "version", p.Version, "row_version", row.Version,
		"queues", len(p.Queues), "accounts", len(p.Accounts), "bytes", len(row.Value),
		"decode_ms", clock.Since(decoding).Milliseconds())
	return true
}

// setCurrent puts a configuration in force.
func (s *Source) setCurrent(p *Policy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = p
}

// markConfirmed records that the configuration was the newest at the given time and that the store is reachable.
func (s *Source) markConfirmed(at clock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed = max(s.confirmed, at)
	if !s.reachable {
		s.reachable, s.lost = true, false
		s.config.Logger.Info("store reached")
	}
}

// markUnreachable records that a read that was sent at the given time failed, and logs the first failure after a
// successful read, or after the start.
func (s *Source) markUnreachable(sent clock.Instant, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reachable = false
	if s.lost {
		return
	}
	s.lost = true
	fields := []any{"read_ms", clock.Since(sent).Milliseconds(), "error", err}
	if s.confirmed != clock.Never {
		fields = append(fields, "confirmed_ago_ms", clock.Since(s.confirmed).Milliseconds())
	}
	s.config.Logger.Warn("store lost", fields...)
}
