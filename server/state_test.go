package server

import "testing"

// TestState_OnlyMovesForward checks that a server never returns to an earlier state. For
// example, a takeover that ends after SIGTERM must not move a draining server to serving.
func TestState_OnlyMovesForward(t *testing.T) {
	var s Server
	if s.hasStartedServing() {
		t.Error("hasStartedServing() = true in the state starting, want false")
	}
	for _, test := range []struct{ enter, want state }{
		{stateTakingOver, stateTakingOver},
		{stateNotifying, stateNotifying},
		{stateServing, stateNotifying},
		{stateRejecting, stateRejecting},
		{stateRejecting, stateRejecting},
		{stateStopped, stateStopped},
		{stateClosing, stateStopped},
	} {
		s.enter(test.enter)
		if got := state(s.state.Load()); got != test.want {
			t.Errorf("state after enter(%d) = %d, want %d", test.enter, got, test.want)
		}
	}
	if !s.hasStartedServing() {
		t.Error("hasStartedServing() = false in the state stopped, want true")
	}
}
