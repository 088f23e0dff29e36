package server

import "testing"

// TestStateMovesForward: a state that was left behind is not entered again, as when a
// process that takes over lets callers in after SIGTERM.
func TestStateMovesForward(t *testing.T) {
	var s Server
	if s.isOpen() {
		t.Error("open at the start")
	}
	for _, x := range []struct{ enter, want state }{
		{stateTakingOver, stateTakingOver},
		{stateNotifying, stateNotifying},
		{stateServing, stateNotifying},
		{stateRejecting, stateRejecting},
		{stateRejecting, stateRejecting},
		{stateStopped, stateStopped},
		{stateClosing, stateStopped},
	} {
		s.enter(x.enter)
		if got := state(s.state.Load()); got != x.want {
			t.Errorf("state %d after entering %d, want %d", got, x.enter, x.want)
		}
	}
	if !s.isOpen() {
		t.Error("not open after serving")
	}
}
