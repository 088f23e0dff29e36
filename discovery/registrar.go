// Package discovery registers the server with the discovery service. It reports whether the
// server accepts requests, at intervals and after each change. An outage of the discovery
// service does not affect the rest of the server.
package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	protocol "quincerail.example/quincerail/protocol/discovery"
)

const (
	reportInterval    = 700 * time.Millisecond // the service removes an entry 3 s after its last report
	reportTimeout     = 600 * time.Millisecond // for the dial, and for a report with its response
	firstRetryBackoff = 50 * time.Millisecond  // after the first failed report; doubles up to reportInterval
)

var (
	// errSuperseded ends the wait for a connection or a response because a newer value must be
	// reported.
	errSuperseded = errors.New("report superseded by a newer value")
	// errReportRejected reports that the service responded to a report without accepting it.
	errReportRejected = errors.New("discovery service rejected the report")
)

// Registrar reports to the discovery service whether the server accepts requests. It
// implements dispatch.Registrar.
type Registrar struct {
	name string // the server's name in the reports
	log  *slog.Logger
	dial func(ctx context.Context, address string) (net.Conn, error)

	// Each channel holds the newest value that Run has not received yet.
	acceptingChanges chan bool
	addressChanges   chan string

	mu         sync.Mutex
	cancelDial context.CancelFunc // cancels the current dial; nil if there is none
	awaiting   net.Conn           // the connection whose response is awaited; nil if there is none
}

// NewRegistrar returns a registrar for the server with the given name. Run sends the reports.
func NewRegistrar(name string, log *slog.Logger) *Registrar {
	return &Registrar{
		name:             name,
		log:              log,
		acceptingChanges: make(chan bool, 1),
		addressChanges:   make(chan string, 1),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		},
	}
}

// SetAccepting implements dispatch.Registrar. Run sends the next report at once. Only one
// goroutine may call SetAccepting. It does not block.
func (r *Registrar) SetAccepting(on bool) {
	replaceValue(r.acceptingChanges, on)
	r.interrupt()
}

// SetAddress changes the service's address. Run sends the next report to it at once. Only one
// goroutine at a time may call SetAddress. It does not block.
func (r *Registrar) SetAddress(address string) {
	replaceValue(r.addressChanges, address)
	r.interrupt()
}

// replaceValue sends a value to a channel with a buffer of one and discards the value that the
// buffer held. The channel must have only one sender.
func replaceValue[T any](channel chan T, value T) {
	select {
	case <-channel:
	default:
	}
	channel <- value
}

// interrupt ends the wait for a connection or a response. No report is lost: a report takes
// effect when it arrives at the service, and some reports get no response.
func (r *Registrar) interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelDial != nil {
		r.cancelDial()
	}
	if r.awaiting != nil {
		_ = r.awaiting.SetReadDeadline(time.Unix(1, 0)) // a time in the past; fails only if the connection is closed
	}
}

// isSuperseded reports whether a newer value waits for Run to receive it.
func (r *Registrar) isSuperseded() bool {
	return len(r.acceptingChanges) > 0 || len(r.addressChanges) > 0
}

// Run reports to the service at address until ctx is done. It sends the first report after the
// first call of SetAccepting, because until then it is unknown whether the server accepts
// requests.
func (r *Registrar) Run(ctx context.Context, address string) {
	s := &session{registrar: r, address: address, backoff: firstRetryBackoff}
	defer s.closeConn()
	if !s.awaitFirst(ctx) {
		return
	}
	for {
		err := s.report(ctx)
		r.logOutage(s, err)
		select {
		case <-ctx.Done():
			return
		case s.accepting = <-r.acceptingChanges:
		case s.address = <-r.addressChanges:
			s.closeConn()
		case <-time.After(s.nextWait(err)):
		}
	}
}

// logOutage logs the first failed report of an outage, and the first report that is accepted
// after it.
func (r *Registrar) logOutage(s *session, err error) {
	failing := err != nil
	if failing == s.failing || errors.Is(err, errSuperseded) {
		return
	}
	s.failing = failing
	text := ""
	if err != nil {
		text = err.Error()
	}
	r.log.Warn("announce", "down", failing, "error", text)
}

// session is the state that Run keeps between reports. Only the goroutine of Run uses it.
type session struct {
	registrar *Registrar
	address   string
	accepting bool
	failing   bool          // whether the last report that was not superseded failed
	backoff   time.Duration // the wait after the next failed report
	conn      net.Conn      // nil if there is none
	responses *bufio.Reader // reads from conn
}

// awaitFirst waits for the first value of SetAccepting. It returns false if ctx is done before
// that.
func (s *session) awaitFirst(ctx context.Context) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case s.address = <-s.registrar.addressChanges:
		case s.accepting = <-s.registrar.acceptingChanges:
			return true
		}
	}
}

// nextWait returns how long to wait for a change after a report that returned err. It doubles
// the backoff if the report failed and resets it if the report was accepted.
func (s *session) nextWait(err error) time.Duration {
	switch {
	case err == nil:
		s.backoff = firstRetryBackoff
	case !errors.Is(err, errSuperseded):
		wait := s.backoff
		s.backoff = min(2*wait, reportInterval)
		return wait
	}
	return reportInterval
}

// report sends a report and waits for its response. It closes the connection after an error.
// After errSuperseded the service may have accepted the report.
func (s *session) report(ctx context.Context) error {
	err := s.exchange(ctx)
	if err != nil {
		s.closeConn()
	}
	return err
}

// exchange dials the service if there is no connection, sends a report and reads the response.
func (s *session) exchange(ctx context.Context) error {
	if s.conn == nil {
		conn, err := s.registrar.connect(ctx, s.address)
		if err != nil {
			return err
		}
		s.conn, s.responses = conn, bufio.NewReader(conn)
	}
	if err := s.conn.SetDeadline(time.Now().Add(reportTimeout)); err != nil {
		return err
	}
	report := protocol.AppendReport(nil, s.address, s.registrar.name, s.accepting)
	if _, err := s.conn.Write(report); err != nil {
		return err
	}
	return s.registrar.awaitResponse(s.conn, s.responses)
}

func (s *session) closeConn() {
	if s.conn != nil {
		_ = s.conn.Close() // the error is ignored: nothing remains to be written
		s.conn = nil
	}
}

// connect dials the service. It returns errSuperseded if there is a newer value to report.
func (r *Registrar) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r.mu.Lock()
	r.cancelDial = cancel
	if r.isSuperseded() {
		cancel()
	}
	r.mu.Unlock()
	conn, err := r.dial(ctx, address)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelDial = nil
	if err != nil && r.isSuperseded() {
		return nil, errSuperseded
	}
	return conn, err
}

// awaitResponse waits for the response to a report. It returns errSuperseded if there is a newer
// value to report.
func (r *Registrar) awaitResponse(conn net.Conn, responses *bufio.Reader) error {
	r.mu.Lock()
	r.awaiting = conn
	superseded := r.isSuperseded()
	r.mu.Unlock()
	var err error
	if !superseded {
		err = readResponse(responses)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.awaiting = nil
	if superseded || err != nil && r.isSuperseded() {
		return errSuperseded
	}
	return err
}

// readResponse reads the response to a report. Any status but 204 is an error.
func readResponse(responses *bufio.Reader) error {
	status, err := protocol.ReadStatus(responses)
	if err != nil {
		return err
	}
	if status != http.StatusNoContent {
		return fmt.Errorf("%w: status %d", errReportRejected, status)
	}
	return nil
}
