package gang

import "time"

const (
	// shortLease is the lease of parts from their reservation until all parts of the gang have started.
	shortLease = 5 * time.Second
	// longLease is the lease of parts once the whole gang has started.
	longLease = 40 * time.Second
	// maxPollWait is how long a worker may delay its response to a poll while nothing changes.
	maxPollWait = 15 * time.Second
	// unreachableTimeout is how long a worker may be unresponsive before its gangs are stopped.
	unreachableTimeout = 18 * time.Second
	// callRetryInterval is the delay before a failed worker call is retried.
	callRetryInterval = 500 * time.Millisecond
	// reserveTimeout bounds the reservation of a gang's parts.
	reserveTimeout = shortLease / 2
	// requeueDelay is the delay before a failed gang is queued again.
	requeueDelay = time.Second
	// stopTimeout bounds one try to stop a part.
	stopTimeout = 12 * time.Second
	// maxMajorityAge limits renewals while the domain lease is expired: a majority of workers must have accepted the
	// epoch within this time.
	maxMajorityAge = 45 * time.Second
	// earlierHolderLapse is the time after the fencing of a majority by which every part on an unfenced worker has ended
	// that an earlier holder renewed: its renewals stop after maxMajorityAge, and the last one may arrive up to one lease
	// late and then grants another lease.
	earlierHolderLapse = maxMajorityAge + 2*longLease
	// pruneInterval is the interval at which ended jobs are pruned.
	pruneInterval = time.Minute
)
