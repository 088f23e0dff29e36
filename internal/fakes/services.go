package fakes

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"quincerail.example/quincerail/protocol/lines"
)

// Ledger stands in for the ledger. It answers a call by its body's second
// word: full, error, expired or moot, hold (no reply until Release), break (it closes
// the connection), else posted with Result(body).
type Ledger struct {
	listener net.Listener
	Calls    chan string // bodies
	Given    chan string // ids of calls that were given up

	mu   sync.Mutex
	held []func() // replies to calls that are held
}

// Release replies to the calls that are held.
func (s *Ledger) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, reply := range s.held {
		reply()
	}
	s.held = nil
}

// NewLedger starts a ledger.
func NewLedger(address string) (*Ledger, error) {
	l, err := listen(address)
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	s := &Ledger{listener: l, Calls: make(chan string, 1024), Given: make(chan string, 1024)}
	go accept(l, s.serve)
	return s, nil
}

// Addr is where it listens.
func (s *Ledger) Addr() string { return s.listener.Addr().String() }

// Close ends it.
func (s *Ledger) Close() { closeIgnoringError(s.listener) }

func (s *Ledger) serve(nc net.Conn) {
	r := bufio.NewReaderSize(nc, 16<<10)
	for {
		words, body, err := lines.Read(r, func(w []string) bool { return w[0] == "post" })
		if err != nil {
			return
		}
		if words[0] == "abandon" {
			s.Given <- words[1]
			continue
		}
		_, how, _ := strings.Cut(string(body), " ")
		post := func() {
			result := Result(string(body))
			send(nc, "%s posted %d\r\n%s\r\n", words[1], len(result), result)
		}
		if how == "hold" {
			s.mu.Lock()
			s.held = append(s.held, post)
			s.mu.Unlock()
		}
		s.Calls <- string(body)
		switch how {
		case "full":
			send(nc, "%s queue_full\r\n", words[1])
		case "error", "expired", "moot":
			send(nc, "%s %s\r\n", words[1], how)
		case "hold":
		case "break":
			return
		default:
			post()
		}
	}
}

// Announce stands in for the announce service.
type Announce struct {
	listener net.Listener
	Reports  chan string // path and body of each report

	mu    sync.Mutex
	conns []net.Conn
}

// NewAnnounce starts an announce service.
func NewAnnounce(address string) (*Announce, error) {
	l, err := listen(address)
	if err != nil {
		return nil, fmt.Errorf("announce: %w", err)
	}
	s := &Announce{listener: l, Reports: make(chan string, 1024)}
	go accept(l, s.serve)
	return s, nil
}

// Addr is where it listens.
func (s *Announce) Addr() string { return s.listener.Addr().String() }

// Close ends it, with its connections.
func (s *Announce) Close() {
	closeIgnoringError(s.listener)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		closeIgnoringError(c)
	}
}

func (s *Announce) serve(nc net.Conn) {
	s.mu.Lock()
	s.conns = append(s.conns, nc)
	s.mu.Unlock()
	r := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		select {
		case s.Reports <- req.Method + " " + req.URL.Path + " " + string(body):
		default: // nobody is looking
		}
		send(nc, "HTTP/1.1 204 No Content\r\n\r\n")
	}
}
