package lease

import (
	"fmt"
	"maps"
	"sync"
)

// StaleTokenError reports that a receiver rejected fleet work because it has
// seen a higher fencing token of the same lease.
type StaleTokenError struct {
	Lease   string
	Token   Token // token of the rejected work
	Highest Token // highest token that the receiver has seen
}

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("lease %s: token %s is stale: the highest token seen is %s", e.Lease, e.Token, e.Highest)
}

// Fence records the highest token that a receiver has seen for each lease. The
// zero Fence has seen none. Its methods are safe for concurrent use.
type Fence struct {
	mu      sync.Mutex
	highest map[string]Token
}

// Admit records the token of received fleet work. It returns a *StaleTokenError
// if the receiver has seen a higher token of the lease before; the receiver must
// then reject the work.
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

// Highest returns a copy of the highest tokens seen, by lease name.
func (f *Fence) Highest() map[string]Token {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.highest)
}
