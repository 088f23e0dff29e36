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

// Dependency is a fake of the shared dependency. The text after the first space of a call's
// body selects the reply:
//
//	full                  queue_full
//	error, expired, moot  this status
//	hold                  none before Release
//	break                 none; it closes the connection
//	else                  posted, with Result(body)
type Dependency struct {
	listener  net.Listener
	Calls     chan string // bodies of calls; the test receives them
	Abandoned chan string // ids of abandoned calls; the test receives them

	mu   sync.Mutex
	held []func() // send the replies to held calls
}

// Release replies to the held calls.
func (s *Dependency) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, reply := range s.held {
		reply()
	}
	s.held = nil
}

// NewDependency starts a shared dependency that listens at address.
func NewDependency(address string) (*Dependency, error) {
	l, err := listen(address)
	if err != nil {
		return nil, fmt.Errorf("fake shared dependency: %w", err)
	}
	s := &Dependency{listener: l, Calls: make(chan string, 1024), Abandoned: make(chan string, 1024)}
	go accept(l, s.serve)
	return s, nil
}

// Addr returns the address that it listens at.
func (s *Dependency) Addr() string { return s.listener.Addr().String() }

// Close closes the listener. Open connections stay open.
func (s *Dependency) Close() { closeIgnoringError(s.listener) }

func (s *Dependency) serve(nc net.Conn) {
	r := bufio.NewReaderSize(nc, 16<<10)
	for {
		words, body, err := lines.Read(r, func(w []string) bool { return w[0] == "post" })
		if err != nil {
			return
		}
		if words[0] == "abandon" {
			s.Abandoned <- words[1]
			continue
		}
		_, action, _ := strings.Cut(string(body), " ")
		post := func() {
			result := Result(string(body))
			send(nc, "%s posted %d\r\n%s\r\n", words[1], len(result), result)
		}
		if action == "hold" {
			s.mu.Lock()
			s.held = append(s.held, post)
			s.mu.Unlock()
		}
		s.Calls <- string(body)
		switch action {
		case "full":
			send(nc, "%s queue_full\r\n", words[1])
		case "error", "expired", "moot":
			send(nc, "%s %s\r\n", words[1], action)
		case "hold":
		case "break":
			return
		default:
			post()
		}
	}
}

// DiscoveryService is a fake of the discovery service. It answers every request with status 204.
type DiscoveryService struct {
	listener net.Listener
	Reports  chan string // method, path and body of each request; dropped while the channel is full

	mu    sync.Mutex
	conns []net.Conn
}

// NewDiscoveryService starts a discovery service that listens at address.
func NewDiscoveryService(address string) (*DiscoveryService, error) {
	l, err := listen(address)
	if err != nil {
		return nil, fmt.Errorf("fake discovery service: %w", err)
	}
	s := &DiscoveryService{listener: l, Reports: make(chan string, 1024)}
	go accept(l, s.serve)
	return s, nil
}

// Addr returns the address that it listens at.
func (s *DiscoveryService) Addr() string { return s.listener.Addr().String() }

// Close closes the listener and all connections.
func (s *DiscoveryService) Close() {
	closeIgnoringError(s.listener)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		closeIgnoringError(c)
	}
}

func (s *DiscoveryService) serve(nc net.Conn) {
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
		default: // the test doesn't receive reports
		}
		send(nc, "HTTP/1.1 204 No Content\r\n\r\n")
	}
}
