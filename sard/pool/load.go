package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/admit"
	"github.com/sardineline/sardineline/sard/work"
)

// Load returns how much work the pool still has to do, by service.
func (e *Engine) Load(now time.Time) admit.Summary {
	loads := map[work.Service]*serviceLoad{}
	var services []work.Service
	for _, n := range e.nodes {
		l := loads[n.Service]
		if l == nil {
			l = &serviceLoad{ServiceLoad: admit.ServiceLoad{Service: n.Service}}
			loads[n.Service] = l
			services = append(services, n.Service)
		}
		l.addWorker(n)
	}
	for _, j := range e.jobs {
		if l := loads[j.settings.Service]; l != nil && !j.state.Terminal() {
			e.addJobLoad(l, j, now)
		}
	}
	var s admit.Summary
	for _, service := range services {
		s.Services = append(s.Services, loads[service].finish())
	}
	return s
}

// serviceLoad is a ServiceLoad that is being summed up.
type serviceLoad struct {
	admit.ServiceLoad
	// waitingGroups is the number of groups that wait, and runTimes the sum of their forecast run times.
	waitingGroups int
	runTimes      time.Duration
	// lasting is what groups that last hold, or will hold, in a second.
	lasting admit.Amount
}

// addWorker adds the capacity of a worker that accepts work.
func (l *serviceLoad) addWorker(n *node) {
	if !n.Accepting {
		return
	}
	l.Capacity = l.Capacity.Plus(n.Capacity)
	l.Largest = work.Resources{
		CPU: max(l.Largest.CPU, n.Capacity.CPU), Memory: max(l.Largest.Memory, n.Capacity.Memory),
		Accelerators: max(l.Largest.Accelerators, n.Capacity.Accelerators),
	}
}

// finish returns the sums.
func (l *serviceLoad) finish() admit.ServiceLoad {
	if l.waitingGroups > 0 {
		l.TypicalRun = max(0, l.runTimes/time.Duration(l.waitingGroups))
	}
	l.Capacity = work.Resources{
		CPU: lessen(l.Capacity.CPU, l.lasting.CPU), Memory: lessen(l.Capacity.Memory, l.lasting.Memory),
		Accelerators: lessen(l.Capacity.Accelerators, l.lasting.Accelerators),
	}
	return l.ServiceLoad
}

// lessen returns what is left of a capacity, at least nothing.
func lessen[T ~int | ~int64](capacity T, held float32) T {
	return T(max(0, float64(capacity)-float64(held)))
}

// addJobLoad adds the work of a job's groups that run or wait. Lasting groups hold their room for good, so that they lessen
// the capacity.
func (e *Engine) addJobLoad(l *serviceLoad, j *job, now time.Time) {
	slack := j.urgency(now).slack
	j.forEachGroup(func(g *group) {
		held := func(d time.Duration) admit.Amount { return admit.NewAmount(g.demand(), d).Times(len(g.parts)) }
		switch {
		case g.phase == done:
		case g.spec().Lasting:
			l.lasting = l.lasting.Plus(held(time.Second))
		case g.phase == placed:
			l.Running = l.Running.Plus(held(g.remainingTime(e.forecast(g).Typical, now)))
		default:
			run := g.restartTime(e.forecast(g).Typical)
			l.waitingGroups++
			l.runTimes += run
			l.Add(j.Account, j.settings.Priority, slack, len(g.parts), held(run))
		}
	})
}
