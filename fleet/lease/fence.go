package lease

import (
	"fmt"
	"maps"
	"sync"
)

// StaleTokenError reports that a receiver refused fleet work because it has seen
// a higher fencing token of the same lease.
type StaleTokenError struct {
	Lease   string
	Token   Token // of the refused work
	Highest Token // that the receiver has seen
}

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("lease %s: token %s is stale, %s was seen", e.Lease, e.Token, e.Highest)
}

// Fence is a receiver's record of the highest token that it has seen of each
// lease. The zero Fence has seen none. Its methods are safe for concurrent use.
type Fence struct {
	mu      sync.Mutex
	highest map[string]Token
}

// Admit records a token that came with fleet work. It returns a
// *StaleTokenError if a higher token of the lease was seen before; the receiver
// must then refuse the work.
func (f *Fence) Admit(leaseName string, token Token) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if highest := f.highest[leaseName]; token.Compare(highest) < 0 {
		return &StaleTokenError{Lease: leaseName, Token: token, Highest: highest}
	}
	if f.highest == nil {
		f.highest = make(map[string]Token)
	}
	f.highest[leaseName] = token
	return nil
}

// Highest returns a copy of the highest token seen of each lease.
func (f *Fence) Highest() map[string]Token {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.highest)
}
