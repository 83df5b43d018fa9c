package pool

import (
	"fmt"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// downtime is how long a worker can't be reached after a crash, unless its next process runs at once.
const downtime = 3 * time.Second

// bar lets a worker get nothing new until unbar is called as often.
func (f *faultyWorld) bar(id ident.Worker) {
	f.bars[id]++
	f.engine.nodesByID[id].Accepting = false
}

// unbar ends what bar began.
func (f *faultyWorld) unbar(id ident.Worker) {
	f.bars[id]--
	if f.bars[id] == 0 {
		f.engine.nodesByID[id].Accepting = true
	}
}

// disturbWorkers lets trouble come to workers at times.
func (f *faultyWorld) disturbWorkers() {
	if f.oneIn(150) {
		f.failSome()
	}
	if f.troubles == nil || f.troubles.IntN(20) > 0 {
		return
	}
	n := f.engine.nodes[f.troubles.IntN(len(f.engine.nodes))]
	if f.away[n.WorkerProcess.Worker] || f.gone[n.WorkerProcess] {
		return
	}
	switch f.troubles.IntN(6) {
	case 0:
		f.resize(n)
	case 1:
		f.leave(n)
	case 2:
		f.evacuate(n.Rack)
	case 3:
		f.crash(n.WorkerProcess)
	case 4:
		f.cutOff(n.WorkerProcess.Worker)
	default:
		f.refuseFor(n.WorkerProcess.Worker)
	}
}

// failSome lets a share of the workers fail for a while.
func (f *faultyWorld) failSome() {
	share := 1 + f.rng.IntN(8)
	for _, n := range f.engine.nodes {
		if id := n.WorkerProcess.Worker; f.rng.IntN(10) < share {
			f.failing[id] = true
			f.later(f.between(1000, 8000), func() { delete(f.failing, id) })
		}
	}
}

// resize lets a worker shrink for a while.
func (f *faultyWorld) resize(n *node) {
	id, share := n.WorkerProcess.Worker, int64(f.troubles.IntN(4))
	set := func(c work.Resources) {
		w := f.engine.nodesByID[id].Worker
		w.Capacity = c
		f.engine.SetWorker(w)
		f.resized[id], f.resizedAt[id] = true, f.now
	}
	set(work.Resources{
		CPU: workerCapacity.CPU * work.MilliCores(share) / 4, Memory: workerCapacity.Memory * work.MiB(share) / 4,
		Accelerators: workerCapacity.Accelerators * ident.Accelerators(share) / 4,
	})
	f.later(f.between(1000, 15000), func() { set(workerCapacity) })
}

// leave lets a worker leave after a notice, and another one join.
func (f *faultyWorld) leave(n *node) {
	id, process, notice := n.WorkerProcess.Worker, n.WorkerProcess, f.between(500, 5000)
	n.AvailableUntil = f.now.Add(notice)
	f.bar(id)
	f.later(notice, func() { f.remove(process) })
	f.join()
}

// remove ends a worker process for good. The worker is not listed any more.
func (f *faultyWorld) remove(process work.WorkerProcess) {
	if f.engine.nodesByID[process.Worker].WorkerProcess != process {
		process = f.engine.nodesByID[process.Worker].WorkerProcess
	}
	f.endRunsOf(process)
	f.gone[process] = true
	f.engine.ProcessLost(process, f.now)
}

// evacuate lets a rack get nothing new for a while.
func (f *faultyWorld) evacuate(rack ident.Rack) {
	for _, n := range f.engine.nodes {
		if id := n.WorkerProcess.Worker; n.Rack == rack {
			f.bar(id)
			f.later(f.between(2000, 10000), func() { f.unbar(id) })
		}
	}
}

// refuseFor lets a worker refuse all starts for a while.
func (f *faultyWorld) refuseFor(id ident.Worker) {
	f.refusing[id], f.failing[id] = true, true
	f.later(f.between(2000, 15000), func() {
		delete(f.refusing, id)
		delete(f.failing, id)
	})
}

// cutOff lets a worker be out of reach for a while. What runs there runs on, unless its lease expires.
func (f *faultyWorld) cutOff(id ident.Worker) {
	process, length := f.engine.nodesByID[id].WorkerProcess, f.between(500, 9000)
	f.away[id] = true
	f.bar(id)
	f.later(min(length, silence), func() {
		if length > silence && f.engine.nodesByID[id].WorkerProcess == process {
			f.endRunsOf(process)
			f.engine.ProcessLost(process, f.now)
		}
	})
	f.later(length, func() {
		delete(f.away, id)
		f.unbar(id)
		if f.uncontacted[id] {
			f.contact(id)
		}
	})
}

// crashBy crashes a worker by an attempt that still runs there, once the worker can be reached.
func (f *faultyWorld) crashBy(s Start) {
	if f.runs[s.Attempt] == nil {
		return
	}
	if f.away[s.Worker.Worker] {
		f.later(worldStep, func() { f.crashBy(s) })
		return
	}
	f.culprits[s.Attempt.Part.Job] = true
	if f.engine.nodesByID[s.Worker.Worker].AvailableUntil.IsZero() {
		// The end of a worker that leaves counts as no crash.
		f.crashes[s.Attempt.Part]++
	}
	f.note(s.Attempt, "crashes "+string(s.Worker.Worker))
	f.crash(s.Worker)
}

// crash ends a worker process at once. Another one runs in its place at once or after the downtime.
func (f *faultyWorld) crash(process work.WorkerProcess) {
	id := process.Worker
	f.endRunsOf(process)
	f.away[id] = true
	f.bar(id)
	after := time.Duration(0)
	if f.oneIn(2) {
		after = downtime
	}
	f.later(after, func() {
		delete(f.away, id)
		delete(f.uncontacted, id)
		f.unbar(id)
		f.replace(process)
	})
}

// replace lets another process run in place of one that has crashed, and counts the crash as the scheduler would.
func (f *faultyWorld) replace(process work.WorkerProcess) {
	n := f.engine.nodesByID[process.Worker]
	if n.WorkerProcess != process || f.gone[process] {
		return
	}
	for _, p := range n.sortedParts() {
		a := p.attemptID()
		switch recorded := f.engine.RecordedProcess(a); {
		case p.survived || f.ordered[a]:
		case recorded.StartedMs != 0 || f.oneIn(4):
			f.countCrash(a, process, PossibleCrash)
		default:
			f.countCrash(a, process, LikelyCrash)
		}
	}
	next := process
	next.StartedMs++
	f.engine.WorkerRestarted(next, func(work.Attempt) bool { return false }, f.now)
}

// countCrash counts the crash of a worker process against the part of an attempt there.
func (f *faultyWorld) countCrash(a work.Attempt, process work.WorkerProcess, evidence CrashEvidence) {
	count := f.engine.CountCrash(a, process, evidence, f.now)
	f.note(a, fmt.Sprintf("%v of %s is counted, %d with %d possible", evidence, process.Worker, count.Crashes, count.Possible))
}
