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

// ChangeStatus requests the status of the fleet's changes from a voter, as an operator does.
func (f *Fleet) ChangeStatus(name string) (s fleet.RolloutStatus, err error) {
	address, err := f.OperatorAddress(name)
	if err != nil {
		return s, err
	}
	client := http.Client{Timeout: 2 * time.Second} // a paused voter doesn't respond
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
		return s, fmt.Errorf("fleettest: GET /changes of %s: status %s", name, resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return s, fmt.Errorf("fleettest: %w", err)
	}
	return s, nil
}

// OperatorAddress returns the address of a voter's operator API.
func (f *Fleet) OperatorAddress(name string) (string, error) {
	for _, l := range slices.Backward(f.Lines()) {
		if l.Child == name && l.Event == "operators" {
			return l.Fields["address"], nil
		}
	}
	return "", fmt.Errorf("fleettest: %s has not logged its address for operators", name)
}

// Starter is a fake of the operator's program starter. It polls the voters for the version
// that each member should run, and replaces the members that run another version, one at a
// time. It ignores a voter's status if it has already seen a newer one.
type Starter struct {
	f      *Fleet
	refuse func(name, version string) bool
	stop   chan struct{}
	done   chan struct{}

	mu         sync.Mutex
	index      uint64         // log index of the newest status seen
	maxRunning map[string]int // maximum number of members that ran a version at one time
	failed     error          // of the last replacement that failed
}

// Starter starts a Starter. It skips the replacements for which refuse returns true; refuse
// may be nil.
func (f *Fleet) Starter(refuse func(name, version string) bool) *Starter {
	s := &Starter{f: f, refuse: refuse, stop: make(chan struct{}), done: make(chan struct{}), maxRunning: map[string]int{}}
	go s.run()
	return s
}

// starterPollInterval is the pause of a Starter between two rounds of polls.
const starterPollInterval = 50 * time.Millisecond

func (s *Starter) run() {
	defer close(s.done)
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(starterPollInterval):
		}
		for _, name := range slices.Sorted(maps.Keys(s.f.Children)) {
			if !strings.HasPrefix(name, "v") {
				continue
			}
			status, err := s.f.ChangeStatus(name)
			if err != nil || status.Record.Index < s.index {
				continue // the voter is paused, or its status is older
			}
			s.index = status.Record.Index
			if s.replaceOne(status.DesiredVersions) {
				break // the status is outdated after a replacement
			}
		}
	}
}

// replaceOne replaces the first member whose version differs from the desired one. It skips
// members for which refuse returns true. It returns whether it tried a replacement.
func (s *Starter) replaceOne(desired map[string]string) bool {
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
		s.maxRunning[version] = max(s.maxRunning[version], running)
		s.mu.Unlock()
		return true
	}
	return false
}

// Stop stops the starter. It returns the maximum number of members that ran each started
// version at one time, and the error of the last replacement that failed.
func (s *Starter) Stop() (most map[string]int, err error) {
	close(s.stop)
	<-s.done
	return s.maxRunning, s.failed
}

// Running returns the number of members that run the given version, or will run it when
// their next process starts.
func (f *Fleet) Running(version string) (n int) {
	for _, c := range f.Children {
		if *c.version.Load() == version {
			n++
		}
	}
	return n
}
