package table

import (
	"strconv"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

type (
	names  = map[string]string
	values = map[string]types.AttributeValue
)

func text(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func blob(b []byte) types.AttributeValue { return &types.AttributeValueMemberB{Value: b} }

func number(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func encodeKey(key Key) values {
	return values{AttrPartition: text(key.Partition), AttrSort: text(key.Sort)}
}

func encodeItem(item Item) values {
	v := encodeKey(item.Key)
	v[AttrRevision] = number(item.Revision)
	v[AttrToken] = text(string(item.Token))
	v[AttrEpoch] = number(uint64(item.Epoch))
	v[AttrBody] = blob(item.Body)
	return v
}

func decodeItem(v values) (Item, error) {
	d := decoder{values: v}
	item := Item{
		Key:      Key{Partition: d.text(AttrPartition), Sort: d.text(AttrSort)},
		Revision: d.number(AttrRevision),
		Token:    ident.WriteToken(d.text(AttrToken)),
		Epoch:    ident.Epoch(d.number(AttrEpoch)),
		Body:     d.blob(AttrBody),
	}
	if d.bad != "" {
		return Item{}, fault.New(fault.Internal, "decode item", peerName, "attribute %s is missing or of another type", d.bad)
	}
	return item, nil
}

// decoder reads attributes and remembers the last bad one.
type decoder struct {
	values values
	bad    string
}

func (d *decoder) text(name string) string {
	v, ok := d.values[name].(*types.AttributeValueMemberS)
	if !ok {
		d.bad = name
		return ""
	}
	return v.Value
}

func (d *decoder) number(name string) uint64 {
	v, ok := d.values[name].(*types.AttributeValueMemberN)
	if !ok {
		d.bad = name
		return 0
	}
	n, err := strconv.ParseUint(v.Value, 10, 64)
	if err != nil {
		d.bad = name
	}
	return n
}

func (d *decoder) blob(name string) []byte {
	v, ok := d.values[name].(*types.AttributeValueMemberB)
	if !ok {
		d.bad = name
		return nil
	}
	return v.Value
}

// clause is a condition in the API's form.
type clause struct {
	expression *string
	names      names
	values     values
}

func encodeCondition(cond Condition) clause {
	switch cond := cond.(type) {
	case Absent:
		return newClause(ConditionAbsent, names{namePartition: AttrPartition}, nil)
	case AtRevision:
		return newClause(ConditionRevision, names{nameRevision: AttrRevision}, values{ValueRevision: number(cond.Revision)})
	case AtEpoch:
		return newClause(ConditionEpoch, names{nameEpoch: AttrEpoch}, values{ValueEpoch: number(uint64(cond.Epoch))})
	}
	return clause{}
}

func newClause(expression string, n names, v values) clause {
	return clause{expression: &expression, names: n, values: v}
}
