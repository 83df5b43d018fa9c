package table

import (
	"context"
	"errors"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// transactSender sends a batch as a transaction under a request token. The service answers a transaction that
// took effect the same way when it is sent again.
type transactSender struct {
	client *Client
	first  Key
	in     *dynamodb.TransactWriteItemsInput
}

func newTransactSender(c *Client, batch []Write, token ident.WriteToken) *transactSender {
	request := string(token)
	in := &dynamodb.TransactWriteItemsInput{ClientRequestToken: &request}
	for _, w := range batch {
		in.TransactItems = append(in.TransactItems, encodeWrite(c.config.Table, w, token))
	}
	key, _ := KeyAndCondition(batch[0])
	return &transactSender{client: c, first: key, in: in}
}

func (t *transactSender) op() operation { return opTransact }

func (t *transactSender) size() int { return len(t.in.TransactItems) }

func (t *transactSender) key() Key { return t.first }

func (t *transactSender) send(ctx context.Context) error {
	_, err := t.client.service.TransactWriteItems(ctx, t.in)
	return err
}

// settle leaves the answer to sending again. When that was refused, a copy that is still under way could take effect
// once the condition holds again, so that the request token is used up first.
func (t *transactSender) settle(ctx context.Context, cause error) verdict {
	if !fault.Is(cause, fault.Conflict) {
		return notYet
	}
	err := t.client.attempt(ctx, opTransact, t.revoke)
	var mismatch *types.IdempotentParameterMismatchException
	switch {
	case err == nil:
		return otherWon
	case errors.As(err, &mismatch):
		return tookEffect
	}
	return unreadable
}

// revoke sends a transaction that changes nothing under the request token. The service then refuses all copies of
// the first one; when one has taken effect, it refuses this one for its other parameters.
func (t *transactSender) revoke(ctx context.Context) error {
	always := newClause(ConditionAlways, names{namePartition: AttrPartition}, nil)
	_, err := t.client.service.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{
		ClientRequestToken: t.in.ClientRequestToken,
		TransactItems:      []types.TransactWriteItem{encodeCheck(t.client.config.Table, t.first, always)},
	})
	return err
}

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
		return encodeCheck(table, w.Key, encodeCondition(w.If))
	}
	return types.TransactWriteItem{}
}

func encodeCheck(table string, key Key, cond clause) types.TransactWriteItem {
	return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
		TableName:                 &table,
		Key:                       encodeKey(key),
		ConditionExpression:       cond.expression,
		ExpressionAttributeNames:  cond.names,
		ExpressionAttributeValues: cond.values,
	}}
}

// encodePut encodes a put. At an epoch the revision is not known here, so that the service adds to it.
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

func encodeUpdate(table string, put Put, token ident.WriteToken) types.TransactWriteItem {
	cond := encodeCondition(put.If)
	update := UpdateExpression
	cond.names[nameRevision] = AttrRevision
	cond.names[nameToken] = AttrToken
	cond.names[nameBody] = AttrBody
	cond.values[ValueOne] = number(1)
	cond.values[ValueToken] = text(string(token))
	cond.values[ValueNewEpoch] = number(uint64(put.Epoch))
	cond.values[ValueBody] = blob(put.Body)
	return types.TransactWriteItem{Update: &types.Update{
		TableName:                 &table,
		Key:                       encodeKey(put.Key),
		UpdateExpression:          &update,
		ConditionExpression:       cond.expression,
		ExpressionAttributeNames:  cond.names,
		ExpressionAttributeValues: cond.values,
	}}
}
