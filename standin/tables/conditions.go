package tables

import (
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/table"
)

// plan is a write whose condition held; a nil item removes the key.
type plan struct {
	key   table.Key
	item  *table.Item
	check bool
}

func (s *Service) planItem(in transactItem) (plan, *apiError) {
	switch {
	case in.Put != nil:
		return s.planPut(*in.Put)
	case in.Update != nil:
		return s.planUpdate(*in.Update)
	case in.Delete != nil:
		return s.planKey(*in.Delete, false)
	case in.ConditionCheck != nil:
		return s.planKey(*in.ConditionCheck, true)
	}
	return plan{}, invalid("an item of a transaction is empty")
}

func (s *Service) planPut(in putInput) (plan, *apiError) {
	item, failure := itemOf(in.Item)
	if failure != nil {
		return plan{}, failure
	}
	if len(item.Body) > maxItem {
		return plan{}, invalid("Item size has exceeded the maximum allowed size")
	}
	p := plan{key: item.Key, item: &item}
	return p, s.holds(item.Key, in.expression)
}

func (s *Service) planUpdate(in updateInput) (plan, *apiError) {
	key := in.Key.key()
	p := plan{key: key}
	if in.UpdateExpression != table.UpdateExpression {
		return p, invalid("update is not served: " + in.UpdateExpression)
	}
	if failure := s.holds(key, in.expression); failure != nil {
		return p, failure
	}
	now := s.items[key].now
	if now == nil {
		return p, invalid("the update refers to an attribute that does not exist")
	}
	epoch, _ := in.ExpressionAttributeValues.number(table.ValueNewEpoch)
	p.item = &table.Item{
		Key:      key,
		Revision: now.Revision + 1,
		Token:    ident.WriteToken(in.ExpressionAttributeValues.text(table.ValueToken)),
		Epoch:    ident.Epoch(epoch),
		Body:     in.ExpressionAttributeValues.blob(table.ValueBody),
	}
	return p, nil
}

func (s *Service) planKey(in keyInput, check bool) (plan, *apiError) {
	key := in.Key.key()
	return plan{key: key, check: check}, s.holds(key, in.expression)
}

func (s *Service) holds(key table.Key, e expression) *apiError {
	if key.Partition == "" || key.Sort == "" {
		return invalid("the key is not complete")
	}
	now := s.items[key].now
	ok := false
	switch e.ConditionExpression {
	case table.ConditionAlways:
		ok = true
	case table.ConditionAbsent:
		ok = now == nil
	case table.ConditionRevision:
		revision, _ := e.ExpressionAttributeValues.number(table.ValueRevision)
		ok = now != nil && now.Revision == revision
	case table.ConditionEpoch:
		epoch, _ := e.ExpressionAttributeValues.number(table.ValueEpoch)
		ok = now != nil && now.Epoch == ident.Epoch(epoch)
	default:
		return invalid("condition is not served: " + e.ConditionExpression)
	}
	if !ok {
		return conditionFailed()
	}
	return nil
}
