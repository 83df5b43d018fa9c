package config

import (
	"context"
	"fmt"
	"slices"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/table"
)

const (
	// historyPageSize is the number of versions that one call of the table reads. The sort keys of ten versions from a
	// multiple of ten on differ only in the last digit, so they are listed by their common prefix.
	historyPageSize = 10
	// maxStoredVersions is the number of latest versions that are kept in the table.
	maxStoredVersions = 10_000
	// MaxHistory is the maximum number of versions that one call of Agent.History returns.
	MaxHistory = 100
)

// History reads up to n of the latest accepted versions, but at most MaxHistory, from the table. It returns them latest
// first, without their Content.
func (a *Agent) History(ctx context.Context, n int) ([]Record, error) {
	head, _, err := a.readHead(ctx)
	if err != nil {
		return nil, err
	}
	n = min(n, MaxHistory, int(head.Version))
	var records []Record
	for page := int(head.Version) / historyPageSize; page >= 0 && len(records) < n; page-- {
		pageRecords, err := a.readHistoryPage(ctx, page)
		if err != nil {
			return nil, err
		}
		slices.Reverse(pageRecords)
		records = append(records, pageRecords...)
	}
	return records[:min(n, len(records))], nil
}

// readHistoryPage reads the historyPageSize versions from page*historyPageSize on from the table. It returns those that
// exist in ascending order, without their Content.
func (a *Agent) readHistoryPage(ctx context.Context, page int) ([]Record, error) {
	prefix := fmt.Sprintf("%s%0*d", versionPrefix, versionDigits-1, page)
	items, err := a.cfg.Store.List(ctx, table.BackgroundPriority, partition, prefix)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindOf(err), "list versions", "table")
	}
	var records []Record
	for _, item := range items {
		rec, err := decode[Record](item.Body, "table")
		if err != nil {
			return nil, err
		}
		rec.Content = nil
		records = append(records, rec)
	}
	return records, nil
}

// ReadVersion reads the record of an accepted version, with its content, from the table.
func (a *Agent) ReadVersion(ctx context.Context, version ident.Version) (Record, error) {
	return a.readRecord(ctx, version)
}

// prune deletes from the table the one version that exceeds maxStoredVersions after latest was accepted. If that fails,
// the version remains stored.
func (a *Agent) prune(ctx context.Context, latest ident.Version) {
	if latest <= maxStoredVersions {
		return
	}
	deletion := table.Delete{Key: versionKey(latest - maxStoredVersions), If: table.AtRevision{Revision: 1}}
	if err := a.cfg.Store.Apply(ctx, table.BackgroundPriority, deletion); err != nil {
		a.logger.Debug("old version not removed", "version", latest-maxStoredVersions, "error", err)
	}
}
