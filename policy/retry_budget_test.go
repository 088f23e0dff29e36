package policy

import "testing"

func TestRetryBudgetIsEarnedByCallsAndBounded(t *testing.T) {
	b := retryBudget{}
	if b.tryWithdraw() {
		t.Fatal("a retry from an empty budget")
	}
	const callsPerRetry = 11 // ten tenths sum up to a little less than one
	for range callsPerRetry {
		b.deposit()
	}
	if !b.tryWithdraw() || b.tryWithdraw() {
		t.Errorf("%v left, want one retry for %d calls", b.tokens, callsPerRetry)
	}
	b.withdraw()
	if b.tokens != 0 {
		t.Errorf("%v left, want nothing below an empty budget", b.tokens)
	}
	for range 1000 {
		b.deposit()
	}
	if b.tokens != maxRetryBudget {
		t.Errorf("%v saved up, want %v", b.tokens, maxRetryBudget)
	}
}
