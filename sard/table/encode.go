package table

import (
	"strconv"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

type (
	// names maps expression placeholders to attribute names.
	names = map[string]string
	// values maps attribute names or expression placeholders to values.
	values = map[string]types.AttributeValue
)

// stringValue returns an attribute value of type string.
func stringValue(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

// binaryValue returns an attribute value of type binary.
func binaryValue(b []byte) types.AttributeValue { return &types.AttributeValueMemberB{Value: b} }

// numberValue returns an attribute value of type number.
func numberValue(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

// encodeKey returns the key attributes of an item.
func encodeKey(key Key) values {
	return values{AttrPartition: stringValue(key.Partition), AttrSort: stringValue(key.Sort)}
}

// encodeItem returns all attributes of an item.
func encodeItem(item Item) values {
	v := encodeKey(item.Key)
	v[AttrRevision] = numberValue(item.Revision)
	v[AttrToken] = stringValue(string(item.Token))
	v[AttrEpoch] = numberValue(uint64(item.Epoch))
	v[AttrBody] = binaryValue(item.Body)
	return v
}

// decodeItem decodes an item from its attributes.
func decodeItem(v values) (Item, error) {
	d := decoder{values: v}
	item := Item{
		Key:      Key{Partition: d.text(AttrPartition), Sort: d.text(AttrSort)},
		Revision: d.number(AttrRevision),
		Token:    ident.WriteToken(d.text(AttrToken)),
		Epoch:    ident.Epoch(d.number(AttrEpoch)),
		Body:     d.blob(AttrBody),
	}
	if d.invalidAttr != "" {
		return Item{}, fault.New(fault.Internal, "decode item", serviceName, "attribute %s is missing or has the wrong type", d.invalidAttr)
	}
	return item, nil
}

// decoder reads the attributes of an item and records the name of the last one that is missing or invalid.
type decoder struct {
	values      values
	invalidAttr string
}

func (d *decoder) text(name string) string {
	v, ok := d.values[name].(*types.AttributeValueMemberS)
	if !ok {
		d.invalidAttr = name
		return ""
	}
	return v.Value
}

func (d *decoder) number(name string) uint64 {
	v, ok := d.values[name].(*types.AttributeValueMemberN)
	if !ok {
		d.invalidAttr = name
		return 0
	}
	n, err := strconv.ParseUint(v.Value, 10, 64)
	if err != nil {
		d.invalidAttr = name
	}
	return n
}

func (d *decoder) blob(name string) []byte {
	v, ok := d.values[name].(*types.AttributeValueMemberB)
	if !ok {
		d.invalidAttr = name
		return nil
	}
	return v.Value
}

// conditionClause is a condition as the service expects it: an expression with its placeholder names and values.
type conditionClause struct {
	expression *string
	names      names
	values     values
}

// encodeCondition converts a condition to an expression of the service.
func encodeCondition(cond Condition) conditionClause {
	switch cond := cond.(type) {
	case Absent:
		return newConditionClause(ConditionAbsent, names{namePartition: AttrPartition}, nil)
	case AtRevision:
		return newConditionClause(ConditionRevision, names{nameRevision: AttrRevision}, values{ValueRevision: numberValue(cond.Revision)})
	case AtEpoch:
		return newConditionClause(ConditionEpoch, names{nameEpoch: AttrEpoch}, values{ValueEpoch: numberValue(uint64(cond.Epoch))})
	}
	return conditionClause{}
}

// newConditionClause returns a condition clause with the given expression and placeholders.
func newConditionClause(expression string, n names, v values) conditionClause {
	return conditionClause{expression: &expression, names: n, values: v}
}
