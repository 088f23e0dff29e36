package decision

import "testing"

func TestOutcomesThatProveNoEffect(t *testing.T) {
	for outcome, want := range map[Outcome]bool{
		Rejected: true, ConnectFailed: true,
		Succeeded: false, Failed: false, TimedOut: false, ConnectionReset: false,
	} {
		if got := outcome.ProvesNoEffect(); got != want {
			t.Errorf("outcome %d proves that a call had no effect: %v, want %v", outcome, got, want)
		}
	}
}
