package table

import (
	"context"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// putRequest writes a single item on condition of its revision. If it is sent twice, it takes effect at most once, because
// each write increments the revision.
type putRequest struct {
	client   *Client
	put      Put
	revision uint64
	token    ident.WriteToken
}

func (p *putRequest) operation() operation { return opPut }

func (p *putRequest) itemCount() int { return 1 }

func (p *putRequest) key() Key { return p.put.Key }

func (p *putRequest) send(ctx context.Context) error {
	cond := encodeCondition(p.put.If)
	_, err := p.client.service.PutItem(ctx, &dynamodb.PutItemInput{
		TableName:                 &p.client.config.Table,
		Item:                      encodeItem(p.put.item(p.revision+1, p.token)),
		ConditionExpression:       cond.expression,
		ExpressionAttributeNames:  cond.names,
		ExpressionAttributeValues: cond.values,
	})
	return err
}

// checkOutcome reads the item and compares its token and revision with those of the write.
func (p *putRequest) checkOutcome(ctx context.Context, _ error) outcome {
	if err := p.client.reads.wait(ctx, LeasePriority, 1); err != nil {
		return outcomeReadFailed
	}
	var item Item
	err := p.client.attempt(ctx, opGet, func(ctx context.Context) (err error) {
		item, err = p.client.getItem(ctx, p.put.Key, true)
		return err
	})
	switch {
	case fault.Is(err, fault.NotFound):
		return outcomeOverwritten
	case err != nil:
		return outcomeReadFailed
	case item.Token == p.token:
		return outcomeApplied
	case item.Revision == p.revision:
		return outcomeNotApplied
	case item.Revision == p.revision+1:
		return outcomeConflict
	}
	return outcomeOverwritten
}

// item returns the item as it is stored by the put with the given revision and token.
func (p Put) item(revision uint64, token ident.WriteToken) Item {
	return Item{Key: p.Key, Revision: revision, Token: token, Epoch: p.Epoch, Body: p.Body}
}
