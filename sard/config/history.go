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
	// historyPage is the number of versions that share a prefix of their sort keys and are read at once.
	historyPage = 10
	// keptVersions is the number of versions that stay in the table.
	keptVersions = 10_000
	// MaxHistory bounds the versions that one call lists.
	MaxHistory = 100
)

// History lists the last versions, the latest first, at most n of them. Their Content is left out.
func (a *Agent) History(ctx context.Context, n int) ([]Record, error) {
	head, _, err := a.readHead(ctx)
	if err != nil {
		return nil, err
	}
	n = min(n, MaxHistory, int(head.Version))
	var records []Record
	for page := int(head.Version) / historyPage; page >= 0 && len(records) < n; page-- {
		more, err := a.historyPage(ctx, page)
		if err != nil {
			return nil, err
		}
		slices.Reverse(more)
		records = append(records, more...)
	}
	return records[:min(n, len(records))], nil
}

// historyPage reads the versions that differ only in their last digit.
func (a *Agent) historyPage(ctx context.Context, page int) ([]Record, error) {
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

// ReadVersion returns an accepted version with its content.
func (a *Agent) ReadVersion(ctx context.Context, version ident.Version) (Record, error) {
	return a.readRecord(ctx, version)
}

// prune removes the version that is too old to be kept. One that could not be removed stays.
func (a *Agent) prune(ctx context.Context, latest ident.Version) {
	if latest <= keptVersions {
		return
	}
	old := table.Delete{Key: versionKey(latest - keptVersions), If: table.AtRevision{Revision: 1}}
	if err := a.cfg.Store.Apply(ctx, table.BackgroundPriority, old); err != nil {
		a.log.Debug("old version not removed", "version", latest-keptVersions, "error", err)
	}
}
