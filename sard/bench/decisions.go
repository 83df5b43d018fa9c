package bench

// Decisions are the time of a decision and the state of an engine, at three sizes.
func Decisions() []Figure { return nil }
