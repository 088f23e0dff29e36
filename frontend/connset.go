// Package frontend has the code shared by the frontends. Each frontend is a subpackage: it
// reads the messages of one protocol, submits their requests to the core, and writes the
// responses.
package frontend

import "sync"

// ConnSet is the set of open connections of a frontend. The zero value is an empty set. Its
// methods may be called from any goroutine.
type ConnSet[T comparable] struct {
	mu   sync.Mutex
	open map[T]struct{}
}

// Add adds c to the set.
func (s *ConnSet[T]) Add(c T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[T]struct{})
	}
	s.open[c] = struct{}{}
}

// Remove removes c from the set, if present.
func (s *ConnSet[T]) Remove(c T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// Each calls f for every connection in a snapshot of the set. f may call methods of the set,
// because Each does not hold the lock during the call.
func (s *ConnSet[T]) Each(f func(T)) {
	for _, c := range s.snapshot() {
		f(c)
	}
}

// Count returns the number of connections for which f returns true.
func (s *ConnSet[T]) Count(f func(T) bool) int {
	count := 0
	s.Each(func(c T) {
		if f(c) {
			count++
		}
	})
	return count
}

func (s *ConnSet[T]) snapshot() []T {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]T, 0, len(s.open))
	for c := range s.open {
		open = append(open, c)
	}
	return open
}
