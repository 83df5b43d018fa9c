package pool

import (
	"slices"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// appendCrashes adds the counted crashes of the group's parts to the record p, in which the group has the given index.
func (g *group) appendCrashes(p *work.Progress, index int, processes map[work.WorkerProcess]int) {
	if g.phase == done {
		return
	}
	for i := range g.parts {
		part := &g.parts[i]
		if part.crashes.count() > 0 {
			recorded := part.crashes.record(p, processes)
			recorded.Group, recorded.Part = index, part.index
			p.CrashCounts = append(p.CrashCounts, recorded)
		}
	}
}

// record returns the tally as it is stored, adding its last process and its hosts to p.
func (t *crashTally) record(p *work.Progress, processes map[work.WorkerProcess]int) work.PartCrashes {
	recorded := work.PartCrashes{
		Likely: t.likely, Attempt: t.last.Attempt, Process: processIndex(p, processes, t.last.Process),
	}
	for _, host := range t.possibleHosts {
		recorded.Hosts = append(recorded.Hosts, hostIndex(p, host))
	}
	return recorded
}

// hostIndex returns the index of a host in p.Hosts, to which it adds the host if needed.
func hostIndex(p *work.Progress, host ident.Host) int {
	index := slices.Index(p.Hosts, host)
	if index < 0 {
		index = len(p.Hosts)
		p.Hosts = append(p.Hosts, host)
	}
	return index
}

// restoreCrashes loads the recorded crashes of a job's parts.
func (e *Engine) restoreCrashes(j *job, p *work.Progress) {
	for _, recorded := range p.CrashCounts {
		group := p.Groups[recorded.Group]
		found := j.findPart(work.Part{Occurrence: group.Occurrence, Step: group.Step, Index: recorded.Part})
		if found == nil || found.group.phase == done {
			continue
		}
		found.crashes = crashTally{
			likely: recorded.Likely, last: work.Crash{Attempt: recorded.Attempt, Process: p.Lives[recorded.Process]},
		}
		for _, host := range recorded.Hosts {
			found.crashes.possibleHosts = append(found.crashes.possibleHosts, p.Hosts[host])
			found.group.avoidHost(p.Hosts[host])
		}
		if found.group.suspected() {
			e.suspects[found.group] = true
		}
	}
}
