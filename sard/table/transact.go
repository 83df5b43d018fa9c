package table

import (
	"context"
	"errors"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// transactRequest writes a batch as a transaction with a client request token. If a transaction that took effect is sent
// again, the service returns the same result and does not apply it twice.
type transactRequest struct {
	client   *Client
	firstKey Key
	input    *dynamodb.TransactWriteItemsInput
}

// newTransactRequest encodes a batch as a transaction whose client request token is the write token.
func newTransactRequest(c *Client, batch []Write, token ident.WriteToken) *transactRequest {
	clientToken := string(token)
	in := &dynamodb.TransactWriteItemsInput{ClientRequestToken: &clientToken}
	for _, w := range batch {
		in.TransactItems = append(in.TransactItems, encodeWrite(c.config.Table, w, token))
	}
	key, _ := KeyAndCondition(batch[0])
	return &transactRequest{client: c, firstKey: key, input: in}
}

func (t *transactRequest) operation() operation { return opTransact }

func (t *transactRequest) itemCount() int { return len(t.input.TransactItems) }

func (t *transactRequest) key() Key { return t.firstKey }

func (t *transactRequest) send(ctx context.Context) error {
	_, err := t.client.service.TransactWriteItems(ctx, t.input)
	return err
}

// checkOutcome reports that the transaction is to be sent again, which yields its outcome. If that failed with a conflict,
// an earlier copy that is still in transit could take effect once the condition holds again, so checkOutcome first
// invalidates the request token.
func (t *transactRequest) checkOutcome(ctx context.Context, cause error) outcome {
	if !fault.Is(cause, fault.Conflict) {
		return outcomeNotApplied
	}
	err := t.client.attempt(ctx, opTransact, t.invalidateToken)
	var mismatch *types.IdempotentParameterMismatchException
	switch {
	case err == nil:
		return outcomeConflict
	case errors.As(err, &mismatch):
		return outcomeApplied
	}
	return outcomeReadFailed
}

// invalidateToken sends a transaction that changes nothing with the same request token. The service then rejects all copies
// of the original transaction. If one of them has already taken effect, the service rejects this one because its
// parameters differ.
func (t *transactRequest) invalidateToken(ctx context.Context) error {
	always := newConditionClause(ConditionAlways, names{namePartition: AttrPartition}, nil)
	_, err := t.client.service.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{
		ClientRequestToken: t.input.ClientRequestToken,
		TransactItems:      []types.TransactWriteItem{encodeConditionCheck(t.client.config.Table, t.firstKey, always)},
	})
	return err
}

// encodeWrite encodes a write of a transaction.
func encodeWrite(table string, w Write, token ident.WriteToken) types.TransactWriteItem {
	switch w := w.(type) {
	case Put:
		return encodePut(table, w, token)
	case Delete:
		cond := encodeCondition(w.If)
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName:                 &table,
			Key:                       encodeKey(w.Key),
			ConditionExpression:       cond.expression,
			ExpressionAttributeNames:  cond.names,
			ExpressionAttributeValues: cond.values,
		}}
	case ConditionCheck:
		return encodeConditionCheck(table, w.Key, encodeCondition(w.If))
	}
	return types.TransactWriteItem{}
}

// encodeConditionCheck encodes a condition check of a transaction.
func encodeConditionCheck(table string, key Key, cond conditionClause) types.TransactWriteItem {
	return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
		TableName:                 &table,
		Key:                       encodeKey(key),
		ConditionExpression:       cond.expression,
		ExpressionAttributeNames:  cond.names,
		ExpressionAttributeValues: cond.values,
	}}
}

// encodePut encodes a put. With an AtEpoch condition the revision is not known to the client, so the put is encoded as an
// update that increments it.
func encodePut(table string, put Put, token ident.WriteToken) types.TransactWriteItem {
	cond := encodeCondition(put.If)
	revision := uint64(1)
	switch at := put.If.(type) {
	case AtEpoch:
		return encodeUpdate(table, put, token)
	case AtRevision:
		revision = at.Revision + 1
	case Absent:
	}
	return types.TransactWriteItem{Put: &types.Put{
		TableName:                 &table,
		Item:                      encodeItem(put.item(revision, token)),
		ConditionExpression:       cond.expression,
		ExpressionAttributeNames:  cond.names,
		ExpressionAttributeValues: cond.values,
	}}
}

// encodeUpdate encodes a put as an update that increments the revision.
func encodeUpdate(table string, put Put, token ident.WriteToken) types.TransactWriteItem {
	cond := encodeCondition(put.If)
	update := UpdateExpression
	cond.names[nameRevision] = AttrRevision
	cond.names[nameToken] = AttrToken
	cond.names[nameBody] = AttrBody
	cond.values[ValueOne] = numberValue(1)
	cond.values[ValueToken] = stringValue(string(token))
	cond.values[ValueNewEpoch] = numberValue(uint64(put.Epoch))
	cond.values[ValueBody] = binaryValue(put.Body)
	return types.TransactWriteItem{Update: &types.Update{
		TableName:                 &table,
		Key:                       encodeKey(put.Key),
		UpdateExpression:          &update,
		ConditionExpression:       cond.expression,
		ExpressionAttributeNames:  cond.names,
		ExpressionAttributeValues: cond.values,
	}}
}
