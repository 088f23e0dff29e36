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

// SharedDependency is a fake of a dependency that a whole fleet shares: each call takes
// the same time there, whether it is abandoned or not. It counts how many calls were in
// flight at most, and how many retries came within a span at most. It rejects the first
// call of some of the requests that call it. A body that begins with NewForm leaves a
// record there which calls without it can't read: each such record has one of them fail.
type SharedDependency struct {
	listener    net.Listener
	duration    time.Duration
	rejectEvery int // the first call of one in so many requests; 0 for none

	mu          sync.Mutex
	seen        map[string]bool // requests that called
	retries     []time.Time
	newForm     int // records that the old form's calls can't read
	inFlight    int
	maxInFlight int
	completed   int
	changed     chan struct{} // closed and made anew when a call ends
}

// NewForm is what calls of a newer version's form begin with.
const NewForm = "new form "

// NewSharedDependency starts a dependency whose calls take so long each, and which
// rejects the first call of one in rejectEvery requests; of none for 0.
func NewSharedDependency(address string, duration time.Duration, rejectEvery int) (*SharedDependency, error) {
	l, err := listen(address)
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	s := &SharedDependency{listener: l, duration: duration, rejectEvery: rejectEvery, seen: map[string]bool{}, changed: make(chan struct{})}
	go accept(l, s.serve)
	return s, nil
}

// Addr is where it listens.
func (s *SharedDependency) Addr() string { return s.listener.Addr().String() }

// Close ends it.
func (s *SharedDependency) Close() { closeIgnoringError(s.listener) }

// Count returns how many calls were in flight at most since the last Count,
// how many calls have ended, and a channel that is closed when one more does.
func (s *SharedDependency) Count() (most, done int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, s.maxInFlight = s.maxInFlight, s.inFlight
	return most, s.completed, s.changed
}

// Retries gives how many repeats came, and how many within any span at most.
func (s *SharedDependency) Retries(span time.Duration) (all, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := 0
	for i, at := range s.retries {
		for at.Sub(s.retries[from]) >= span {
			from++
		}
		most = max(most, i-from+1)
	}
	return len(s.retries), most
}

// recordCall notes a call, and tells whether it is turned away. The lock is held.
func (s *SharedDependency) recordCall(id string) (full bool) {
	if s.seen[id] {
		s.retries = append(s.retries, time.Now())
		return false
	}
	s.seen[id] = true
	return s.rejectEvery > 0 && len(s.seen)%s.rejectEvery == 0
}

func (s *SharedDependency) serve(nc net.Conn) {
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
		if s.recordCall(words[1]) {
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
		s.inFlight++
		s.maxInFlight = max(s.maxInFlight, s.inFlight)
		s.mu.Unlock()
		time.AfterFunc(s.duration, func() {
			s.mu.Lock()
			s.inFlight--
			s.completed++
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
