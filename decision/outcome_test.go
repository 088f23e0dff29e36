package decision

import "testing"

func TestOutcome_ProvesNoEffect(t *testing.T) {
	for outcome, want := range map[Outcome]bool{
		Rejected: true, ConnectFailed: true,
		Succeeded: false, Failed: false, TimedOut: false, ConnectionReset: false,
	} {
		if got := outcome.ProvesNoEffect(); got != want {
			t.Errorf("Outcome(%d).ProvesNoEffect() = %v, want %v", outcome, got, want)
		}
	}
}
