package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// ledger is a stand-in of the ledger.
type ledger struct {
	listener net.Listener
	record   *record
	delay    time.Duration // before the reply to a call
	// copyAfter is how long after some replies a second copy follows on their connection.
	// copyOf selects these replies; nil for none.
	copyAfter time.Duration
	copyOf    func(id, body string) bool

	mu      sync.Mutex
	replies map[string]string // by the body of the call, its reply
}

func newLedger(rec *record, delay time.Duration) (*ledger, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &ledger{listener: l, record: rec, delay: delay, replies: make(map[string]string)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

func (s *ledger) serve(conn net.Conn) {
	defer conn.Close()
	var writing sync.Mutex
	r := bufio.NewReader(conn)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) != 4 || words[0] != "post" {
			continue // abandon
		}
		body, err := readBody(r, words[3])
		if err != nil {
			return
		}
		id, from := words[1], conn.RemoteAddr().(*net.TCPAddr).Port
		s.record.line("ledger: post %s %q on connection %d", id, body, from)
		time.AfterFunc(s.delay, func() {
			reply := "reply to " + body
			s.mu.Lock()
			s.replies[body] = reply
			s.mu.Unlock()
			send := func(what string) {
				writing.Lock()
				defer writing.Unlock()
				s.record.line("ledger: %s %s %q on connection %d", what, id, reply, from)
				fmt.Fprintf(conn, "%s posted %d\r\n%s\r\n", id, len(reply), reply)
			}
			send("reply")
			if s.copyOf != nil && s.copyOf(id, body) {
				time.AfterFunc(s.copyAfter, func() { send("second copy") })
			}
		})
	}
}

// announceService is a stand-in of the announce service. It answers each report with 204.
type announceService struct {
	listener net.Listener
	record   *record
	mu       sync.Mutex
	last     string
}

func newAnnounceService(rec *record) (*announceService, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &announceService{listener: l, record: rec}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *announceService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 1<<12))
	s.mu.Lock()
	if text := r.URL.Path + " " + string(body); text != s.last {
		s.last = text
		s.record.line("announce service: report %s", text)
	}
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
