package control

import "math"

const (
	retryTokensPerRequest    = 0.3  // tokens that each request earns while all retries succeed
	minRetryTokensPerRequest = 0.03 // tokens that each request earns while all retries fail, so that a recovery is noticed
	maxRetryTokens           = 30.0 // most tokens in the budget: enough for a short outage of one worker
)

// retryBudget limits retries and hedged requests over all requests. Each request earns a fraction of a token, the more the
// more recent retries succeeded; each retry or hedged request spends one token.
type retryBudget struct {
	tokens      float64
	successRate float64 // exponential average of the fraction of retries that succeeded
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

// recordResult records the outcome of a retry. Cancelled retries and models that were not loaded count as neither a success
// nor a failure.
func (b *retryBudget) recordResult(result Result) {
	switch result {
	case Succeeded:
		b.successRate += estimateSmoothing * (1 - b.successRate)
	case Cancelled, ModelNotLoaded:
	default:
		b.successRate -= estimateSmoothing * b.successRate
	}
}
