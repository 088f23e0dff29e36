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

// discoveryService plays the discovery service for a Registrar: at addresses that
// begin with "silent" it takes no connection, elsewhere each report is answered
// with the status, or not at all for 0.
type discoveryService struct {
	*Registrar
	reports chan string // address and body
	status  func(n int) int
	n       atomic.Int64 // reports answered
}

func playReports(t *testing.T, play func(t *testing.T, p *discoveryService)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &discoveryService{NewRegistrar("n1", slog.Default()), make(chan string, 99), func(int) int { return http.StatusNoContent }, atomic.Int64{}}
		p.dial = func(ctx context.Context, address string) (net.Conn, error) {
			if strings.HasPrefix(address, "silent") {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			near, far := net.Pipe()
			go p.serve(far, address)
			return near, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		go p.Run(ctx, "here")
		play(t, p)
		cancel()
		time.Sleep(time.Minute)
	})
}

func (p *discoveryService) serve(far net.Conn, address string) {
	defer func() { _ = far.Close() }()
	for r := bufio.NewReader(far); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		p.reports <- address + " " + string(body)
		if status := p.status(int(p.n.Add(1) - 1)); status != 0 {
			if _, err := fmt.Fprintf(far, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", status); err != nil {
				return
			}
		}
	}
}

// want checks the next report, and that it comes within a time.
func (p *discoveryService) want(t *testing.T, address, word string, within time.Duration) {
	t.Helper()
	began := time.Now()
	if got := <-p.reports; !strings.HasPrefix(got, address) || !strings.Contains(got, word) {
		t.Errorf("report %s, want %s at %s", got, word, address)
	}
	if took := time.Since(began); took > within {
		t.Errorf("the report of %s at %s comes after %v, want %v", word, address, took, within)
	}
	synctest.Wait()
}

// TestAnnounceHurries guards changes against reports that get no answer, and
// against a service that falls silent: the next report goes out at once, and to
// where the service is by then.
func TestAnnounceHurries(t *testing.T) {
	playReports(t, func(t *testing.T, p *discoveryService) {
		p.status = func(int) int { return 0 }
		p.SetAccepting(true)
		p.want(t, "here", "true", 0)
		p.SetAccepting(false)
		p.want(t, "here", "false", 0)
		p.SetAddress("silent")
		synctest.Wait()
		p.SetAddress("there")
		p.want(t, "there", "false", 0)
	})
}

// TestAnnounceSaysNothingAtFirst: a server is not called ready, nor is it taken
// off the list, before it knows that it can serve.
func TestAnnounceSaysNothingAtFirst(t *testing.T) {
	playReports(t, func(t *testing.T, p *discoveryService) {
		time.Sleep(5 * time.Second)
		p.SetAddress("there")
		time.Sleep(5 * time.Second)
		if len(p.reports) > 0 {
			t.Errorf("a report before it can serve: %s", <-p.reports)
		}
		p.SetAccepting(true)
		p.want(t, "there", "true", 0)
	})
}

// TestAnnounceRepeatsWhatDidNotCount: a report that is answered with anything but
// 204 is made again soon, the sooner the newer the trouble.
func TestAnnounceRepeatsWhatDidNotCount(t *testing.T) {
	playReports(t, func(t *testing.T, p *discoveryService) {
		p.status = func(n int) int {
			if n < 3 {
				return http.StatusServiceUnavailable
			}
			return http.StatusNoContent
		}
		p.SetAccepting(false)
		p.want(t, "here", "false", 0)
		for wait := firstRetryBackoff; wait <= 4*firstRetryBackoff; wait *= 2 {
			p.want(t, "here", "false", wait)
		}
		p.want(t, "here", "false", reportInterval) // the last one counted
	})
}
