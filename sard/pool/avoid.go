package pool

import "github.com/sardineline/sardineline/sard/work"

// AvoidWorker makes the group of an attempt prefer other workers than that of the attempt from now on, which did not execute
// an order.
func (e *Engine) AvoidWorker(a work.Attempt) {
	if p := e.currentPart(a); p != nil {
		p.group.avoidWorker(p.node.WorkerProcess.Worker)
	}
}
