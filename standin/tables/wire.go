package tables

import (
	"strconv"

	"github.com/sardineline/sardineline/sard/table"
)

// value is an attribute value of the API: one of a string, a number and a blob.
type value struct {
	S *string `json:",omitempty"`
	N *string `json:",omitempty"`
	B *[]byte `json:",omitempty"`
}

type values map[string]value

func (v values) text(name string) string {
	if s := v[name].S; s != nil {
		return *s
	}
	return ""
}

func (v values) number(name string) (uint64, bool) {
	n := v[name].N
	if n == nil {
		return 0, false
	}
	parsed, err := strconv.ParseUint(*n, 10, 64)
	return parsed, err == nil
}

func (v values) blob(name string) []byte {
	if b := v[name].B; b != nil {
		return *b
	}
	return nil
}

func (v values) key() table.Key {
	return table.Key{Partition: v.text(table.AttrPartition), Sort: v.text(table.AttrSort)}
}

func text(s string) value { return value{S: &s} }

func number(n uint64) value {
	s := strconv.FormatUint(n, 10)
	return value{N: &s}
}

func attributes(item table.Item) values {
	if item.Body == nil {
		item.Body = []byte{}
	}
	return values{
		table.AttrPartition: text(item.Key.Partition),
		table.AttrSort:      text(item.Key.Sort),
		table.AttrRevision:  number(item.Revision),
		table.AttrToken:     text(string(item.Token)),
		table.AttrEpoch:     number(uint64(item.Epoch)),
		table.AttrBody:      {B: &item.Body},
	}
}

type expression struct {
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues values
}

type getInput struct {
	TableName      string
	Key            values
	ConsistentRead bool
}

type getOutput struct {
	Item values `json:",omitempty"`
}

type putInput struct {
	TableName string
	Item      values
	expression
}

type updateInput struct {
	TableName        string
	Key              values
	UpdateExpression string
	expression
}

type keyInput struct {
	TableName string
	Key       values
	expression
}

type queryInput struct {
	TableName                 string
	ConsistentRead            bool
	KeyConditionExpression    string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues values
	ExclusiveStartKey         values
}

type queryOutput struct {
	Items            []values
	Count            int
	ScannedCount     int
	LastEvaluatedKey values `json:",omitempty"`
}

type transactItem struct {
	ConditionCheck *keyInput
	Delete         *keyInput
	Put            *putInput
	Update         *updateInput
}

type transactInput struct {
	ClientRequestToken string
	TransactItems      []transactItem
}

type cancellation struct {
	Code    string
	Message string `json:",omitempty"`
}

// apiError is the API's form of an error.
type apiError struct {
	status              int
	Type                string         `json:"__type"`
	Message             string         `json:"message"`
	CancellationReasons []cancellation `json:",omitempty"`
}

func (e *apiError) Error() string { return e.Type + ": " + e.Message }

const typePrefix = "com.amazonaws.dynamodb.v20120810#"

func apiFailure(status int, code, message string) *apiError {
	return &apiError{status: status, Type: typePrefix + code, Message: message}
}

func invalid(message string) *apiError {
	return apiFailure(400, "ValidationException", message)
}

func conditionFailed() *apiError {
	return apiFailure(400, "ConditionalCheckFailedException", "The conditional request failed")
}
