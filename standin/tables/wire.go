package tables

import (
	"strconv"

	"github.com/sardineline/sardineline/sard/table"
)

// attributeValue is an attribute value of the DynamoDB API: a string, a number or a binary value.
type attributeValue struct {
	S *string `json:",omitempty"`
	N *string `json:",omitempty"`
	B *[]byte `json:",omitempty"`
}

// attributeMap holds attribute values by attribute name, or by placeholder in the values of an expression.
type attributeMap map[string]attributeValue

func (m attributeMap) stringValue(name string) string {
	if s := m[name].S; s != nil {
		return *s
	}
	return ""
}

func (m attributeMap) numberValue(name string) (uint64, bool) {
	n := m[name].N
	if n == nil {
		return 0, false
	}
	parsed, err := strconv.ParseUint(*n, 10, 64)
	return parsed, err == nil
}

func (m attributeMap) binaryValue(name string) []byte {
	if b := m[name].B; b != nil {
		return *b
	}
	return nil
}

func (m attributeMap) key() table.Key {
	return table.Key{Partition: m.stringValue(table.AttrPartition), Sort: m.stringValue(table.AttrSort)}
}

// stringAttribute returns s as an attribute value of type string.
func stringAttribute(s string) attributeValue { return attributeValue{S: &s} }

// numberAttribute returns n as an attribute value of type number.
func numberAttribute(n uint64) attributeValue {
	s := strconv.FormatUint(n, 10)
	return attributeValue{N: &s}
}

// itemAttributes converts an item into its attributes. An empty body becomes an empty binary value.
func itemAttributes(item table.Item) attributeMap {
	if item.Body == nil {
		item.Body = []byte{}
	}
	return attributeMap{
		table.AttrPartition: stringAttribute(item.Key.Partition),
		table.AttrSort:      stringAttribute(item.Key.Sort),
		table.AttrRevision:  numberAttribute(item.Revision),
		table.AttrToken:     stringAttribute(string(item.Token)),
		table.AttrEpoch:     numberAttribute(uint64(item.Epoch)),
		table.AttrBody:      {B: &item.Body},
	}
}

// conditionInput is the condition expression of a write, with the names and values of its placeholders.
type conditionInput struct {
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues attributeMap
}

// getInput is the request body of GetItem.
type getInput struct {
	TableName      string
	Key            attributeMap
	ConsistentRead bool
}

// getOutput is the response body of GetItem; Item is omitted if the item does not exist.
type getOutput struct {
	Item attributeMap `json:",omitempty"`
}

// putInput is the request body of PutItem, and a put in a transaction.
type putInput struct {
	TableName string
	Item      attributeMap
	conditionInput
}

// updateInput is an update of an item in a transaction.
type updateInput struct {
	TableName        string
	Key              attributeMap
	UpdateExpression string
	conditionInput
}

// keyOperationInput is a delete or a condition check in a transaction. Both name only the key of an item.
type keyOperationInput struct {
	TableName string
	Key       attributeMap
	conditionInput
}

// queryInput is the request body of Query.
type queryInput struct {
	TableName                 string
	ConsistentRead            bool
	KeyConditionExpression    string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues attributeMap
	ExclusiveStartKey         attributeMap
}

// queryOutput is the response body of Query: one page of items.
type queryOutput struct {
	Items            []attributeMap
	Count            int
	ScannedCount     int
	LastEvaluatedKey attributeMap `json:",omitempty"`
}

// transactItem is one write or condition check of a transaction; exactly one field is set.
type transactItem struct {
	ConditionCheck *keyOperationInput
	Delete         *keyOperationInput
	Put            *putInput
	Update         *updateInput
}

// transactInput is the request body of TransactWriteItems.
type transactInput struct {
	ClientRequestToken string
	TransactItems      []transactItem
}

// cancellationReason is the reason why one item made a transaction fail; its code is None if that item did not.
type cancellationReason struct {
	Code    string
	Message string `json:",omitempty"`
}

// apiError is an error response of the DynamoDB API with its HTTP status.
type apiError struct {
	status              int
	Type                string               `json:"__type"`
	Message             string               `json:"message"`
	CancellationReasons []cancellationReason `json:",omitempty"`
}

// Error returns the type and message of the error.
func (e *apiError) Error() string { return e.Type + ": " + e.Message }

// typePrefix is the namespace that precedes the code in the type of an error.
const typePrefix = "com.amazonaws.dynamodb.v20120810#"

// newAPIError returns an error with an HTTP status and an error code of the API.
func newAPIError(status int, code, message string) *apiError {
	return &apiError{status: status, Type: typePrefix + code, Message: message}
}

// validationError returns the error for a malformed or unsupported request.
func validationError(message string) *apiError {
	return newAPIError(400, "ValidationException", message)
}

// conditionFailed returns the error for a write whose condition does not hold.
func conditionFailed() *apiError {
	return newAPIError(400, "ConditionalCheckFailedException", "The conditional request failed")
}
