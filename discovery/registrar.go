// Package discovery registers the server with the discovery service: it reports, at
// intervals and at each change, whether the server accepts requests. An outage of the
// service affects nothing else.
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
	reportInterval    = 700 * time.Millisecond // the service drops an entry 3 s after its last report
	reportTimeout     = 600 * time.Millisecond // for dialling, and for a report with its answer
	firstRetryBackoff = 50 * time.Millisecond  // after a report that failed; doubles up to reportInterval
)

var (
	// errSuperseded ends the wait for a connection or an answer because a newer value must be
	// reported.
	errSuperseded = errors.New("there is newer to report")
	// errNotTaken reports that the service has answered a report and not accepted it.
	errNotTaken = errors.New("the report was not taken")
)

// Registrar reports whether the server accepts requests. It implements
// dispatch.Registrar.
type Registrar struct {
	name string // of the server in the reports
	log  *slog.Logger
	dial func(ctx context.Context, address string) (net.Conn, error)

	// Each holds the newest value that Run has not taken yet.
	acceptingChanges chan bool
	addressChanges   chan string

	mu         sync.Mutex
	cancelDial context.CancelFunc // of the dialling under way; nil while there is none
	awaiting   net.Conn           // whose answer is waited for; nil while there is none
}

// NewRegistrar returns a registrar for the server of a name. It reports while Run runs.
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

// SetAccepting implements dispatch.Registrar: the next report goes out at once. Only
// one goroutine may call it. It does not block.
func (r *Registrar) SetAccepting(on bool) {
	replaceValue(r.acceptingChanges, on)
	r.interrupt()
}

// SetAddress has reports go to another address, at once. Only one goroutine at a time
// may call it. It does not block.
func (r *Registrar) SetAddress(address string) {
	replaceValue(r.addressChanges, address)
	r.interrupt()
}

// replaceValue sends a value to a channel with a buffer of one, and drops the value that the
// buffer held. The channel must have only one sender.
func replaceValue[T any](to chan T, value T) {
	select {
	case <-to:
	default:
	}
	to <- value
}

// interrupt ends the wait for a connection or an answer. That loses nothing: a report counts
// as soon as it has arrived, and some get no answer.
func (r *Registrar) interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelDial != nil {
		r.cancelDial()
	}
	if r.awaiting != nil {
		_ = r.awaiting.SetReadDeadline(time.Unix(1, 0)) // in the past; fails where the connection is closed
	}
}

func (r *Registrar) isSuperseded() bool {
	return len(r.acceptingChanges) > 0 || len(r.addressChanges) > 0
}

// Run reports to the service at an address until ctx ends, beginning with the first
// SetAccepting: nothing is reported while it is not known whether requests are accepted.
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

// logOutage logs that reports have begun to fail, or have been accepted again.
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

// session is what Run keeps from one report to the next.
type session struct {
	registrar *Registrar
	address   string
	accepting bool
	failing   bool          // the last report that was not superseded failed
	backoff   time.Duration // before the next report if this one fails
	conn      net.Conn      // nil while there is none
	answers   *bufio.Reader // of conn
}

// awaitFirst waits until it is known whether requests are accepted. It returns false if ctx
// ends before that.
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

// nextWait returns how long to wait for a change after a report that returned err, and
// doubles the backoff where the report failed.
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

// report sends a report and waits for its answer. After an error the connection is closed.
// After errSuperseded the service may have accepted the report.
func (s *session) report(ctx context.Context) error {
	err := s.exchange(ctx)
	if err != nil {
		s.closeConn()
	}
	return err
}

func (s *session) exchange(ctx context.Context) error {
	if s.conn == nil {
		conn, err := s.registrar.connect(ctx, s.address)
		if err != nil {
			return err
		}
		s.conn, s.answers = conn, bufio.NewReader(conn)
	}
	if err := s.conn.SetDeadline(time.Now().Add(reportTimeout)); err != nil {
		return err
	}
	report := protocol.AppendReport(nil, s.address, s.registrar.name, s.accepting)
	if _, err := s.conn.Write(report); err != nil {
		return err
	}
	return s.registrar.awaitAnswer(s.conn, s.answers)
}

func (s *session) closeConn() {
	if s.conn != nil {
		_ = s.conn.Close() // nothing is left to be written
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

// awaitAnswer waits for the answer to a report. It returns errSuperseded if there is a newer
// value to report.
func (r *Registrar) awaitAnswer(conn net.Conn, answers *bufio.Reader) error {
	r.mu.Lock()
	r.awaiting = conn
	superseded := r.isSuperseded()
	r.mu.Unlock()
	var err error
	if !superseded {
		err = readAnswer(answers)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.awaiting = nil
	if superseded || err != nil && r.isSuperseded() {
		return errSuperseded
	}
	return err
}

// readAnswer reads the answer to a report, which was accepted with status 204 only.
func readAnswer(answers *bufio.Reader) error {
	status, err := protocol.ReadStatus(answers)
	if err != nil {
		return err
	}
	if status != http.StatusNoContent {
		return fmt.Errorf("%w: status %d", errNotTaken, status)
	}
	return nil
}
