package route

// Settings of the retry budget, in retries.
const (
	retryPerSuccess = 0.1
	retryReserve    = 10.0
	retryMax        = 50.0
)

// retryBudget bounds retries relative to successes.
type retryBudget struct{ tokens float64 }

func newRetryBudget() retryBudget {
	return retryBudget{tokens: retryReserve}
}

func (b *retryBudget) earn() {
	b.tokens = min(b.tokens+retryPerSuccess, retryMax)
}

func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
