package server

import "testing"

// TestState_OnlyMovesForward checks that a server never enters an earlier state again. A
// process that takes over may start to serve only after SIGTERM, for example.
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
