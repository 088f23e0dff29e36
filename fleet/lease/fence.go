package lease

import (
	"fmt"
	"maps"
	"sync"
)

// StaleTokenError is why a receiver refused fleet work: it has seen a later owner.
type StaleTokenError struct {
	Lease          string
	Token, Highest Token
}

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("lease %s: token %s is stale, %s was seen", e.Lease, e.Token, e.Highest)
}

// Fence is a receiver's memory of the highest token of each lease. The zero
// Fence has seen none. Its methods are safe for concurrent use.
type Fence struct {
	mu      sync.Mutex
	highest map[string]Token
}

// Admit records a token that came with fleet work. The error is a *StaleError
// where a higher one of the lease was seen before; the work must then be
// refused, and change nothing.
func (f *Fence) Admit(name string, t Token) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if high := f.highest[name]; t.Compare(high) < 0 {
		return &StaleTokenError{name, t, high}
	}
	if f.highest == nil {
		f.highest = make(map[string]Token)
	}
	f.highest[name] = t
	return nil
}

// Highest gives the highest token seen of each lease, for keeping.
func (f *Fence) Highest() map[string]Token {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.highest)
}
