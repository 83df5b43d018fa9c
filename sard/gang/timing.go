package gang

import "time"

const (
	// shortLease is the duration of the leases of parts from their reservation until all parts of the gang have
	// started.
	shortLease = 5 * time.Second
	// longLease is the duration of the leases of parts once the whole gang has started.
	longLease = 40 * time.Second
	// maxPollWait is how long a worker may delay its response to a poll while nothing changes.
	maxPollWait = 15 * time.Second
	// unreachableTimeout is how long a worker may be unresponsive before its gangs are stopped.
	unreachableTimeout = 18 * time.Second
	// callRetryInterval is the delay before a failed worker call is retried.
	callRetryInterval = 500 * time.Millisecond
	// reserveTimeout bounds the time to reserve all parts of a gang on their workers.
	reserveTimeout = shortLease / 2
	// requeueDelay is the delay before a failed gang is queued again.
	requeueDelay = time.Second
	// stopTimeout bounds one call that asks a worker to stop a part.
	stopTimeout = 12 * time.Second
	// maxMajorityAge limits the renewal of parts while the domain lease is expired: a majority of workers must have
	// accepted the holder's epoch within this time.
	maxMajorityAge = 45 * time.Second
	// earlierHolderLapse is the time from the fencing of a majority of workers until all parts that an earlier holder
	// renewed on an unfenced worker have ended. The earlier holder stops renewals after maxMajorityAge; its last one
	// may arrive up to one lease late and then grants another lease.
	earlierHolderLapse = maxMajorityAge + 2*longLease
	// pruneInterval is the time between two checks for ended jobs whose retention is over.
	pruneInterval = time.Minute
)
