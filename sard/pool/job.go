package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// job is the engine's record of a job.
type job struct {
	*work.Job
	terms work.QueueSettings
	state ident.JobState
	// acceptedAt is when the job was accepted, as far as that is known.
	acceptedAt time.Time
	// occurrences are those that were ever due, by their numbers.
	occurrences []*occurrence
	// begun tells that a part was placed.
	begun bool
	// covered tells that the account's guarantee covers the job.
	covered bool
	// dirty tells that the recorded progress is out of date.
	dirty bool
}

// occurrence is one run of a job's steps.
type occurrence struct {
	number int
	dueAt  time.Time
	steps  []stage
}

// stage is the state of a step in one occurrence.
type stage struct {
	groups []*group
	// open counts the groups that are not done.
	open int
}

func newOccurrence(j *job, number int, due time.Time) *occurrence {
	o := &occurrence{number: number, dueAt: due, steps: make([]stage, len(j.Steps))}
	for s := range j.Steps {
		o.steps[s] = newStage(j, number, s)
	}
	return o
}

func newStage(j *job, occurrence, step int) stage {
	spec := &j.Steps[step]
	size := 1
	if spec.Gang {
		size = spec.Parts
	}
	var st stage
	for first := 0; first < spec.Parts; first += size {
		g := &group{job: j, occurrence: occurrence, step: step, first: first, parts: make([]part, size)}
		for i := range g.parts {
			g.parts[i] = part{group: g, index: first + i}
		}
		st.groups = append(st.groups, g)
	}
	st.open = len(st.groups)
	return st
}

// ready tells whether a step's turn has come.
func (o *occurrence) ready(j *job, step int) bool {
	for _, before := range j.Steps[step].After {
		if o.steps[before].open > 0 {
			return false
		}
	}
	return true
}

// complete tells whether all parts of the occurrence are done.
func (o *occurrence) complete() bool {
	for s := range o.steps {
		if o.steps[s].open > 0 {
			return false
		}
	}
	return true
}

// complete tells whether all parts of all occurrences are done.
func (j *job) complete() bool {
	if len(j.occurrences) < j.Repeat.Occurrences() {
		return false
	}
	for _, o := range j.occurrences {
		if !o.complete() {
			return false
		}
	}
	return true
}

// groups calls visit for each group that exists.
func (j *job) groups(visit func(*group)) {
	for _, o := range j.occurrences {
		for s := range o.steps {
			for _, g := range o.steps[s].groups {
				visit(g)
			}
		}
	}
}

// attached counts the parts of the job that may run somewhere.
func (j *job) attached() int {
	count := 0
	j.groups(func(g *group) { count += g.attached() })
	return count
}

// find returns a part, or nil.
func (j *job) find(p work.Part) *part {
	if p.Occurrence < 0 || p.Occurrence >= len(j.occurrences) || p.Step < 0 || p.Step >= len(j.Steps) {
		return nil
	}
	return j.occurrences[p.Occurrence].steps[p.Step].find(p.Index)
}

func (s *stage) find(index int) *part {
	for _, g := range s.groups {
		if i := index - g.first; i >= 0 && i < len(g.parts) {
			return &g.parts[i]
		}
	}
	return nil
}

// accelerators returns what the widest moment of the job may need at once, counting steps that may overlap.
func (j *job) accelerators() ident.Accelerators {
	var sum ident.Accelerators
	for i := range j.Steps {
		sum += j.Steps[i].Need.Accelerators * ident.Accelerators(j.Steps[i].Parts)
	}
	return sum
}

// chain returns the longest chain of step estimates.
func (j *job) chain() time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		start := time.Duration(0)
		for _, before := range j.Steps[i].After {
			start = max(start, ends[before])
		}
		ends[i] = start + j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// objective returns how long an occurrence of the job may take.
func (j *job) objective() time.Duration {
	return time.Duration(float64(j.chain())*j.terms.Stretch) + j.terms.Target
}
