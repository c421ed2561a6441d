package control

import "math"

const (
	retryTokensPerRequest    = 0.3  // retries earned by each request while all retries succeed
	minRetryTokensPerRequest = 0.03 // retries earned by each request while none does, so that a recovery is noticed
	maxRetryTokens           = 30.0 // retries saved up at most: enough for a short outage of one worker
)

// retryBudget limits retries and hedged requests of all requests together. Requests earn tokens, the more of them the more
// of the recent retries succeeded; each retry spends one.
type retryBudget struct {
	tokens      float64
	successRate float64 // smoothed share of recent retries that succeeded
}

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryTokens, successRate: 1} }

// earn credits the budget for one request.
func (b *retryBudget) earn() {
	earned := minRetryTokensPerRequest + (retryTokensPerRequest-minRetryTokensPerRequest)*b.successRate
	b.tokens = math.Min(maxRetryTokens, b.tokens+earned)
}

// available reports whether the budget holds a whole token.
func (b *retryBudget) available() bool { return b.tokens >= 1 }

// spend takes one token.
func (b *retryBudget) spend() { b.tokens-- }

// recordResult records how a retry ended. Cancelled retries and models that were not loaded reveal nothing.
func (b *retryBudget) recordResult(result Result) {
	switch result {
	case Succeeded:
		b.successRate += estimateSmoothing * (1 - b.successRate)
	case Cancelled, ModelNotLoaded:
	default:
		b.successRate -= estimateSmoothing * b.successRate
	}
}
