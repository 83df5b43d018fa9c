package table

import (
	"context"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb"

	"github.com/sardineline/sardineline/sard/fault"
)

// Get returns an item with strong consistency.
func (c *Client) Get(ctx context.Context, priority Priority, key Key) (Item, error) {
	return c.get(ctx, priority, key, true)
}

// GetStale returns an item with eventual consistency, so it may not reflect the last write. It consumes half as much
// capacity of the service as Get.
func (c *Client) GetStale(ctx context.Context, priority Priority, key Key) (Item, error) {
	return c.get(ctx, priority, key, false)
}

// List returns the items of a partition whose sort keys start with prefix, sorted by sort key. Items that are written
// during the call may or may not be included.
func (c *Client) List(ctx context.Context, priority Priority, partition, prefix string) ([]Item, error) {
	in := queryInput(c.config.Table, partition, prefix)
	var items []Item
	for {
		out, err := c.queryPage(ctx, priority, in)
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

// queryPage returns a page of the items of a query.
func (c *Client) queryPage(ctx context.Context, priority Priority, in *dynamodb.QueryInput) (*dynamodb.QueryOutput, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	var out *dynamodb.QueryOutput
	err := c.read(ctx, priority, opQuery, func(ctx context.Context) (err error) {
		out, err = c.service.Query(ctx, in)
		return err
	})
	return out, err
}

// queryInput returns the query for the items of a partition whose sort keys start with prefix.
func queryInput(table, partition, prefix string) *dynamodb.QueryInput {
	consistent := true
	condition := KeyConditionPartition
	in := &dynamodb.QueryInput{
		TableName:                 &table,
		ConsistentRead:            &consistent,
		ExpressionAttributeNames:  names{namePartition: AttrPartition},
		ExpressionAttributeValues: values{ValuePartition: stringValue(partition)},
	}
	if prefix != "" {
		condition = KeyConditionPrefix
		in.ExpressionAttributeNames[nameSort] = AttrSort
		in.ExpressionAttributeValues[ValueSort] = stringValue(prefix)
	}
	in.KeyConditionExpression = &condition
	return in
}

func (c *Client) get(ctx context.Context, priority Priority, key Key, consistent bool) (Item, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	var item Item
	err := c.read(ctx, priority, opGet, func(ctx context.Context) (err error) {
		item, err = c.getItem(ctx, key, consistent)
		return err
	})
	return item, err
}

func (c *Client) getItem(ctx context.Context, key Key, consistent bool) (Item, error) {
	out, err := c.service.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      &c.config.Table,
		Key:            encodeKey(key),
		ConsistentRead: &consistent,
	})
	if err != nil {
		return Item{}, err
	}
	if len(out.Item) == 0 {
		return Item{}, fault.New(fault.NotFound, "get item", serviceName, "item %s/%s does not exist", key.Partition, key.Sort)
	}
	return decodeItem(out.Item)
}

// read makes a call that reads, with retries. OutcomeUnknown becomes Unavailable, because a read has no effect.
func (c *Client) read(ctx context.Context, priority Priority, op operation, call func(context.Context) error) error {
	for attempts := 1; ; attempts++ {
		if err := c.reads.wait(ctx, priority, 1); err != nil {
			return err
		}
		err := c.attempt(ctx, op, call)
		if fault.Is(err, fault.OutcomeUnknown) {
			err = fault.Wrap(err, fault.Unavailable, string(op), serviceName)
		}
		c.noteResult(err)
		if !retryable(err) || !c.waitRetry(ctx, attempts) {
			return err
		}
	}
}

// retryable reports whether a call that failed with err had no effect and may succeed if repeated.
func retryable(err error) bool {
	return fault.Is(err, fault.Throttled) || fault.Is(err, fault.Unavailable)
}
