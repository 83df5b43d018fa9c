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

// Placeholders in the expressions. The service replaces those that start with # by an attribute name, and those that
// start with : by a value of the request.
const (
	namePartition = "#P"
	nameSort      = "#S"
	nameRevision  = "#R"
	nameToken     = "#T"
	nameEpoch     = "#E"
	nameBody      = "#B"

	// ValuePartition and ValueSort are the placeholders for the partition and for the prefix of the sort keys to list.
	ValuePartition = ":P"
	ValueSort      = ":S"
	// ValueRevision and ValueEpoch are the placeholders for the revision and the lease epoch that a condition requires.
	ValueRevision = ":R"
	ValueEpoch    = ":E"
	// ValueOne is the placeholder for the number 1, and the others are those for the attributes that an update stores.
	ValueOne      = ":One"
	ValueToken    = ":T"
	ValueNewEpoch = ":NewE"
	ValueBody     = ":B"
)
