package fakes

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"quincerail.example/quincerail/protocol/lines"
)

// SharedLedger stands in for a ledger that a whole fleet shares: each call takes
// a time there, whether it is given up or not, and it knows how many it had in
// hand at most, and how many repeats came in a second at most. Of the requests
// that call it, it turns the first call of some away. A body that begins with
// NewForm leaves a record there which calls without it can't read: each such
// record has one of them fail.
type SharedLedger struct {
	listener  net.Listener
	took      time.Duration
	turnsAway int // the first call of one in so many requests; 0 for none

	mu      sync.Mutex
	seen    map[string]bool // requests that called
	repeats []time.Time
	newForm int // records that the old form's calls can't read
	inHand  int
	most    int
	done    int
	changed chan struct{} // closed and made anew when a call ends
}

// NewForm is what calls of a newer version's form begin with.
const NewForm = "new form "

// NewSharedLedger starts a ledger whose calls take a time each, and which turns
// the first call of one in turnsAway requests away; of none for 0.
func NewSharedLedger(address string, took time.Duration, turnsAway int) (*SharedLedger, error) {
	l, err := listen(address)
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	s := &SharedLedger{listener: l, took: took, turnsAway: turnsAway, seen: map[string]bool{}, changed: make(chan struct{})}
	go accept(l, s.serve)
	return s, nil
}

// Addr is where it listens.
func (s *SharedLedger) Addr() string { return s.listener.Addr().String() }

// Close ends it.
func (s *SharedLedger) Close() { closeIgnoringError(s.listener) }

// Count gives the most that was in hand at any instant since the last Count,
// how many calls have ended, and a channel that is closed when one more does.
func (s *SharedLedger) Count() (most, done int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, s.most = s.most, s.inHand
	return most, s.done, s.changed
}

// Repeats gives how many repeats came, and how many within any span at most.
func (s *SharedLedger) Repeats(span time.Duration) (all, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := 0
	for i, at := range s.repeats {
		for at.Sub(s.repeats[from]) >= span {
			from++
		}
		most = max(most, i-from+1)
	}
	return len(s.repeats), most
}

// repeated notes a call, and tells whether it is turned away. The lock is held.
func (s *SharedLedger) repeated(id string) (full bool) {
	if s.seen[id] {
		s.repeats = append(s.repeats, time.Now())
		return false
	}
	s.seen[id] = true
	return s.turnsAway > 0 && len(s.seen)%s.turnsAway == 0
}

func (s *SharedLedger) serve(nc net.Conn) {
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
		if s.repeated(words[1]) {
			s.mu.Unlock()
			mu.Lock()
			send(nc, "%s queue_full\r\n", words[1])
			mu.Unlock()
			continue
		}
		status := "posted"
		if strings.HasPrefix(string(body), NewForm) {
			s.newForm++
		} else if s.newForm > 0 {
			s.newForm--
			status = "error"
		}
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
			if status != "posted" {
				send(nc, "%s %s\r\n", words[1], status)
				return
			}
			result := Result(string(body))
			send(nc, "%s posted %d\r\n%s\r\n", words[1], len(result), result)
		})
	}
}
