package bench

// Suite is a group of figures that are measured together.
type Suite struct {
	Name string
	Run  func() []Figure
}

// Suites lists all suites in the order in which they are run.
var Suites = []Suite{
	{"place.burst", Bursts},
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
