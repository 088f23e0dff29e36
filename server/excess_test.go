package server_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

// TestOpenRequests_ExcessClosesConnection guards against a balancer that sends far more than it
// may have open, at full speed: the excess gets exceptions, then the connection closes, and the
// requests of another balancer are served meanwhile.
func TestOpenRequests_ExcessClosesConnection(t *testing.T) {
	h := newHarness(t, nil)
	h.work.Duration = 50 * time.Millisecond
	hostile := h.balancer(t)
	go func() {
		for {
			if _, err := hostile.Write(hostile.executeMessage("ny-gava", fakes.NewID(), "hang on")); err != nil {
				return
			}
		}
	}()
	ended := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, hostile)
		ended <- err
	}()
	select {
	case err := <-ended:
		if netErr := net.Error(nil); errors.As(err, &netErr) && netErr.Timeout() {
			t.Errorf("the connection is still open: %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the connection is still open after 10 s, want it closed")
	}
	if o := outcome(t, serverFrontends[0].ask(t, h, "givarhistorik", "", "other")); o.Kind != "served" {
		t.Errorf("outcome of another balancer's request = %s, want served", o.Kind)
	}
}
