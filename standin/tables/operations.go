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

// getItem implements GetItem. While a Stale fault is active, eventually consistent reads return the state of the item
// before its last write.
func (s *Service) getItem(input getInput) (any, error) {
	item := s.items[input.Key.key()].current
	if !input.ConsistentRead {
		if _, ok := s.config.Faults.Trigger(faults.Component{Peer: faults.Table}, faults.Stale); ok {
			item = s.items[input.Key.key()].previous
		}
	}
	if item == nil {
		return getOutput{}, nil
	}
	return getOutput{Item: itemAttributes(*item)}, nil
}

// putItem implements PutItem: it writes an item if the condition of the call holds.
func (s *Service) putItem(input putInput) (any, error) {
	write, failure := s.evaluatePut(input)
	if failure != nil {
		return nil, failure
	}
	s.apply(write)
	return struct{}{}, nil
}

// query implements Query: it lists the items of a partition, optionally only those whose sort key has a prefix.
func (s *Service) query(input queryInput) (any, error) {
	prefix := ""
	switch input.KeyConditionExpression {
	case table.KeyConditionPartition:
	case table.KeyConditionPrefix:
		prefix = input.ExpressionAttributeValues.stringValue(table.ValueSort)
	default:
		return nil, validationError("key condition is not served: " + input.KeyConditionExpression)
	}
	if !input.ConsistentRead {
		return nil, validationError("only consistent queries are served")
	}
	partition := input.ExpressionAttributeValues.stringValue(table.ValuePartition)
	return s.queryPage(partition, prefix, input.ExclusiveStartKey.key().Sort, len(input.ExclusiveStartKey) > 0), nil
}

// queryPage returns the items of a partition whose sort keys have the prefix and, if hasStart is set, come after
// startAfter, in the order of their sort keys. The page ends once it has Config.PageBytes.
func (s *Service) queryPage(partition, prefix, startAfter string, hasStart bool) queryOutput {
	var matching []table.Item
	for key, versions := range s.items {
		if versions.current == nil || key.Partition != partition || !strings.HasPrefix(key.Sort, prefix) {
			continue
		}
		if !hasStart || key.Sort > startAfter {
			matching = append(matching, *versions.current)
		}
	}
	slices.SortFunc(matching, func(a, b table.Item) int { return strings.Compare(a.Key.Sort, b.Key.Sort) })
	output := queryOutput{Items: []attributeMap{}}
	size := 0
	for i, item := range matching {
		output.Items = append(output.Items, itemAttributes(item))
		size += len(item.Body) + len(item.Key.Partition) + len(item.Key.Sort)
		if size >= s.config.PageBytes && i < len(matching)-1 {
			output.LastEvaluatedKey = attributeMap{
				table.AttrPartition: stringAttribute(item.Key.Partition),
				table.AttrSort:      stringAttribute(item.Key.Sort),
			}
			break
		}
	}
	output.Count = len(output.Items)
	output.ScannedCount = output.Count
	return output
}

// transactWriteItems implements TransactWriteItems: it applies all writes of a transaction, or none if a condition does
// not hold. A repetition with the ClientRequestToken of an applied transaction succeeds without effect.
func (s *Service) transactWriteItems(input transactInput) (any, error) {
	if n := len(input.TransactItems); n == 0 || n > table.MaxBatchWrites {
		return nil, validationError("a transaction has 1 to 100 items")
	}
	tx, err := newTransaction(input)
	if err != nil {
		return nil, validationError(err.Error())
	}
	s.forgetExpiredTransactions()
	if previous, ok := s.transactions[tx.token]; ok {
		if previous.digest != tx.digest {
			return nil, newAPIError(400, "IdempotentParameterMismatchException", "The token was used with other parameters")
		}
		return struct{}{}, nil
	}
	writes, failure := s.evaluateTransaction(input.TransactItems)
	if failure != nil {
		return nil, failure
	}
	for _, write := range writes {
		s.apply(write)
	}
	s.rememberTransaction(tx)
	return struct{}{}, nil
}

// newTransaction returns the record of a transaction. It holds a digest of the items, which reveals a token that is
// reused for another transaction.
func newTransaction(input transactInput) (transaction, error) {
	payload, err := json.Marshal(input.TransactItems)
	return transaction{token: input.ClientRequestToken, digest: sha256.Sum256(payload), appliedAt: time.Now()}, err
}

// rememberTransaction stores the record of an applied transaction if it has a ClientRequestToken.
func (s *Service) rememberTransaction(tx transaction) {
	if tx.token == "" {
		return
	}
	s.transactions[tx.token] = tx
	s.transactionOrder = append(s.transactionOrder, tx)
}

// forgetExpiredTransactions removes the records of transactions that were applied longer than tokenLifetime ago.
func (s *Service) forgetExpiredTransactions() {
	for len(s.transactionOrder) > 0 && time.Since(s.transactionOrder[0].appliedAt) > tokenLifetime {
		delete(s.transactions, s.transactionOrder[0].token)
		s.transactionOrder = s.transactionOrder[1:]
	}
}

// evaluateTransaction evaluates the conditions of all writes of a transaction. If one does not hold, the error lists a
// cancellation reason for each item.
func (s *Service) evaluateTransaction(items []transactItem) ([]evaluatedWrite, *apiError) {
	var writes []evaluatedWrite
	seen := map[table.Key]bool{}
	reasons := make([]cancellationReason, len(items))
	failed := false
	for i, item := range items {
		write, failure := s.evaluateItem(item)
		reasons[i] = cancellationReason{Code: "None"}
		if failure != nil && failure.Type != typePrefix+"ConditionalCheckFailedException" {
			return nil, failure
		}
		if failure != nil {
			failed = true
			reasons[i] = cancellationReason{Code: "ConditionalCheckFailed", Message: failure.Message}
		}
		if seen[write.key] {
			return nil, validationError("Transaction request cannot include multiple operations on one item")
		}
		seen[write.key] = true
		writes = append(writes, write)
	}
	if failed {
		cancelled := newAPIError(400, "TransactionCanceledException", "Transaction cancelled")
		cancelled.CancellationReasons = reasons
		return nil, cancelled
	}
	return writes, nil
}

// apply carries out a write whose condition held, and records it if Config.RecordWrites is set.
func (s *Service) apply(write evaluatedWrite) {
	if write.checkOnly {
		return
	}
	versions := s.items[write.key]
	if write.item == nil && versions.current == nil {
		return
	}
	s.items[write.key] = itemVersions{current: write.item, previous: versions.current}
	if !s.config.RecordWrites {
		return
	}
	applied := AppliedWrite{Key: write.key, Deleted: write.item == nil}
	if write.item != nil {
		applied.Revision = write.item.Revision
		applied.Token = write.item.Token
		applied.Body = write.item.Body
	}
	s.writes = append(s.writes, applied)
}

// itemFromAttributes converts the attributes of a put into an item. The attributes for revision, write token and epoch
// are required.
func itemFromAttributes(attrs attributeMap) (table.Item, *apiError) {
	revision, ok := attrs.numberValue(table.AttrRevision)
	epoch, epochOK := attrs.numberValue(table.AttrEpoch)
	if !ok || !epochOK || attrs.stringValue(table.AttrToken) == "" {
		return table.Item{}, validationError("an item has a revision, a token and an epoch")
	}
	return table.Item{
		Key:      attrs.key(),
		Revision: revision,
		Token:    ident.WriteToken(attrs.stringValue(table.AttrToken)),
		Epoch:    ident.Epoch(epoch),
		Body:     attrs.binaryValue(table.AttrBody),
	}, nil
}
