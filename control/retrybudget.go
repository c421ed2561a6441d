package control

import "math"

const (
	retryTokensPerRequest    = 0.3  // tokens that each request earns while all retries succeed
	minRetryTokensPerRequest = 0.03 // tokens that each request earns while all retries fail: a few are still made, to notice a recovery
	maxRetryTokens           = 30.0 // capacity of the budget, in tokens: enough for a short outage of one worker
)

// retryBudget limits the retries and hedged requests of all client requests together. Each client request earns a fraction
// of a token, which grows with the success rate of recent retries. Each retry or hedged request spends one token.
type retryBudget struct {
	tokens      float64
	successRate float64 // exponential average of the fraction of retries that succeeded
}

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryTokens, successRate: 1} }

// earn adds the fraction of a token that one client request earns.
func (b *retryBudget) earn() {
	earned := minRetryTokensPerRequest + float64((retryTokensPerRequest-minRetryTokensPerRequest)*b.successRate)
	b.tokens = math.Min(maxRetryTokens, b.tokens+earned)
}

// available reports whether the budget holds a whole token.
func (b *retryBudget) available() bool { return b.tokens >= 1 }

// spend takes one token.
func (b *retryBudget) spend() { b.tokens-- }

// recordResult updates the success rate with the outcome of a retry or hedged request. Cancelled ones, and those whose model
// was not loaded, count as neither a success nor a failure.
func (b *retryBudget) recordResult(result Result) {
	switch result {
	case Succeeded:
		b.successRate += float64(estimateSmoothing * (1 - b.successRate))
	case Cancelled, ModelNotLoaded:
	default:
		b.successRate -= float64(estimateSmoothing * b.successRate)
	}
}
