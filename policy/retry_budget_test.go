package policy

import "testing"

func TestRetryBudgetIsEarnedByCallsAndBounded(t *testing.T) {
	b := retryBudget{}
	if b.TryWithdraw() {
		t.Fatal("a retry from an empty budget")
	}
	const callsPerRetry = 11 // ten tenths sum up to a little less than one
	for range callsPerRetry {
		b.Deposit()
	}
	if !b.TryWithdraw() || b.TryWithdraw() {
		t.Errorf("%v left, want one retry for %d calls", b.tokens, callsPerRetry)
	}
	b.Withdraw()
	if b.tokens != 0 {
		t.Errorf("%v left, want nothing below an empty budget", b.tokens)
	}
	for range 1000 {
		b.Deposit()
	}
	if b.tokens != maxRetryBudget {
		t.Errorf("%v saved up, want %v", b.tokens, maxRetryBudget)
	}
}
