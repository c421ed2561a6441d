package control

import (
	"math"
	"testing"
)

func TestRetryBudget(t *testing.T) {
	b := newRetryBudget()
	for range int(retryTokensMax) {
		if !b.available() {
			t.Fatal("exhausted before its tokens are spent")
		}
		b.spend()
	}
	if b.available() {
		t.Error("more retries than tokens")
	}
	b.earn()
	if math.Abs(b.tokens-retryEarned) > 1e-9 {
		t.Errorf("earned %g while all retries succeed, want %g", b.tokens, retryEarned)
	}
	for range 1000 {
		b.recordResult(TimedOut)
	}
	before := b.tokens
	b.earn()
	if earned := b.tokens - before; math.Abs(earned-retryEarnedMin) > 1e-9 {
		t.Errorf("earned %g while no retry succeeds, want %g", earned, retryEarnedMin)
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
	if b.tokens != retryTokensMax {
		t.Errorf("%g tokens saved up, want %g", b.tokens, retryTokensMax)
	}
}
