package gang

import "time"

const (
	// shortLease is the lease of reserved parts, and of started ones until all parts have started.
	shortLease = 5 * time.Second
	// longLease is the lease of confirmed parts.
	longLease = 40 * time.Second
	// pollWait is how long a worker may hold the answer of a poll when nothing changes.
	pollWait = 15 * time.Second
	// unreachableLimit is how long a worker may not answer before its gangs are stopped.
	unreachableLimit = 18 * time.Second
	// callPause is the pause before a failed call of a worker is tried again.
	callPause = 500 * time.Millisecond
	// reserveLimit bounds how long the parts of a gang may take to be reserved.
	reserveLimit = shortLease / 2
	// reservePause is the pause before a gang that could not be reserved is placed again.
	reservePause = time.Second
	// stopLimit bounds one try of stopping a part.
	stopLimit = 12 * time.Second
	// witnessLimit is how old the acceptance of the epoch by most workers may be while the domain lease is lapsed.
	witnessLimit = 45 * time.Second
	// foreignLapse is how long after most workers were fenced no part runs that an earlier holder has renewed at
	// an unfenced worker: its last renewal, then one lease that was granted and one that was sent and arrived late.
	foreignLapse = witnessLimit + 2*longLease
	// pruneInterval is how often ended jobs are pruned.
	pruneInterval = time.Minute
)
