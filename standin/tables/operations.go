package tables

import (
	"crypto/sha256"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/table"
	"github.com/sardineline/sardineline/standin/faults"
)

func (s *Service) get(in getInput) (any, error) {
	item := s.items[in.Key.key()].now
	if !in.ConsistentRead {
		if _, ok := s.config.Faults.Trigger(faults.Component{Peer: faults.Table}, faults.Stale); ok {
			item = s.items[in.Key.key()].before
		}
	}
	if item == nil {
		return getOutput{}, nil
	}
	return getOutput{Item: attributes(*item)}, nil
}

func (s *Service) put(in putInput) (any, error) {
	w, failure := s.planPut(in)
	if failure != nil {
		return nil, failure
	}
	s.apply(w)
	return struct{}{}, nil
}

func (s *Service) query(in queryInput) (any, error) {
	prefix := ""
	switch in.KeyConditionExpression {
	case table.KeyConditionPartition:
	case table.KeyConditionPrefix:
		prefix = in.ExpressionAttributeValues.text(table.ValueSort)
	default:
		return nil, invalid("key condition is not served: " + in.KeyConditionExpression)
	}
	if !in.ConsistentRead {
		return nil, invalid("only consistent queries are served")
	}
	partition := in.ExpressionAttributeValues.text(table.ValuePartition)
	return s.page(partition, prefix, in.ExclusiveStartKey.key().Sort, len(in.ExclusiveStartKey) > 0), nil
}

func (s *Service) page(partition, prefix, after string, started bool) queryOutput {
	var found []table.Item
	for key, r := range s.items {
		if r.now == nil || key.Partition != partition || !strings.HasPrefix(key.Sort, prefix) {
			continue
		}
		if !started || key.Sort > after {
			found = append(found, *r.now)
		}
	}
	slices.SortFunc(found, func(a, b table.Item) int { return strings.Compare(a.Key.Sort, b.Key.Sort) })
	out := queryOutput{Items: []values{}}
	size := 0
	for i, item := range found {
		out.Items = append(out.Items, attributes(item))
		size += len(item.Body) + len(item.Key.Partition) + len(item.Key.Sort)
		if size >= s.config.PageBytes && i < len(found)-1 {
			out.LastEvaluatedKey = values{
				table.AttrPartition: text(item.Key.Partition),
				table.AttrSort:      text(item.Key.Sort),
			}
			break
		}
	}
	out.Count = len(out.Items)
	out.ScannedCount = out.Count
	return out
}

func (s *Service) transact(in transactInput) (any, error) {
	if n := len(in.TransactItems); n == 0 || n > table.MaxBatchWrites {
		return nil, invalid("a transaction has 1 to 100 items")
	}
	this, err := newTransaction(in)
	if err != nil {
		return nil, invalid(err.Error())
	}
	s.forget()
	if seen, ok := s.done[this.token]; ok {
		if seen.payload != this.payload {
			return nil, apiFailure(400, "IdempotentParameterMismatchException", "The token was used with other parameters")
		}
		return struct{}{}, nil
	}
	plans, failure := s.planAll(in.TransactItems)
	if failure != nil {
		return nil, failure
	}
	for _, p := range plans {
		s.apply(p)
	}
	s.remember(this)
	return struct{}{}, nil
}

func newTransaction(in transactInput) (transaction, error) {
	payload, err := json.Marshal(in.TransactItems)
	return transaction{token: in.ClientRequestToken, payload: sha256.Sum256(payload), at: time.Now()}, err
}

func (s *Service) remember(t transaction) {
	if t.token == "" {
		return
	}
	s.done[t.token] = t
	s.order = append(s.order, t)
}

// forget drops the transactions whose tokens have run out.
func (s *Service) forget() {
	for len(s.order) > 0 && time.Since(s.order[0].at) > tokenLifetime {
		delete(s.done, s.order[0].token)
		s.order = s.order[1:]
	}
}

func (s *Service) planAll(items []transactItem) ([]plan, *apiError) {
	var plans []plan
	seen := map[table.Key]bool{}
	reasons := make([]cancellation, len(items))
	failed := false
	for i, item := range items {
		p, failure := s.planItem(item)
		reasons[i] = cancellation{Code: "None"}
		if failure != nil && failure.Type != typePrefix+"ConditionalCheckFailedException" {
			return nil, failure
		}
		if failure != nil {
			failed = true
			reasons[i] = cancellation{Code: "ConditionalCheckFailed", Message: failure.Message}
		}
		if seen[p.key] {
			return nil, invalid("Transaction request cannot include multiple operations on one item")
		}
		seen[p.key] = true
		plans = append(plans, p)
	}
	if failed {
		cancelled := apiFailure(400, "TransactionCanceledException", "Transaction cancelled")
		cancelled.CancellationReasons = reasons
		return nil, cancelled
	}
	return plans, nil
}

func (s *Service) apply(p plan) {
	if p.check {
		return
	}
	old := s.items[p.key]
	if p.item == nil && old.now == nil {
		return
	}
	s.items[p.key] = row{now: p.item, before: old.now}
	if !s.config.RecordWrites {
		return
	}
	applied := AppliedWrite{Key: p.key, Deleted: p.item == nil}
	if p.item != nil {
		applied.Revision = p.item.Revision
		applied.Token = p.item.Token
		applied.Body = p.item.Body
	}
	s.writes = append(s.writes, applied)
}

func itemOf(v values) (table.Item, *apiError) {
	revision, ok := v.number(table.AttrRevision)
	epoch, epochOK := v.number(table.AttrEpoch)
	if !ok || !epochOK || v.text(table.AttrToken) == "" {
		return table.Item{}, invalid("an item has a revision, a token and an epoch")
	}
	return table.Item{
		Key:      v.key(),
		Revision: revision,
		Token:    ident.WriteToken(v.text(table.AttrToken)),
		Epoch:    ident.Epoch(epoch),
		Body:     v.blob(table.AttrBody),
	}, nil
}
