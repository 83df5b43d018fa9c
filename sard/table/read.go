package table

import (
	"context"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb"

	"github.com/sardineline/sardineline/sard/fault"
)

// Get reads one item with strong consistency.
func (c *Client) Get(ctx context.Context, priority Priority, key Key) (Item, error) {
	return c.get(ctx, priority, key, true)
}

// GetStale reads one item that may lag behind the last write. It costs the service half of what Get costs.
func (c *Client) GetStale(ctx context.Context, priority Priority, key Key) (Item, error) {
	return c.get(ctx, priority, key, false)
}

// List reads the items of a partition whose sort keys start with prefix, in order. Items that are written
// meanwhile may or may not be in it.
func (c *Client) List(ctx context.Context, priority Priority, partition, prefix string) ([]Item, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	in := queryInput(c.config.Table, partition, prefix)
	var items []Item
	for {
		var out *dynamodb.QueryOutput
		err := c.read(ctx, priority, opQuery, func(ctx context.Context) (err error) {
			out, err = c.service.Query(ctx, in)
			return err
		})
		if err != nil {
			return nil, err
		}
		for _, v := range out.Items {
			item, err := decodeItem(v)
			if err != nil {
				return nil, err
			}
			items = append(items, item)
		}
		if len(out.LastEvaluatedKey) == 0 {
			return items, nil
		}
		in.ExclusiveStartKey = out.LastEvaluatedKey
	}
}

func queryInput(table, partition, prefix string) *dynamodb.QueryInput {
	consistent := true
	condition := KeyConditionPartition
	in := &dynamodb.QueryInput{
		TableName:                 &table,
		ConsistentRead:            &consistent,
		ExpressionAttributeNames:  names{namePartition: AttrPartition},
		ExpressionAttributeValues: values{ValuePartition: text(partition)},
	}
	if prefix != "" {
		condition = KeyConditionPrefix
		in.ExpressionAttributeNames[nameSort] = AttrSort
		in.ExpressionAttributeValues[ValueSort] = text(prefix)
	}
	in.KeyConditionExpression = &condition
	return in
}

func (c *Client) get(ctx context.Context, priority Priority, key Key, consistent bool) (Item, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	var item Item
	err := c.read(ctx, priority, opGet, func(ctx context.Context) (err error) {
		item, err = c.getOnce(ctx, key, consistent)
		return err
	})
	return item, err
}

func (c *Client) getOnce(ctx context.Context, key Key, consistent bool) (Item, error) {
	out, err := c.service.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      &c.config.Table,
		Key:            encodeKey(key),
		ConsistentRead: &consistent,
	})
	if err != nil {
		return Item{}, err
	}
	if len(out.Item) == 0 {
		return Item{}, fault.New(fault.NotFound, "get item", peerName, "no item %s/%s", key.Partition, key.Sort)
	}
	return decodeItem(out.Item)
}

// read makes a read with its retries. Its errors tell nothing but that the read failed.
func (c *Client) read(ctx context.Context, priority Priority, op operation, call func(context.Context) error) error {
	for tried := 1; ; tried++ {
		if err := c.reads.wait(ctx, priority, 1); err != nil {
			return err
		}
		err := c.attempt(ctx, op, call)
		if fault.Is(err, fault.OutcomeUnknown) {
			err = fault.Wrap(err, fault.Unavailable, string(op), peerName)
		}
		c.note(err)
		if !retryable(err) || !c.pause(ctx, tried) {
			return err
		}
	}
}

func retryable(err error) bool {
	return fault.Is(err, fault.Throttled) || fault.Is(err, fault.Unavailable)
}
