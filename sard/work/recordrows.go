package work

import (
	"strconv"
	"strings"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
)

const (
	// maxRecordRowBytes is the size up to which a progress record is stored in one row. It leaves a margin to
	// store.MaxRowBytes.
	maxRecordRowBytes = store.MaxRowBytes - 4<<10
	// MaxRecordRows bounds the number of rows of a progress record.
	MaxRecordRows = 11
	// MaxCheckpointBytes is the size of a checkpoint up to which it is recorded.
	MaxCheckpointBytes = 128
	// MaxNameBytes is the size of the name of a worker or a host up to which it is recorded.
	MaxNameBytes = 200
	// rowSeparator separates the job and the number of a row in the names of the further rows of a progress record.
	rowSeparator = "/"
)

// A progress record that is too large for one row is cut into further rows, which one transaction writes together with the
// first one. The first row then holds a Progress without groups whose FurtherRows is their number.

// progressRowKey returns the key of a further row of a job's progress record, numbered from 1.
func progressRowKey(id ident.Job, number int) store.Key {
	key := ProgressKey(id)
	key.Name += rowSeparator + strconv.Itoa(number)
	return key
}

// FurtherProgressKeys returns the keys of the further rows of a job's progress record that are numbered from first to last.
func FurtherProgressKeys(id ident.Job, first, last int) []store.Key {
	var keys []store.Key
	for number := first; number <= last; number++ {
		keys = append(keys, progressRowKey(id, number))
	}
	return keys
}

// EncodeProgress returns the rows of a job's progress record, of which the first has the key ProgressKey(id). It fails with
// Invalid if the record is too large.
func EncodeProgress(id ident.Job, p Progress) ([]store.Put, error) {
	value, err := Encode(p)
	if err == nil && len(value) > maxRecordRowBytes*(MaxRecordRows-1) {
		// The counts of crashes are what can be missed most easily.
		p.CrashCounts, p.Hosts = nil, nil
		value, err = Encode(p)
	}
	if err != nil {
		return nil, err
	}
	if len(value) <= maxRecordRowBytes {
		return []store.Put{{Key: ProgressKey(id), Value: value}}, nil
	}
	first := Progress{State: p.State, Account: p.Account, Queue: p.Queue, EndedMs: p.EndedMs}
	var further []store.Put
	for rest := value; len(rest) > 0; {
		first.FurtherRows++
		size := min(len(rest), maxRecordRowBytes)
		further = append(further, store.Put{Key: progressRowKey(id, first.FurtherRows), Value: rest[:size]})
		rest = rest[size:]
	}
	if first.FurtherRows >= MaxRecordRows {
		return nil, fault.New(fault.Invalid, "encode record", string(id), "the record has %d bytes", len(value))
	}
	value, err = Encode(first)
	return append([]store.Put{{Key: ProgressKey(id), Value: value}}, further...), err
}

// ProgressRows are the rows of the progress records of all jobs, by the job and the name of the row.
type ProgressRows map[ident.Job]map[string][]byte

// CollectProgress sorts the rows of ProgressTable by job.
func CollectProgress(rows []store.Row) ProgressRows {
	collected := ProgressRows{}
	for _, row := range rows {
		name, _, _ := strings.Cut(row.Key.Name, rowSeparator)
		id := ident.Job(name)
		if collected[id] == nil {
			collected[id] = map[string][]byte{}
		}
		collected[id][row.Key.Name] = row.Value
	}
	return collected
}

// Decode decodes the progress record of a job. It returns the number of its further rows too.
func (r ProgressRows) Decode(id ident.Job) (*Progress, int, error) {
	first, ok := r[id][string(id)]
	if !ok {
		return nil, 0, fault.New(fault.Invalid, "decode record", "store", "the first row of job %s is missing", id)
	}
	p := &Progress{}
	if err := Decode(first, p); err != nil || p.FurtherRows == 0 {
		return p, 0, err
	}
	var value []byte
	further := p.FurtherRows
	for number := 1; number <= min(further, MaxRecordRows); number++ {
		value = append(value, r[id][progressRowKey(id, number).Name]...)
	}
	p = &Progress{}
	return p, further, Decode(value, p)
}
