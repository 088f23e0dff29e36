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

// SharedDependency is a fake of a dependency that a whole fleet shares. Each call takes the
// same time, even if it is abandoned. The fake counts the calls in flight and the retries,
// and rejects the first call of some requests with queue_full.
//
// A call whose body begins with NewFormPrefix stores a record that calls without the prefix
// can't read: for each such record, one later call without the prefix fails.
type SharedDependency struct {
	listener    net.Listener
	duration    time.Duration
	rejectEvery int // one in rejectEvery requests has its first call rejected; 0 for none

	mu             sync.Mutex
	seen           map[string]bool // ids of the calls received; a repeated id is a retry
	retries        []time.Time     // their arrival times
	newFormRecords int             // stored records that calls without NewFormPrefix can't read
	inFlight       int
	maxInFlight    int // since the last Count
	completed      int
	changed        chan struct{} // closed and replaced when a call ends
}

// NewFormPrefix begins the bodies of calls in the form that a newer version sends.
const NewFormPrefix = "new form "

// NewSharedDependency starts a shared dependency that listens at address. Each call takes
// duration. The first call of one in rejectEvery requests is rejected; 0 rejects none.
func NewSharedDependency(address string, duration time.Duration, rejectEvery int) (*SharedDependency, error) {
	l, err := listen(address)
	if err != nil {
		return nil, fmt.Errorf("fake shared dependency: %w", err)
	}
	s := &SharedDependency{listener: l, duration: duration, rejectEvery: rejectEvery, seen: map[string]bool{}, changed: make(chan struct{})}
	go accept(l, s.serve)
	return s, nil
}

// Addr returns the address that it listens at.
func (s *SharedDependency) Addr() string { return s.listener.Addr().String() }

// Close closes the listener. Open connections stay open.
func (s *SharedDependency) Close() { closeIgnoringError(s.listener) }

// Count returns the maximum number of calls in flight since the last Count, the number of
// calls that have ended, and a channel that is closed when the next call ends.
func (s *SharedDependency) Count() (most, done int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, s.maxInFlight = s.maxInFlight, s.inFlight
	return most, s.completed, s.changed
}

// Retries returns the number of retries, and the maximum number within any interval shorter
// than span.
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

// recordCall records a call and returns whether to reject it with queue_full. The lock is
// held.
func (s *SharedDependency) recordCall(id string) (full bool) {
	if s.seen[id] {
		s.retries = append(s.retries, time.Now())
		return false
	}
	s.seen[id] = true
	return s.rejectEvery > 0 && len(s.seen)%s.rejectEvery == 0
}

func (s *SharedDependency) serve(nc net.Conn) {
	var writing sync.Mutex // serializes the replies
	r := bufio.NewReader(nc)
	for {
		words, body, err := lines.Read(r, func(w []string) bool { return w[0] == "post" })
		if err != nil {
			return
		}
		if words[0] != "post" {
			continue // an abandoned call still takes its time
		}
		s.mu.Lock()
		if s.recordCall(words[1]) {
			s.mu.Unlock()
			writing.Lock()
			send(nc, "%s queue_full\r\n", words[1])
			writing.Unlock()
			continue
		}
		status := "posted"
		if strings.HasPrefix(string(body), NewFormPrefix) {
			s.newFormRecords++
		} else if s.newFormRecords > 0 {
			s.newFormRecords--
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
			writing.Lock()
			defer writing.Unlock()
			if status != "posted" {
				send(nc, "%s %s\r\n", words[1], status)
				return
			}
			result := Result(string(body))
			send(nc, "%s posted %d\r\n%s\r\n", words[1], len(result), result)
		})
	}
}
