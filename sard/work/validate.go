package work

import "github.com/sardineline/sardineline/sard/fault"

// maxParts is the maximum number of parts of a step.
const maxParts = 1 << 20

// Validate returns an error if the job cannot be scheduled because its record is malformed.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 {
		return j.malformed("no steps")
	}
	for i := range j.Steps {
		if err := j.validateStep(i); err != nil {
			return err
		}
	}
	return nil
}

// validateStep returns an error if a step of the job is malformed.
func (j *Job) validateStep(index int) error {
	step := &j.Steps[index]
	need := step.Need
	switch {
	case step.Parts < 1 || step.Parts > maxParts:
		return j.malformed("step %d has %d parts", index, step.Parts)
	case need.CPU < 0 || need.Memory < 0 || need.Accelerators < 0:
		return j.malformed("step %d needs %v", index, need)
	}
	for _, required := range step.After {
		if required < 0 || required >= index {
			return j.malformed("step %d follows step %d", index, required)
		}
	}
	return nil
}

// ValidateProgress returns an error if the recorded progress of the job is malformed.
func (j *Job) ValidateProgress(p *Progress) error {
	if p.CompleteBelow < 0 {
		return j.malformed("occurrences below %d are complete", p.CompleteBelow)
	}
	for _, occurrence := range p.Complete {
		if occurrence < 0 {
			return j.malformed("occurrence %d is complete", occurrence)
		}
	}
	for _, g := range p.Groups {
		if err := j.validateGroup(p, g); err != nil {
			return err
		}
	}
	for _, group := range p.Failing {
		if group < 0 || group >= len(p.Groups) {
			return j.malformed("group %d is failing", group)
		}
	}
	for _, crashes := range p.CrashCounts {
		if err := j.validateCrashes(p, crashes); err != nil {
			return err
		}
	}
	return nil
}

// validateCrashes returns an error if the recorded crashes of a part are malformed.
func (j *Job) validateCrashes(p *Progress, crashes PartCrashes) error {
	if crashes.Group < 0 || crashes.Group >= len(p.Groups) {
		return j.malformed("group %d has crashed", crashes.Group)
	}
	if crashes.Process < 0 || crashes.Process >= len(p.Lives) {
		return j.malformed("crash of worker process %d of %d", crashes.Process, len(p.Lives))
	}
	for _, host := range crashes.Hosts {
		if host < 0 || host >= len(p.Hosts) {
			return j.malformed("crash on host %d of %d", host, len(p.Hosts))
		}
	}
	return nil
}

// validateGroup returns an error if the recorded progress of a group is malformed.
func (j *Job) validateGroup(p *Progress, g Group) error {
	if g.Occurrence < 0 || g.Step < 0 || g.Step >= len(j.Steps) {
		return j.malformed("group of occurrence %d, step %d", g.Occurrence, g.Step)
	}
	step := &j.Steps[g.Step]
	size := 1
	if step.Gang {
		size = step.Parts
	}
	if g.First < 0 || g.First >= step.Parts || len(g.Workers) > size {
		return j.malformed("group of part %d on %d workers", g.First, len(g.Workers))
	}
	for _, process := range g.Workers {
		if process != NoWorkerIndex && (process < 0 || process >= len(p.Lives)) {
			return j.malformed("group on worker process %d of %d", process, len(p.Lives))
		}
	}
	return nil
}

// malformed returns the error for a malformed record of the job.
func (j *Job) malformed(format string, args ...any) error {
	return fault.New(fault.Invalid, "read record of job", string(j.ID), format, args...)
}
