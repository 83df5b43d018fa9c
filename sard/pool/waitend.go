package pool

import "time"

// WaitEnd tells what ends a wait.
type WaitEnd struct {
	// By is what ends the wait, in a few words.
	By string
	// Limit is how long the reason can last at most for a job of which nothing may run, in a pool with room; 0 if there is no
	// limit.
	Limit time.Duration
}

// waitEnds holds what ends the waits of each reason.
var waitEnds = [waitReasons]WaitEnd{
	NotExamined:         {By: "the next look at why it waits", Limit: examinedAfter + examinedEvery},
	NoRoom:              {By: "free capacity on workers that may run it"},
	LimitPerWorker:      {By: "an end of a part of its step, or another worker with room"},
	KeptApart:           {By: "another try whether its workers obey throttle requests", Limit: unsharedTime},
	IsolatedForSuspects: {By: "the end of a suspect's probation, or its turn"},
	ReservedForOthers:   {By: "the start of the groups that the capacity is reserved for"},
	Quarantined:         {By: "the end of a quarantine", Limit: maxHold},
	KeptForGuaranteed:   {By: "less use of the pool by guaranteed jobs", Limit: maxHold},
	AwaitsRack:          {By: "room on one rack, or on that of its data", Limit: maxHold},
	AwaitsStops:         {By: "the ends of the parts that are being stopped for it"},
	AwaitsProbation:     {By: "the ends of the probations on its workers"},
	PlacementRejected:   {By: "another try", Limit: violationRetryDelay},
	PassedOver:          {By: "the next round"},
}

// End returns what ends waits of the reason.
func (r WaitReason) End() WaitEnd {
	return waitEnds[r]
}
