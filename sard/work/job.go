// Package work defines the types of the pool scheduler: jobs with their steps and parts, and their records in the
// store.
//
// A job consists of steps, and a step of identical parts. All steps run once in each occurrence of the job; only a
// repeating job has several occurrences. A gang is all parts of a step that must run together. Each run of a part is an
// attempt. The lease holder is the instance that currently runs the scheduler.
package work

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// QueueName is the name of a queue in the operator's configuration. Each job is submitted to a queue.
type QueueName string

// Service is the name of a pool of workers. The jobs of a queue run on the workers of one pool.
type Service string

// MilliCores is an amount of processor capacity in thousandths of a core.
type MilliCores int64

// MiB is an amount of memory in mebibytes.
type MiB int64

// Priority is the priority of a queue. 0 is the highest; its jobs may have those of the other priorities stopped.
type Priority int

// Guaranteed is the highest priority, for the jobs that use the accelerators guaranteed to their account.
const Guaranteed Priority = 0

// Resources holds amounts of processor capacity, memory and accelerators.
type Resources struct {
	CPU          MilliCores         `cbor:",omitempty"`
	Memory       MiB                `cbor:",omitempty"`
	Accelerators ident.Accelerators `cbor:",omitempty"`
}

// Plus returns the sum of a and b for each resource.
func (a Resources) Plus(b Resources) Resources {
	return Resources{CPU: a.CPU + b.CPU, Memory: a.Memory + b.Memory, Accelerators: a.Accelerators + b.Accelerators}
}

// Minus returns the difference of a and b for each resource, which may be negative.
func (a Resources) Minus(b Resources) Resources {
	return Resources{CPU: a.CPU - b.CPU, Memory: a.Memory - b.Memory, Accelerators: a.Accelerators - b.Accelerators}
}

// Fits reports whether b has at least as much of every resource as a.
func (a Resources) Fits(b Resources) bool {
	return a.CPU <= b.CPU && a.Memory <= b.Memory && a.Accelerators <= b.Accelerators
}

// Step is a stage of a job: a set of identical parts that may run concurrently.
type Step struct {
	// Parts is the number of parts, at least 1.
	Parts int
	// Need is the resources that each part needs on its worker.
	Need Resources
	// Estimate is the submitter's estimate of a part's run time.
	Estimate time.Duration `cbor:",omitempty"`
	// After lists the indexes of earlier steps whose parts must all be done before this step starts.
	After []int `cbor:",omitempty"`
	// Checkpoints is set if parts save their progress.
	Checkpoints bool `cbor:",omitempty"`
	// Gang is set if the parts can only run together and end together.
	Gang bool `cbor:",omitempty"`
	// SameRack is set if the parts run much slower when they are spread over several racks.
	SameRack bool `cbor:",omitempty"`
	// Label is a label that the worker must have; empty for none.
	Label string `cbor:",omitempty"`
	// DataRack is the rack close to the data. Parts run much slower on other racks. Empty for none.
	DataRack ident.Rack `cbor:",omitempty"`
	// MaxPerWorker limits the parts of one occurrence on one worker; 0 means no limit.
	MaxPerWorker int `cbor:",omitempty"`
	// Speculative is set if several copies of a part may run at once.
	Speculative bool `cbor:",omitempty"`
	// Lasting is set if the parts run until the job is cancelled and are restarted whenever they end.
	Lasting bool `cbor:",omitempty"`
	// Image names the program that the parts run. Parts with the same image behave alike.
	Image string `cbor:",omitempty"`
	// Latency is the limit on the tail latency of responses of a lasting part; 0 for none.
	Latency time.Duration `cbor:",omitempty"`
	// Fills is set if the parts use only processor time that others leave unused. Their processor use does not count
	// against the worker's capacity.
	Fills bool `cbor:",omitempty"`
	// MayMiss is how many parts of a lasting step may be down at once because of scheduling decisions.
	MayMiss int `cbor:",omitempty"`
}

// Demand returns the resources that each part of the step takes from its worker's capacity.
func (s *Step) Demand() Resources {
	need := s.Need
	if s.Fills {
		need.CPU = 0
	}
	return need
}

// Repeat describes how often and when the steps of a job run.
type Repeat struct {
	// Count is the number of occurrences. 0 means a single one that is due at once.
	Count int `cbor:",omitempty"`
	// StartMs is the Unix time in milliseconds at which occurrence 0 is due.
	StartMs int64 `cbor:",omitempty"`
	// Interval is the time between the due times of consecutive occurrences.
	Interval time.Duration `cbor:",omitempty"`
}

// Occurrences returns how many times the steps of the job run.
func (r Repeat) Occurrences() int {
	return max(r.Count, 1)
}

// DueMs returns the Unix time in milliseconds at which an occurrence is due. 0 means at once.
func (r Repeat) DueMs(occurrence int) int64 {
	if r.Count == 0 {
		return 0
	}
	return r.StartMs + int64(occurrence)*r.Interval.Milliseconds()
}

// QueueSettings holds the settings of a queue that determine how its jobs are scheduled.
type QueueSettings struct {
	Service  Service
	Priority Priority
	// Failures is the number of failed attempts of a part or gang at which its job fails.
	Failures int
	// Stretch is the factor by which a job's estimated run time is multiplied in its latency objective, the time in
	// which the job should complete.
	Stretch float64
	// Target is the constant term of a job's latency objective: the job should complete within its estimated run time
	// multiplied by Stretch, plus Target.
	Target time.Duration
}

// Job is a job that a client account has submitted.
type Job struct {
	ID      ident.Job
	Account ident.Account
	Queue   QueueName
	// Terms holds the queue settings at the time of acceptance. They apply only if the queue does not exist any more;
	// otherwise the queue's current settings do.
	Terms QueueSettings
	// Payload is passed to each part unchanged.
	Payload string `cbor:",omitempty"`
	Steps   []Step
	Repeat  Repeat
	// AcceptedMs is the Unix time in milliseconds of the acceptance, by the accepting instance's clock.
	AcceptedMs int64
	// Cancelled is set if no part of the job is to run any more.
	Cancelled bool `cbor:",omitempty"`
}

// CriticalPath returns the estimated run time of one occurrence with unlimited resources: the sum of the step estimates
// along the longest chain of dependent steps.
func (j *Job) CriticalPath() time.Duration {
	return j.LongestChain(func(step int) time.Duration { return j.Steps[step].Estimate })
}

// LongestChain returns the longest sum of step lengths along a chain of dependent steps.
func (j *Job) LongestChain(stepLength func(step int) time.Duration) time.Duration {
	length := time.Duration(0)
	ends := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		start := time.Duration(0)
		for _, before := range j.Steps[i].After {
			start = max(start, ends[before])
		}
		ends[i] = start + stepLength(i)
		length = max(length, ends[i])
	}
	return length
}

// Part identifies a part of a job by its occurrence, its step and its index in that step, which all count from 0.
type Part struct {
	Job        ident.Job
	Occurrence int
	Step       int
	Index      int
}

// partSeparator separates the fields of a part's text form.
const partSeparator = "."

// String formats p as job.occurrence.step.index.
func (p Part) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", p.Job, p.Occurrence, p.Step, p.Index)
}

// MarshalText formats p as String does.
func (p Part) MarshalText() ([]byte, error) {
	return []byte(p.String()), nil
}

// UnmarshalText parses the text form that MarshalText returns.
func (p *Part) UnmarshalText(text []byte) error {
	part, err := ParsePart(string(text))
	if err == nil {
		*p = part
	}
	return err
}

// ParsePart parses the text form that Part.String returns.
func ParsePart(text string) (Part, error) {
	fields := strings.Split(text, partSeparator)
	if len(fields) != 4 {
		return Part{}, fault.New(fault.Invalid, "read part name", "", "%q does not have four fields", text)
	}
	var indexes [3]int
	for i := range indexes {
		n, err := strconv.Atoi(fields[i+1])
		if err != nil {
			return Part{}, fault.Wrap(err, fault.Invalid, "read part name", "")
		}
		indexes[i] = n
	}
	return Part{Job: ident.Job(fields[0]), Occurrence: indexes[0], Step: indexes[1], Index: indexes[2]}, nil
}

// Attempt identifies one run of a part of a job.
type Attempt struct {
	Part Part
	// Number counts the runs of the part, starting at 1. The parts of a gang share it.
	Number ident.Attempt
}

// Checkpoint identifies saved progress from which a part can resume; empty for none.
type Checkpoint string
