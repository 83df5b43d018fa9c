package entry

import (
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// Caller is who asks for the state of a job or cancels it.
type Caller struct {
	// Account is the account of the caller's key; empty without a key.
	Account ident.Account
	// Queue is the queue that the call came by.
	Queue work.QueueName
	// Public reports whether a queue admits everyone; nil means that none does.
	Public func(work.QueueName) bool
}

// mayAccess reports whether the caller may see and cancel the jobs that an account has submitted to a queue. It depends on the
// queue of the job, whatever queue the call came by. Only jobs of no account, whose queue was public, go by the call's.
func (c Caller) mayAccess(owner ident.Account, queue work.QueueName) bool {
	switch {
	case c.Public != nil && c.Public(queue):
		return true
	case owner == "":
		return c.Queue == queue
	default:
		return c.Account == owner
	}
}

// checkAccess returns the error for an unknown job if the caller may not access the owner's jobs of a queue, so that it does not
// learn of them.
func (c Caller) checkAccess(id ident.Job, owner ident.Account, queue work.QueueName) error {
	if c.mayAccess(owner, queue) {
		return nil
	}
	return errUnknownJob(id)
}

// errUnknownJob returns the error for a job that does not exist, as far as the caller may know.
func errUnknownJob(id ident.Job) error {
	return fault.New(fault.NotFound, "read state", "", "no job %s", id)
}
