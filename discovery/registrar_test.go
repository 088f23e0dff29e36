package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// discoveryService simulates the discovery service for a Registrar. Dials of addresses that
// begin with "silent" do not succeed. At other addresses it responds to report number n with
// status(n), or does not respond if that is 0.
type discoveryService struct {
	*Registrar
	reports  chan string // address and body of each report
	status   func(n int) int
	received atomic.Int64 // number of reports
}

// withService runs a test with a running registrar and its discovery service.
func withService(t *testing.T, test func(t *testing.T, s *discoveryService)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &discoveryService{NewRegistrar("n1", slog.Default()), make(chan string, 99), func(int) int { return http.StatusNoContent }, atomic.Int64{}}
		s.dial = func(ctx context.Context, address string) (net.Conn, error) {
			if strings.HasPrefix(address, "silent") {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			near, far := net.Pipe()
			go s.serve(far, address)
			return near, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx, "here")
		test(t, s)
		cancel()
		time.Sleep(time.Minute)
	})
}

// serve reads reports from a connection and responds to them.
func (s *discoveryService) serve(far net.Conn, address string) {
	defer func() { _ = far.Close() }()
	for r := bufio.NewReader(far); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		s.reports <- address + " " + string(body)
		if status := s.status(int(s.received.Add(1) - 1)); status != 0 {
			if _, err := fmt.Fprintf(far, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", status); err != nil {
				return
			}
		}
	}
}

// wantReport checks that the next report arrives within a time, goes to an address and reports
// accepting, which is "true" or "false".
func (s *discoveryService) wantReport(t *testing.T, address, accepting string, within time.Duration) {
	t.Helper()
	startedAt := time.Now()
	if got := <-s.reports; !strings.HasPrefix(got, address) || !strings.Contains(got, accepting) {
		t.Errorf("report %s, want accepting %s at address %s", got, accepting, address)
	}
	if took := time.Since(startedAt); took > within {
		t.Errorf("report of accepting %s at address %s arrived after %v, want at most %v", accepting, address, took, within)
	}
	synctest.Wait()
}

// TestRegistrar_ReportsChangesAtOnce checks that a change of the accepting state or of the
// address is reported at once to the current address, even if the last report got no response
// or the dial of the last address blocks.
func TestRegistrar_ReportsChangesAtOnce(t *testing.T) {
	withService(t, func(t *testing.T, s *discoveryService) {
		s.status = func(int) int { return 0 }
		s.SetAccepting(true)
		s.wantReport(t, "here", "true", 0)
		s.SetAccepting(false)
		s.wantReport(t, "here", "false", 0)
		s.SetAddress("silent")
		synctest.Wait()
		s.SetAddress("there")
		s.wantReport(t, "there", "false", 0)
	})
}

// TestRegistrar_ReportsNothingBeforeSetAccepting checks that there is no report before the first
// SetAccepting. Such a report would register the server as ready, or remove it, before the
// server knows whether it can serve.
func TestRegistrar_ReportsNothingBeforeSetAccepting(t *testing.T) {
	withService(t, func(t *testing.T, s *discoveryService) {
		time.Sleep(5 * time.Second)
		s.SetAddress("there")
		time.Sleep(5 * time.Second)
		if len(s.reports) > 0 {
			t.Errorf("report %s before SetAccepting, want none", <-s.reports)
		}
		s.SetAccepting(true)
		s.wantReport(t, "there", "true", 0)
	})
}

// TestRegistrar_RetriesRejectedReport checks that a report whose response has a status other
// than 204 is sent again after a backoff that starts at firstRetryBackoff and doubles.
func TestRegistrar_RetriesRejectedReport(t *testing.T) {
	withService(t, func(t *testing.T, s *discoveryService) {
		s.status = func(n int) int {
			if n < 3 {
				return http.StatusServiceUnavailable
			}
			return http.StatusNoContent
		}
		s.SetAccepting(false)
		s.wantReport(t, "here", "false", 0)
		for wait := firstRetryBackoff; wait <= 4*firstRetryBackoff; wait *= 2 {
			s.wantReport(t, "here", "false", wait)
		}
		s.wantReport(t, "here", "false", reportInterval) // the report before was accepted
	})
}
