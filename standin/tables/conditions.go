package tables

import (
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/table"
)

// evaluatedWrite is a write of a transaction whose condition held. A nil item deletes the key unless checkOnly is set,
// which changes nothing.
type evaluatedWrite struct {
	key       table.Key
	item      *table.Item
	checkOnly bool
}

// evaluateItem evaluates the condition of one write of a transaction and returns what to write.
func (s *Service) evaluateItem(item transactItem) (evaluatedWrite, *apiError) {
	switch {
	case item.Put != nil:
		return s.evaluatePut(*item.Put)
	case item.Update != nil:
		return s.evaluateUpdate(*item.Update)
	case item.Delete != nil:
		return s.evaluateKeyOperation(*item.Delete, false)
	case item.ConditionCheck != nil:
		return s.evaluateKeyOperation(*item.ConditionCheck, true)
	}
	return evaluatedWrite{}, validationError("an item of a transaction is empty")
}

func (s *Service) evaluatePut(input putInput) (evaluatedWrite, *apiError) {
	item, failure := itemFromAttributes(input.Item)
	if failure != nil {
		return evaluatedWrite{}, failure
	}
	if len(item.Body) > maxItemBytes {
		return evaluatedWrite{}, validationError("Item size has exceeded the maximum allowed size")
	}
	write := evaluatedWrite{key: item.Key, item: &item}
	return write, s.checkCondition(item.Key, input.conditionInput)
}

func (s *Service) evaluateUpdate(input updateInput) (evaluatedWrite, *apiError) {
	key := input.Key.key()
	write := evaluatedWrite{key: key}
	if input.UpdateExpression != table.UpdateExpression {
		return write, validationError("update is not served: " + input.UpdateExpression)
	}
	if failure := s.checkCondition(key, input.conditionInput); failure != nil {
		return write, failure
	}
	current := s.items[key].current
	if current == nil {
		return write, validationError("the update refers to an attribute that does not exist")
	}
	epoch, _ := input.ExpressionAttributeValues.numberValue(table.ValueNewEpoch)
	write.item = &table.Item{
		Key:      key,
		Revision: current.Revision + 1,
		Token:    ident.WriteToken(input.ExpressionAttributeValues.stringValue(table.ValueToken)),
		Epoch:    ident.Epoch(epoch),
		Body:     input.ExpressionAttributeValues.binaryValue(table.ValueBody),
	}
	return write, nil
}

// evaluateKeyOperation evaluates a delete or, if checkOnly is set, a condition check.
func (s *Service) evaluateKeyOperation(input keyOperationInput, checkOnly bool) (evaluatedWrite, *apiError) {
	key := input.Key.key()
	return evaluatedWrite{key: key, checkOnly: checkOnly}, s.checkCondition(key, input.conditionInput)
}

// checkCondition returns an error if the condition does not hold for the item now stored under key, or if its
// expression is not supported.
func (s *Service) checkCondition(key table.Key, condition conditionInput) *apiError {
	if key.Partition == "" || key.Sort == "" {
		return validationError("the key is not complete")
	}
	current := s.items[key].current
	met := false
	switch condition.ConditionExpression {
	case table.ConditionAlways:
		met = true
	case table.ConditionAbsent:
		met = current == nil
	case table.ConditionRevision:
		revision, _ := condition.ExpressionAttributeValues.numberValue(table.ValueRevision)
		met = current != nil && current.Revision == revision
	case table.ConditionEpoch:
		epoch, _ := condition.ExpressionAttributeValues.numberValue(table.ValueEpoch)
		met = current != nil && current.Epoch == ident.Epoch(epoch)
	default:
		return validationError("condition is not served: " + condition.ConditionExpression)
	}
	if !met {
		return conditionFailed()
	}
	return nil
}
