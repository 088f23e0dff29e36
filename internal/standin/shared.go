package standin

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"quincerail.example/quincerail/protocol/lines"
)

// SharedLedger stands in for a ledger that a whole fleet shares: each call takes
// a time there, whether it is given up or not, and it knows how many it had in
// hand at most.
type SharedLedger struct {
	listener net.Listener
	took     time.Duration

	mu      sync.Mutex
	inHand  int
	most    int
	done    int
	changed chan struct{} // closed and made anew when a call ends
}

// NewSharedLedger starts a ledger whose calls take a time each.
func NewSharedLedger(address string, took time.Duration) (*SharedLedger, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	s := &SharedLedger{listener: l, took: took, changed: make(chan struct{})}
	go accept(l, s.serve)
	return s, nil
}

// Addr is where it listens.
func (s *SharedLedger) Addr() string { return s.listener.Addr().String() }

// Close ends it.
func (s *SharedLedger) Close() { s.listener.Close() }

// Count gives the most that was in hand at any instant since the last Count,
// how many calls have ended, and a channel that is closed when one more does.
func (s *SharedLedger) Count() (most, done int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, s.most = s.most, s.inHand
	return most, s.done, s.changed
}

func (s *SharedLedger) serve(nc net.Conn) {
	defer nc.Close()
	var mu sync.Mutex // one answer at a time
	r := bufio.NewReader(nc)
	for {
		words, body, err := lines.Read(r, func(w []string) bool { return w[0] == "post" })
		if err != nil {
			return
		}
		if words[0] != "post" {
			continue // it goes on to its end
		}
		s.mu.Lock()
		s.inHand++
		s.most = max(s.most, s.inHand)
		s.mu.Unlock()
		time.AfterFunc(s.took, func() {
			s.mu.Lock()
			s.inHand--
			s.done++
			close(s.changed)
			s.changed = make(chan struct{})
			s.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			result := Result(string(body))
			fmt.Fprintf(nc, "%s posted %d\r\n%s\r\n", words[1], len(result), result)
		})
	}
}
