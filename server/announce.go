package server

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

	"quincerail.example/quincerail/protocol/discovery"
)

const (
	reportEvery  = 700 * time.Millisecond // an entry lapses after 3 s
	reportWithin = 600 * time.Millisecond
	retryFirst   = 50 * time.Millisecond // after a report that did not count, doubling up to reportEvery
)

// announcer reports whether work is taken, steadily and at every change. It
// works alone: an outage of the service touches nothing else.
type announcer struct {
	name    string
	log     *slog.Logger
	connect func(ctx context.Context, address string) (net.Conn, error)
	changes chan bool
	moves   chan string

	mu      sync.Mutex
	dialing context.CancelFunc // ends the dialling under way; nil while there is none
	waiting net.Conn           // for the answer to a report; nil while it does not
}

func newAnnouncer(name string, log *slog.Logger) *announcer {
	return &announcer{
		name: name, log: log, changes: make(chan bool, 1), moves: make(chan string, 1),
		connect: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		},
	}
}

// errOverhauled ends the wait for the answer to a report that has newer to follow.
var errOverhauled = errors.New("there is newer to report")

// errUncounted is for a report that was answered but did not count.
var errUncounted = errors.New("the report was not taken")

// hurry ends the wait for a connection or an answer: a report counts once it has
// arrived, and some get none.
func (a *announcer) hurry() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dialing != nil {
		a.dialing()
	}
	if a.waiting != nil {
		a.waiting.SetReadDeadline(time.Unix(1, 0))
	}
}

// dial opens a connection, unless there is newer to report.
func (a *announcer) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, reportWithin)
	defer cancel()
	a.mu.Lock()
	a.dialing = cancel
	if a.newer() {
		cancel()
	}
	a.mu.Unlock()
	nc, err := a.connect(ctx, address)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dialing = nil
	if err != nil && a.newer() {
		return nil, errOverhauled
	}
	return nc, err
}

// await waits for the answer to a report, unless there is newer to report.
func (a *announcer) await(nc net.Conn, r *bufio.Reader) error {
	a.mu.Lock()
	a.waiting = nc
	newer := a.newer()
	a.mu.Unlock()
	var err error
	if !newer {
		var status int
		if status, err = discovery.ReadStatus(r); err == nil && status != http.StatusNoContent {
			err = fmt.Errorf("%w: status %d", errUncounted, status)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting = nil
	if newer || err != nil && a.newer() {
		return errOverhauled
	}
	return err
}

func (a *announcer) newer() bool { return len(a.changes) > 0 || len(a.moves) > 0 }

// move has reports go to another address. Only the newest counts.
func (a *announcer) move(address string) {
	select {
	case <-a.moves:
	default:
	}
	a.moves <- address // only the server's reloads put in, one after the other
	a.hurry()
}

// SetAccepting implements dispatch.Presence. Only the newest word counts.
func (a *announcer) SetAccepting(on bool) {
	select {
	case <-a.changes:
	default:
	}
	a.changes <- on // only the core's goroutine puts in, so there is room
	a.hurry()
}

// run reports until ctx ends, from the first word on of whether work is taken: what
// can't serve yet says nothing.
func (a *announcer) run(ctx context.Context, address string) {
	accepting, down := false, false
	for waiting := true; waiting; {
		select {
		case <-ctx.Done():
			return
		case address = <-a.moves:
		case accepting = <-a.changes:
			waiting = false
		}
	}
	var nc net.Conn
	var r *bufio.Reader
	retry := retryFirst
	for {
		err := func() (err error) {
			if nc == nil {
				if nc, err = a.dial(ctx, address); err != nil {
					return err
				}
				r = bufio.NewReader(nc)
			}
			nc.SetDeadline(time.Now().Add(reportWithin))
			if _, err = nc.Write(discovery.AppendReport(nil, address, a.name, accepting)); err != nil {
				return err
			}
			return a.await(nc, r)
		}()
		if err != nil && nc != nil {
			nc.Close()
			nc = nil
		}
		if (err != nil) != down && !errors.Is(err, errOverhauled) {
			down = err != nil
			a.log.Warn("announce", "down", down, "error", errorText(err))
		}
		again := reportEvery
		if err != nil && !errors.Is(err, errOverhauled) {
			again, retry = retry, min(2*retry, reportEvery)
		} else if err == nil {
			retry = retryFirst
		}
		select {
		case <-ctx.Done():
			if nc != nil {
				nc.Close()
			}
			return
		case accepting = <-a.changes:
		case address = <-a.moves:
			if nc != nil {
				nc.Close()
				nc = nil
			}
		case <-time.After(again):
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
