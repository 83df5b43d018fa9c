package table

import (
	"context"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// putSender sends one put at a revision. Sent twice it takes effect at most once, as the revision rises.
type putSender struct {
	client *Client
	put    Put
	at     uint64
	token  ident.WriteToken
}

func (p *putSender) op() operation { return opPut }

func (p *putSender) size() int { return 1 }

func (p *putSender) key() Key { return p.put.Key }

func (p *putSender) send(ctx context.Context) error {
	cond := encodeCondition(p.put.If)
	_, err := p.client.service.PutItem(ctx, &dynamodb.PutItemInput{
		TableName:                 &p.client.config.Table,
		Item:                      encodeItem(p.put.item(p.at+1, p.token)),
		ConditionExpression:       cond.expression,
		ExpressionAttributeNames:  cond.names,
		ExpressionAttributeValues: cond.values,
	})
	return err
}

// settle reads the item back and compares its token and revision.
func (p *putSender) settle(ctx context.Context, _ error) verdict {
	if err := p.client.reads.wait(ctx, LeasePriority, 1); err != nil {
		return unreadable
	}
	var item Item
	err := p.client.attempt(ctx, opGet, func(ctx context.Context) (err error) {
		item, err = p.client.getOnce(ctx, p.put.Key, true)
		return err
	})
	switch {
	case fault.Is(err, fault.NotFound):
		return overtaken
	case err != nil:
		return unreadable
	case item.Token == p.token:
		return tookEffect
	case item.Revision == p.at:
		return notYet
	case item.Revision == p.at+1:
		return otherWon
	}
	return overtaken
}

// item returns the item that a put writes.
func (p Put) item(revision uint64, token ident.WriteToken) Item {
	return Item{Key: p.Key, Revision: revision, Token: token, Epoch: p.Epoch, Body: p.Body}
}
