package table

import "github.com/sardineline/sardineline/sard/fault"

// MaxBodyBytes is the largest body of an item in bytes.
const MaxBodyBytes = 350 << 10

const peerName = "table"

// check refuses a batch that no state of the table could accept.
func check(batch []Write) error {
	if len(batch) == 0 || len(batch) > MaxBatchWrites {
		return invalid("a batch has 1 to %d writes, not %d", MaxBatchWrites, len(batch))
	}
	seen := make(map[Key]bool, len(batch))
	for _, w := range batch {
		key, cond := KeyAndCondition(w)
		if key.Partition == "" || key.Sort == "" {
			return invalid("key %q/%q is not complete", key.Partition, key.Sort)
		}
		if cond == nil {
			return invalid("the write of %s/%s has no condition", key.Partition, key.Sort)
		}
		if seen[key] {
			return invalid("two writes of %s/%s in one batch", key.Partition, key.Sort)
		}
		seen[key] = true
		if put, ok := w.(Put); ok && len(put.Body) > MaxBodyBytes {
			return invalid("the body of %s/%s has %d bytes, at most %d", key.Partition, key.Sort, len(put.Body), MaxBodyBytes)
		}
	}
	return nil
}

func invalid(message string, args ...any) error {
	return fault.New(fault.Invalid, "check batch", peerName, message, args...)
}
