package config

import (
	"context"
	"fmt"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/table"
)

const breachPrefix = "breach/"

// breachNote is the stored record that an instance saw a promise broken under a version. It outlives the instance.
type breachNote struct {
	Instance ident.Instance
	Version  ident.Version
	Breaches uint64
}

func breachesOf(version ident.Version) string {
	return fmt.Sprintf("%s%0*d/", breachPrefix, versionDigits, version)
}

// noteBreaches stores once for each version that this instance saw promises broken, so that the version is not
// proven by replacing the instance.
func (a *Agent) noteBreaches(ctx context.Context) {
	r := a.Report()
	a.mu.Lock()
	noted := a.noted
	a.mu.Unlock()
	if r.Breaches == 0 || r.Version == noted {
		return
	}
	body, err := encode(breachNote{Instance: r.Instance, Version: r.Version, Breaches: r.Breaches})
	if err != nil {
		return
	}
	key := table.Key{Partition: partition, Sort: breachesOf(r.Version) + string(r.Instance)}
	err = a.cfg.Store.Apply(ctx, table.DecisionPriority, table.Put{Key: key, Body: body, If: table.Absent{}})
	if err != nil && !fault.Is(err, fault.Conflict) {
		a.log.Warn("broken promises not noted", "version", r.Version, "error", err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noted = r.Version
}

// notedBreaches lists what instances noted under a version.
func (a *Agent) notedBreaches(ctx context.Context, version ident.Version) ([]string, error) {
	items, err := a.cfg.Store.List(ctx, table.DecisionPriority, partition, breachesOf(version))
	if err != nil {
		return nil, fault.Wrap(err, fault.KindOf(err), "list broken promises", "table")
	}
	var flaws []string
	for _, item := range items {
		note, err := decode[breachNote](item.Body, "table")
		if err != nil {
			return nil, err
		}
		flaws = append(flaws, fmt.Sprintf("instance %s noted %d broken promises", note.Instance, note.Breaches))
	}
	return flaws, nil
}
