package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// job is a submitted job with its scheduling state.
type job struct {
	*work.Job
	settings work.QueueSettings
	state    ident.JobState
	// acceptedAt is when the job was accepted, computed from its recorded age, which is limited to maxRecordedAge.
	acceptedAt time.Time
	// occurrences holds the occurrences that have become due, in the order of their numbers, without the first completeBelow
	// ones, which are complete.
	occurrences   []*occurrence
	completeBelow int
	// begun is set once any part is known to have run.
	begun bool
	// withinGuarantee is set if the account's guarantee covers the job.
	withinGuarantee bool
	// lengths holds how long each step takes by the forecasts as of lengthsAt; nil if the estimates are used.
	lengths   []time.Duration
	lengthsAt time.Time
	// runningCores is the work of the job that runs, in coreEquivalents, as of the latest accountUse.
	runningCores int64
	// leavesHeadroom caches whether the job leaves the headroom free, as of the round with the number leavesHeadroomIn.
	leavesHeadroom   bool
	leavesHeadroomIn roundNumber
	// dirty is set while the stored record is out of date.
	dirty bool
	// setAside is set while the record is not written, as the store refuses it.
	setAside bool
}

// occurrence is the state of one run of all steps of a job.
type occurrence struct {
	number int
	dueAt  time.Time
	steps  []stepState
}

// stepState is the scheduling state of one step within one occurrence of a job.
type stepState struct {
	groups []*group
	// unfinished is the number of groups of the step that are not done.
	unfinished int
	// forecastChecked is set once the step's forecast run time was compared with the paces of its parts.
	forecastChecked bool
	// siblings caches the usual rate of the step's groups.
	siblings siblingRate
	// learned is set once the run times of the step's groups have been recorded.
	learned bool
	// forecast caches the forecast run time of the step's groups.
	forecast stepForecast
}

// newOccurrence returns an occurrence of which no group has been placed.
func newOccurrence(j *job, number int, due time.Time) *occurrence {
	o := &occurrence{number: number, dueAt: due, steps: make([]stepState, len(j.Steps))}
	for s := range j.Steps {
		o.steps[s] = newStepState(j, o, s)
	}
	return o
}

// newStepState returns the state of a step of which no group has been placed. A gang forms one group; otherwise each
// part is a group of its own.
func newStepState(j *job, o *occurrence, step int) stepState {
	spec := &j.Steps[step]
	size := 1
	if spec.Gang {
		size = spec.Parts
	}
	var state stepState
	for first := 0; first < spec.Parts; first += size {
		g := &group{job: j, occurrence: o, step: step, first: first, parts: make([]part, size)}
		for i := range g.parts {
			g.parts[i] = part{group: g, index: first + i}
		}
		state.groups = append(state.groups, g)
	}
	state.unfinished = len(state.groups)
	return state
}

// stepReady reports whether all steps that the given step depends on are done.
func (o *occurrence) stepReady(j *job, step int) bool {
	for _, before := range j.Steps[step].After {
		if o.steps[before].unfinished > 0 {
			return false
		}
	}
	return true
}

// complete reports whether all parts of the occurrence are done.
func (o *occurrence) complete() bool {
	for s := range o.steps {
		if o.steps[s].unfinished > 0 {
			return false
		}
	}
	return true
}

// complete reports whether all parts of all occurrences are done.
func (j *job) complete() bool {
	if j.createdOccurrences() < j.Repeat.Occurrences() {
		return false
	}
	for _, o := range j.occurrences {
		if !o.complete() {
			return false
		}
	}
	return true
}

// currentOccurrence returns the oldest incomplete occurrence, or the last one if all are complete. There must be one.
func (j *job) currentOccurrence() *occurrence {
	for _, o := range j.occurrences {
		if !o.complete() {
			return o
		}
	}
	return j.occurrences[len(j.occurrences)-1]
}

// forEachGroup calls visit for every group in the occurrences that have been created so far.
func (j *job) forEachGroup(visit func(*group)) {
	for _, o := range j.occurrences {
		for s := range o.steps {
			for _, g := range o.steps[s].groups {
				visit(g)
			}
		}
	}
}

// attachedParts returns the number of parts of the job that may be running.
func (j *job) attachedParts() int {
	count := 0
	j.forEachGroup(func(g *group) { count += g.attachedParts() })
	return count
}

// findPart returns the job's part with the given occurrence, step and index, or nil if there is none.
func (j *job) findPart(p work.Part) *part {
	index := p.Occurrence - j.completeBelow
	if index < 0 || index >= len(j.occurrences) || p.Step < 0 || p.Step >= len(j.Steps) {
		return nil
	}
	return j.occurrences[index].steps[p.Step].findPart(p.Index)
}

// findPart returns the step's part with the given index, or nil if there is none. All groups of a step have the same
// number of parts.
func (s *stepState) findPart(index int) *part {
	if index < 0 || len(s.groups) == 0 {
		return nil
	}
	size := len(s.groups[0].parts)
	if index/size >= len(s.groups) {
		return nil
	}
	return &s.groups[index/size].parts[index%size]
}

// acceleratorDemand returns an upper bound of the accelerators that an occurrence uses at once: the sum over all steps,
// which may overlap.
func (j *job) acceleratorDemand() ident.Accelerators {
	var sum ident.Accelerators
	for i := range j.Steps {
		sum += j.Steps[i].Need.Accelerators * ident.Accelerators(j.Steps[i].Parts)
	}
	return sum
}

// expectedPath returns the expected run time of one occurrence with unlimited resources: the sum of the step lengths along
// the longest chain of dependent steps. Unlike CriticalPath, it uses forecasts if there are any.
func (j *job) expectedPath() time.Duration {
	return j.LongestChain(j.stepLength)
}

// stepLength returns how long each group of a step is expected to run.
func (j *job) stepLength(step int) time.Duration {
	if j.lengths != nil {
		return j.lengths[step]
	}
	return j.Steps[step].Estimate
}

// remainingPath returns the part of the critical path of the current occurrence that is not done. Without forecasts it is
// the whole path.
func (j *job) remainingPath() time.Duration {
	if j.lengths == nil {
		return j.expectedPath()
	}
	o := j.currentOccurrence()
	return j.LongestChain(func(step int) time.Duration {
		if o.steps[step].unfinished == 0 {
			return 0
		}
		return j.lengths[step]
	})
}

// objective returns the time in which an occurrence of the job should complete, counted from its due time.
func (j *job) objective() time.Duration {
	return time.Duration(float64(j.expectedPath())*j.settings.Stretch) + j.settings.Target
}
