// Package frontend holds what the fronts share. Each front, a package below this one, reads
// the messages of one protocol, submits their requests to the core, and writes the outcomes.
package frontend

import "sync"

// ConnSet is the set of a front's open connections. Its methods may be called from any
// goroutine.
type ConnSet[T comparable] struct {
	mu   sync.Mutex
	open map[T]struct{}
}

// Add puts a connection into the set.
func (s *ConnSet[T]) Add(c T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[T]struct{})
	}
	s.open[c] = struct{}{}
}

// Remove takes a connection out of the set.
func (s *ConnSet[T]) Remove(c T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// Each calls f for every connection that was open when it was called, without the lock.
func (s *ConnSet[T]) Each(f func(T)) {
	for _, c := range s.snapshot() {
		f(c)
	}
}

// Count returns how many connections f holds for.
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
