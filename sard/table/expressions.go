package table

// Attribute names of a stored item.
const (
	AttrPartition = "Partition"
	AttrSort      = "Sort"
	AttrRevision  = "Revision"
	AttrToken     = "Token"
	AttrEpoch     = "Epoch"
	AttrBody      = "Body"
)

// Condition, update and key expressions that the client sends. A test service needs to support only these.
const (
	ConditionAbsent       = "attribute_not_exists(#P)"
	ConditionRevision     = "#R = :R"
	ConditionEpoch        = "#E = :E"
	ConditionAlways       = "attribute_exists(#P) OR attribute_not_exists(#P)"
	UpdateExpression      = "SET #R = #R + :One, #T = :T, #E = :NewE, #B = :B"
	KeyConditionPartition = "#P = :P"
	KeyConditionPrefix    = "#P = :P AND begins_with(#S, :S)"
)

// Placeholder names and values in the expressions.
const (
	namePartition = "#P"
	nameSort      = "#S"
	nameRevision  = "#R"
	nameToken     = "#T"
	nameEpoch     = "#E"
	nameBody      = "#B"

	ValuePartition = ":P"
	ValueSort      = ":S"
	ValueRevision  = ":R"
	ValueEpoch     = ":E"
	ValueOne       = ":One"
	ValueToken     = ":T"
	ValueNewEpoch  = ":NewE"
	ValueBody      = ":B"
)
