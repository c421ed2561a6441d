package control

import (
	"math"
	"testing"
)

func TestRetryBudget(t *testing.T) {
	b := newRetryBudget()
	for range int(maxRetryTokens) {
		if !b.available() {
			t.Fatal("exhausted before its tokens are spent")
		}
		b.spend()
	}
	if b.available() {
		t.Error("more retries than tokens")
	}
	b.earn()
	if math.Abs(b.tokens-retryTokensPerRequest) > 1e-9 {
		t.Errorf("earned %g while all retries succeed, want %g", b.tokens, retryTokensPerRequest)
	}
	for range 1000 {
		b.recordResult(TimedOut)
	}
	before := b.tokens
	b.earn()
	if earned := b.tokens - before; math.Abs(earned-minRetryTokensPerRequest) > 1e-9 {
		t.Errorf("earned %g while no retry succeeds, want %g", earned, minRetryTokensPerRequest)
	}
	rate := b.successRate
	b.recordResult(Cancelled)
	b.recordResult(ModelNotLoaded)
	if b.successRate != rate {
		t.Error("a cancelled retry or a miss changed the success rate")
	}
	b.recordResult(Succeeded)
	if b.successRate <= rate {
		t.Error("a success did not raise the success rate")
	}
	for range 1000 {
		b.earn()
	}
	if b.tokens != maxRetryTokens {
		t.Errorf("%g tokens saved up, want %g", b.tokens, maxRetryTokens)
	}
}
