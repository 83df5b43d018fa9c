package bench

// Suite is a named benchmark. Its Run measures some figures and returns them.
type Suite struct {
	Name string
	Run  func() []Figure
}

// Suites lists all suites in the order in which they are run.
var Suites = []Suite{
	{"place.burst", ClosingBursts},
	{"place.mixed", MixedBursts},
	{"place.estimates", WrongEstimates},
	{"place.cancel", CancellationWave},
	{"place.badworkers", BadWorkers},
	{"place.rackloss", RackLoss},
	{"place.decision", DecisionCost},
	{"route.added", AddedLatency},
	{"route.load", OfferedLoads},
	{"route.failing", FailingServers},
	{"route.waiting", WaitingMemory},
	{"document.spread", DocumentPropagation},
}
