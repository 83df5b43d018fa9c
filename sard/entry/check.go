package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// reopenTime is how long a call of unknown outcome waits for a closed partition to serve again. After that, its caller
	// is told, and has time left for another instance.
	reopenTime = 400 * time.Millisecond
	// maxUnsettled and unsettledTime limit how many submissions of unknown outcome are remembered, and for how long.
	maxUnsettled  = 1000
	unsettledTime = 30 * time.Second
)

// StoreCheck says whether a partition of the store can be reached.
type StoreCheck interface {
	// Admit returns nil if a call to the partition may be answered, as far as is known, and else an error of kind
	// Unavailable.
	Admit(partition string) error
	// AdmitCreation is Admit for a write that may repeat one of another process. Its error is of kind OutcomeUnknown if the
	// other one may still take effect.
	AdmitCreation(partition string) error
	// Await waits until a call to the partition may be answered. It returns false if ctx ends before.
	Await(ctx context.Context, partition string) bool
	// Closed reports whether Admit would fail.
	Closed(partition string) bool
}

// admit returns an error if a call to a partition would not be answered.
func (j *Jobs) admit(partition string) error {
	if j.config.Check == nil {
		return nil
	}
	return j.config.Check.Admit(partition)
}

// admitSubmission returns an error if a submission can't be stored. If it would be unknown whether the job runs, because an
// earlier submission may still take effect, it waits for the store first: the caller would use up its tries on such answers.
func (j *Jobs) admitSubmission(ctx context.Context, id ident.Job) error {
	if j.config.Check == nil {
		return nil
	}
	shard := work.ShardOf(id)
	err := j.config.Check.AdmitCreation(shard)
	if fault.Is(err, fault.OutcomeUnknown) {
		ctx, cancel := limitTime(ctx, submitPercent)
		defer cancel()
		if j.config.Check.Await(ctx, shard) {
			return nil
		}
	}
	return j.withoutEffect(id, err)
}

// withoutEffect returns the error of a submission that had no effect. Its kind is OutcomeUnknown if this instance has
// another submission with the same ID under way, or has answered one whose outcome is unknown: it would be wrong to say
// that the job never runs.
func (j *Jobs) withoutEffect(id ident.Job, err error) error {
	if err != nil && j.unsettled.has(id) {
		return fault.Wrap(err, fault.OutcomeUnknown, "submit", "store")
	}
	return err
}

// noteBegin remembers that a submission is under way.
func (j *Jobs) noteBegin(id ident.Job) {
	if j.config.Check != nil {
		j.unsettled.begin(id)
	}
}

// noteEnd forgets that a submission is under way, and remembers it if its outcome is unknown.
func (j *Jobs) noteEnd(id ident.Job, err error) {
	if j.config.Check != nil {
		j.unsettled.end(id, fault.Is(err, fault.OutcomeUnknown))
	}
}

// isClosed reports whether a partition is known to be closed.
func (j *Jobs) isClosed(partition string) bool {
	return j.config.Check != nil && j.config.Check.Closed(partition)
}

// awaitStore waits for reopenTime at most while a partition is closed. It returns false if it is still closed.
func (j *Jobs) awaitStore(ctx context.Context, partition string) bool {
	if j.config.Check == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, reopenTime)
	defer cancel()
	return j.config.Check.Await(ctx, partition)
}

// unsettledIDs holds the IDs of submissions that are under way, and of those whose outcome is unknown, for unsettledTime
// each. Its zero value is ready for use.
type unsettledIDs struct {
	mu sync.Mutex
	// underWay counts the submissions under way by ID.
	underWay map[ident.Job]int
	until    map[ident.Job]clock.Instant
	// order holds the IDs in the order in which they were added; an ID may be in it more than once.
	order []ident.Job
}

// begin adds a submission that is under way.
func (u *unsettledIDs) begin(id ident.Job) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.underWay == nil {
		u.underWay, u.until = map[ident.Job]int{}, map[ident.Job]clock.Instant{}
	}
	u.underWay[id]++
}

// end removes a submission that was under way. Its ID is kept if its outcome is unknown.
func (u *unsettledIDs) end(id ident.Job, unknown bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.underWay[id]--; u.underWay[id] == 0 {
		delete(u.underWay, id)
	}
	if unknown {
		u.add(id)
	}
}

// add adds an ID. If there are too many, the oldest ones are dropped. The caller must hold mu.
func (u *unsettledIDs) add(id ident.Job) {
	u.until[id] = clock.Now().Add(unsettledTime)
	u.order = append(u.order, id)
	for len(u.order) > maxUnsettled {
		delete(u.until, u.order[0])
		u.order = u.order[1:]
	}
}

// has reports whether a submission is under way, or has ended with an unknown outcome within unsettledTime.
func (u *unsettledIDs) has(id ident.Job) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.underWay[id] > 0 || clock.Now().Before(u.until[id])
}
