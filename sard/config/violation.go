package config

import (
	"context"
	"fmt"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/table"
)

// violationPrefix starts the sort keys of violation records in the table.
const violationPrefix = "breach/"

// violationRecord is stored in the table when an instance has detected invariant violations while a version was in
// force. It remains when the instance is replaced.
type violationRecord struct {
	Instance ident.Instance
	Version  ident.Version
	// Breaches is the number of violations that the instance had detected since the version came into force, at the
	// time of the write.
	Breaches uint64
}

// violationKeyPrefix returns the common prefix of the sort keys of the violation records of a version.
func violationKeyPrefix(version ident.Version) string {
	return fmt.Sprintf("%s%0*d/", violationPrefix, versionDigits, version)
}

// storeViolations writes a violation record if this instance has detected violations since the document came into
// force, once per version. Without the record, replacing the instance would make the version provable.
func (a *Agent) storeViolations(ctx context.Context) {
	r := a.Report()
	a.mu.Lock()
	storedFor := a.violationsStoredFor
	a.mu.Unlock()
	if r.Breaches == 0 || r.Version == storedFor {
		return
	}
	body, err := encode(violationRecord{Instance: r.Instance, Version: r.Version, Breaches: r.Breaches})
	if err != nil {
		return
	}
	key := table.Key{Partition: partition, Sort: violationKeyPrefix(r.Version) + string(r.Instance)}
	err = a.cfg.Store.Apply(ctx, table.DecisionPriority, table.Put{Key: key, Body: body, If: table.Absent{}})
	if err != nil && !fault.Is(err, fault.Conflict) {
		a.logger.Warn("broken promises not recorded", "version", r.Version, "error", err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.violationsStoredFor = r.Version
}

// storedViolations reads the violation records of a version from the table, and returns a description of each for the
// error message of Prove.
func (a *Agent) storedViolations(ctx context.Context, version ident.Version) ([]string, error) {
	items, err := a.cfg.Store.List(ctx, table.DecisionPriority, partition, violationKeyPrefix(version))
	if err != nil {
		return nil, fault.Wrap(err, fault.KindOf(err), "list broken promises", "table")
	}
	var descriptions []string
	for _, item := range items {
		rec, err := decode[violationRecord](item.Body, "table")
		if err != nil {
			return nil, err
		}
		descriptions = append(descriptions, fmt.Sprintf("instance %s noted %d broken promises", rec.Instance, rec.Breaches))
	}
	return descriptions, nil
}
