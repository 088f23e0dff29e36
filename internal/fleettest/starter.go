package fleettest

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"quincerail.example/quincerail/fleet"
)

// Change asks a voter about the fleet's changes, as an operator does.
func (f *Fleet) Change(name string) (s fleet.RolloutStatus, err error) {
	address, err := f.Operators(name)
	if err != nil {
		return s, err
	}
	client := http.Client{Timeout: 2 * time.Second} // a voter may be stopped
	defer client.CloseIdleConnections()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/changes", http.NoBody)
	if err != nil {
		return s, fmt.Errorf("fleettest: %w", err)
	}
	resp, err := client.Do(request)
	if err != nil {
		return s, fmt.Errorf("fleettest: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("fleettest: %s: %s", name, resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return s, fmt.Errorf("fleettest: %w", err)
	}
	return s, nil
}

// Operators gives where operators call a voter about the fleet's changes.
func (f *Fleet) Operators(name string) (string, error) {
	for _, l := range slices.Backward(f.Lines()) {
		if l.Child == name && l.Event == "operators" {
			return l.Fields["address"], nil
		}
	}
	return "", fmt.Errorf("fleettest: %s has not said where operators call it", name)
}

// Starter stands in for the operator's starter of programs: it asks the voters
// which version each member is to run, and replaces those that run another, one
// after the other. It is a receiver of fleet work: what is older than what it has
// seen it does not carry out.
type Starter struct {
	f      *Fleet
	refuse func(name, version string) bool
	stop   chan struct{}
	done   chan struct{}

	mu     sync.Mutex
	index  uint64
	most   map[string]int // members that ran a version at one time, at most
	failed error
}

// Starter starts one. refuse tells which replacements fail; nil for none.
func (f *Fleet) Starter(refuse func(name, version string) bool) *Starter {
	s := &Starter{f: f, refuse: refuse, stop: make(chan struct{}), done: make(chan struct{}), most: map[string]int{}}
	go s.run()
	return s
}

// starterEvery is how often the starter asks.
const starterEvery = 50 * time.Millisecond

func (s *Starter) run() {
	defer close(s.done)
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(starterEvery):
		}
		for _, name := range slices.Sorted(maps.Keys(s.f.Children)) {
			if !strings.HasPrefix(name, "v") {
				continue
			}
			status, err := s.f.Change(name)
			if err != nil || status.Record.Index < s.index {
				continue // it is stopped, or behind
			}
			s.index = status.Record.Index
			if s.carryOut(status.DesiredVersions) {
				break // that took its time
			}
		}
	}
}

// carryOut replaces one member that runs another version than it should, if any.
func (s *Starter) carryOut(desired map[string]string) bool {
	for _, name := range slices.Sorted(maps.Keys(desired)) {
		c, version := s.f.Children[name], desired[name]
		if *c.version.Load() == version || s.refuse != nil && s.refuse(name, version) {
			continue
		}
		if err := s.f.Replace(name, version); err != nil {
			s.mu.Lock()
			s.failed = err
			s.mu.Unlock()
			return true
		}
		s.mu.Lock()
		running := 0
		for _, o := range s.f.Children {
			if *o.version.Load() == version {
				running++
			}
		}
		s.most[version] = max(s.most[version], running)
		s.mu.Unlock()
		return true
	}
	return false
}

// Stop ends the starter, and gives how many members ran each version that it
// started at one time, at most, and what failed.
func (s *Starter) Stop() (most map[string]int, err error) {
	close(s.stop)
	<-s.done
	return s.most, s.failed
}

// Running counts the members that run a version.
func (f *Fleet) Running(version string) (n int) {
	for _, c := range f.Children {
		if *c.version.Load() == version {
			n++
		}
	}
	return n
}
