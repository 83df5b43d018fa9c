package route

// Settings of the retry budget. A retry costs one token.
const (
	retryTokensPerSuccess = 0.1
	initialRetryTokens    = 10.0
	maxRetryTokens        = 50.0
)

// retryBudget is a token bucket that limits retries to a fraction of the successful requests.
type retryBudget struct{ tokens float64 }

// newRetryBudget returns a budget with initialRetryTokens.
func newRetryBudget() retryBudget {
	return retryBudget{tokens: initialRetryTokens}
}

// deposit adds the tokens for a successful request.
func (b *retryBudget) deposit() {
	b.tokens = min(b.tokens+retryTokensPerSuccess, maxRetryTokens)
}

// withdraw takes the token for a retry. It returns false if there is none.
func (b *retryBudget) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
