package table

import "github.com/sardineline/sardineline/sard/fault"

// MaxBodyBytes is the maximum size of an item's body in bytes.
const MaxBodyBytes = 350 << 10

// serviceName names the table service in errors.
const serviceName = "table"

// validateBatch rejects a batch that cannot succeed whatever the table contains.
func validateBatch(batch []Write) error {
	if len(batch) == 0 || len(batch) > MaxBatchWrites {
		return invalidBatch("batch must have 1 to %d writes, has %d", MaxBatchWrites, len(batch))
	}
	seen := make(map[Key]bool, len(batch))
	for _, w := range batch {
		key, cond := KeyAndCondition(w)
		if key.Partition == "" || key.Sort == "" {
			return invalidBatch("key %q/%q is incomplete", key.Partition, key.Sort)
		}
		if cond == nil {
			return invalidBatch("write to %s/%s has no condition", key.Partition, key.Sort)
		}
		if seen[key] {
			return invalidBatch("batch has several writes to %s/%s", key.Partition, key.Sort)
		}
		seen[key] = true
		if put, ok := w.(Put); ok && len(put.Body) > MaxBodyBytes {
			return invalidBatch("body of %s/%s has %d bytes, limit is %d", key.Partition, key.Sort, len(put.Body), MaxBodyBytes)
		}
	}
	return nil
}

// invalidBatch returns an error of kind Invalid.
func invalidBatch(message string, args ...any) error {
	return fault.New(fault.Invalid, "check batch", serviceName, message, args...)
}
