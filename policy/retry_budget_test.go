package policy

import "testing"

func TestRetryBudget_DepositsAndWithdrawals(t *testing.T) {
	budget := retryBudget{}
	if budget.tryWithdraw() {
		t.Fatal("tryWithdraw from an empty budget = true, want false")
	}
	const callsPerRetry = 11 // ten times 0.1 is slightly less than 1 in floating point
	for range callsPerRetry {
		budget.deposit()
	}
	if !budget.tryWithdraw() || budget.tryWithdraw() {
		t.Errorf("not exactly one retry after %d deposits; tokens = %v", callsPerRetry, budget.tokens)
	}
	budget.withdraw()
	if budget.tokens != 0 {
		t.Errorf("tokens = %v after withdraw from an empty budget, want 0", budget.tokens)
	}
	for range 1000 {
		budget.deposit()
	}
	if budget.tokens != maxRetryBudget {
		t.Errorf("tokens = %v after 1000 deposits, want %v", budget.tokens, maxRetryBudget)
	}
}
