package work

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
)

// TestProgressEncodingRoundTrip checks that a decoded Progress equals the encoded one and that invalid data is
// rejected.
func TestProgressEncodingRoundTrip(t *testing.T) {
	progress := Progress{
		State: ident.Running, Account: "a", Queue: "q", Lives: []WorkerProcess{{Worker: "w", StartedMs: 5}}, Complete: []int{0},
		Groups: []Group{{Occurrence: 1, Step: 2, First: 3, Attempt: 4, Failures: 1, Placed: true, Ending: true, Checkpoint: "c", Workers: []int{0, NoWorkerIndex}}},
	}
	value, err := Encode(progress)
	assert.NilError(t, err)
	var read Progress
	assert.NilError(t, Decode(value, &read))
	assert.DeepEqual(t, read, progress)
	assert.Assert(t, Decode([]byte("{"), &read) != nil)
}

// TestProgressOfOtherVersions guards against progress records that the former version can't decode, or that this one can't
// decode if the former has written them, while instances of both run.
func TestProgressOfOtherVersions(t *testing.T) {
	type formerProgress struct {
		State   ident.JobState
		Account ident.Account
		Queue   QueueName
		Lives   []WorkerProcess `cbor:",omitempty"`
		Groups  []Group         `cbor:",omitempty"`
	}
	group := Group{Attempt: 2, Placed: true, Workers: []int{0}}
	process := WorkerProcess{Worker: "w", StartedMs: 5}
	former := formerProgress{State: ident.Running, Account: "a", Queue: "q", Lives: []WorkerProcess{process}, Groups: []Group{group}}
	current := Progress{
		State: former.State, Account: former.Account, Queue: former.Queue, Lives: former.Lives, Groups: former.Groups,
		CrashCounts: []PartCrashes{{Group: 0, Likely: 1, Attempt: 1, Process: 0}},
	}

	value, err := Encode(current)
	assert.NilError(t, err)
	var readByFormer formerProgress
	assert.NilError(t, Decode(value, &readByFormer))
	assert.DeepEqual(t, readByFormer, former)

	value, err = Encode(former)
	assert.NilError(t, err)
	var read Progress
	assert.NilError(t, Decode(value, &read))
	current.CrashCounts = nil
	assert.DeepEqual(t, read, current)
}

// TestParsePartRejectsInvalidText checks texts with the wrong number of fields or an invalid number.
func TestParsePartRejectsInvalidText(t *testing.T) {
	for _, text := range []string{"", "j.0.0", "j.0.0.x", "j.0.0.1.2"} {
		_, err := ParsePart(text)
		assert.Assert(t, err != nil, "%q", text)
	}
}

func ExamplePart_String() {
	p, err := ParsePart("5c0e7a21d94b36f8.0.1.17")
	fmt.Println(p, p.Step, p.Index, err)
	// Output: 5c0e7a21d94b36f8.0.1.17 1 17 <nil>
}

func ExampleRepeat_DueMs() {
	r := Repeat{Count: 3, StartMs: 1000, Interval: 2 * time.Second}
	fmt.Println(r.DueMs(0), r.DueMs(2), Repeat{}.DueMs(0))
	// Output: 1000 5000 0
}
