package server

import "sync"

// registry holds a front's open connections.
type registry[T comparable] struct {
	mu   *sync.Mutex
	open map[T]struct{}
}

func newRegistry[T comparable]() registry[T] {
	return registry[T]{new(sync.Mutex), make(map[T]struct{})}
}

func (r registry[T]) add(c T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[c] = struct{}{}
}

func (r registry[T]) remove(c T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
}

// each calls f for every connection, outside the lock.
func (r registry[T]) each(f func(T)) {
	r.mu.Lock()
	all := make([]T, 0, len(r.open))
	for c := range r.open {
		all = append(all, c)
	}
	r.mu.Unlock()
	for _, c := range all {
		f(c)
	}
}
