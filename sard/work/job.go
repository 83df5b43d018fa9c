// Package work holds the vocabulary of the pool scheduler: jobs, their steps and parts, and their records in the store.
package work

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// QueueName names a queue of the configuration.
type QueueName string

// Service names a pool of workers.
type Service string

// MilliCores is processor capacity in thousandths of a core.
type MilliCores int64

// MiB is memory in mebibytes.
type MiB int64

// Priority orders queues. 0 comes first and may take capacity back from others.
type Priority int

// Guaranteed is the priority whose jobs draw on their account's guarantee.
const Guaranteed Priority = 0

// Resources is an amount of each resource of a worker.
type Resources struct {
	CPU          MilliCores         `cbor:",omitempty"`
	Memory       MiB                `cbor:",omitempty"`
	Accelerators ident.Accelerators `cbor:",omitempty"`
}

// Plus returns a + b.
func (a Resources) Plus(b Resources) Resources {
	return Resources{CPU: a.CPU + b.CPU, Memory: a.Memory + b.Memory, Accelerators: a.Accelerators + b.Accelerators}
}

// Minus returns a - b, which may be negative.
func (a Resources) Minus(b Resources) Resources {
	return Resources{CPU: a.CPU - b.CPU, Memory: a.Memory - b.Memory, Accelerators: a.Accelerators - b.Accelerators}
}

// Fits tells whether a is within b in each resource.
func (a Resources) Fits(b Resources) bool {
	return a.CPU <= b.CPU && a.Memory <= b.Memory && a.Accelerators <= b.Accelerators
}

// Step is a set of equal parts that may start together.
type Step struct {
	// Parts is the number of parts, at least 1.
	Parts int
	// Need is what each part needs of its worker.
	Need Resources
	// Estimate is the submitter's rough estimate of a part's run time.
	Estimate time.Duration `cbor:",omitempty"`
	// After lists earlier steps whose parts must all be done first.
	After []int `cbor:",omitempty"`
	// Checkpoints tells that parts save their progress.
	Checkpoints bool `cbor:",omitempty"`
	// Gang tells that the parts work only together and end together.
	Gang bool `cbor:",omitempty"`
	// SameRack tells that the parts are much slower on more than one rack.
	SameRack bool `cbor:",omitempty"`
	// Label is one that the worker must have; empty for none.
	Label string `cbor:",omitempty"`
	// DataRack is the rack near the data; parts are much slower elsewhere. Empty for none.
	DataRack ident.Rack `cbor:",omitempty"`
	// MaxPerWorker bounds the parts of one occurrence on one worker; 0 means no bound.
	MaxPerWorker int `cbor:",omitempty"`
	// Speculative tells that copies of a part may run at once.
	Speculative bool `cbor:",omitempty"`
	// Lasting tells that the parts run until the job is cancelled and are restarted whenever they end.
	Lasting bool `cbor:",omitempty"`
	// Image names what the parts run; parts of one image behave alike.
	Image string `cbor:",omitempty"`
	// Latency is the bound on the tail of response times of a lasting part; 0 for none.
	Latency time.Duration `cbor:",omitempty"`
	// Fills tells that the parts use processor time that others leave and are not counted against it.
	Fills bool `cbor:",omitempty"`
	// MayMiss is how many parts of a lasting step may be away at once by decisions of the scheduler.
	MayMiss int `cbor:",omitempty"`
}

// Demand returns what a part counts against its worker's capacity.
func (s *Step) Demand() Resources {
	need := s.Need
	if s.Fills {
		need.CPU = 0
	}
	return need
}

// Repeat makes the steps of a job run several times.
type Repeat struct {
	// Count is the number of occurrences; 0 means one, which is due at once.
	Count int `cbor:",omitempty"`
	// StartMs is the Unix time in milliseconds at which occurrence 0 is due.
	StartMs int64 `cbor:",omitempty"`
	// Interval lies between the due times of occurrences.
	Interval time.Duration `cbor:",omitempty"`
}

// Occurrences returns how often the steps run.
func (r Repeat) Occurrences() int {
	return max(r.Count, 1)
}

// DueMs returns the Unix time in milliseconds at which an occurrence is due; 0 means at once.
func (r Repeat) DueMs(occurrence int) int64 {
	if r.Count == 0 {
		return 0
	}
	return r.StartMs + int64(occurrence)*r.Interval.Milliseconds()
}

// QueueSettings are the settings of the queue through which a job came.
type QueueSettings struct {
	Service  Service
	Priority Priority
	// Failures is how many failed attempts of a part, or of a gang, make its job fail.
	Failures int
	// Stretch is how many times the length of its work a job may take.
	Stretch float64
	// Target is added to the stretched length to give the latency objective.
	Target time.Duration
}

// Job is a submitted job.
type Job struct {
	ID      ident.Job
	Account ident.Account
	Queue   QueueName
	// Terms are those at acceptance; the ones in force go before them while the queue exists.
	Terms QueueSettings
	// Payload is passed to each part as it is.
	Payload string `cbor:",omitempty"`
	Steps   []Step
	Repeat  Repeat
	// AcceptedMs is the Unix time in milliseconds of the acceptance, by the accepting instance's clock.
	AcceptedMs int64
	// Cancelled tells that nothing of the job is to run any more.
	Cancelled bool `cbor:",omitempty"`
}

// Part names one part of a job.
type Part struct {
	Job        ident.Job
	Occurrence int
	Step       int
	Index      int
}

// partSeparator lies between the fields of a part's text.
const partSeparator = "."

// String formats p as job.occurrence.step.index.
func (p Part) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", p.Job, p.Occurrence, p.Step, p.Index)
}

// MarshalText formats p as String does.
func (p Part) MarshalText() ([]byte, error) {
	return []byte(p.String()), nil
}

// ParsePart reads the text that Part.String makes.
func ParsePart(text string) (Part, error) {
	fields := strings.Split(text, partSeparator)
	if len(fields) != 4 {
		return Part{}, fault.New(fault.Invalid, "read part name", "", "%q has not four fields", text)
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(fields[i+1])
		if err != nil {
			return Part{}, fault.Wrap(err, fault.Invalid, "read part name", "")
		}
		numbers[i] = n
	}
	return Part{Job: ident.Job(fields[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// Attempt names one run of a part.
type Attempt struct {
	Part Part
	// Number counts the part's runs, from 1. The parts of a gang share it.
	Number ident.Attempt
}

// Checkpoint is saved progress from which a part can go on; empty for none.
type Checkpoint string
