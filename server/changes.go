package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/fleet/rollout"
)

// observers tells several.
type observers []dispatch.Observer

// ObserveResponse implements dispatch.Observer.
func (o observers) ObserveResponse(class string, kind dispatch.OutcomeKind, took time.Duration, repeat bool) {
	for _, x := range o {
		x.ObserveResponse(class, kind, took, repeat)
	}
}

// tally counts what a rollout compares servers by.
type tally struct {
	mu     sync.Mutex
	aims   map[string]time.Duration // by class
	totals rollout.Totals
}

// tune takes over the classes' aims.
func (t *tally) tune(names []string, s decision.Settings) {
	aims := make(map[string]time.Duration, len(names))
	for i, name := range names {
		aims[name] = s.Classes[i].LatencyObjective
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.aims = aims
}

// ObserveResponse implements dispatch.Observer.
func (t *tally) ObserveResponse(class string, kind dispatch.OutcomeKind, took time.Duration, _ bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals.Requests++
	switch kind {
	case dispatch.Shed:
		t.totals.Rejected++
	case dispatch.Failed, dispatch.TimedOut:
		t.totals.Failed++
	case dispatch.Served:
		if aim, ok := t.aims[class]; ok && took > aim {
			t.totals.Late++
		}
		for i := 0; i < len(rollout.LatencyBounds) && took >= rollout.LatencyBounds[i]; i++ {
			t.totals.SlowerThan[i]++
		}
	}
}

// changeable is what the fleet's rollouts change: fleet.Target.
type changeable struct {
	*tally
	server *Server
}

// Totals implements fleet.Target.
func (c changeable) Totals() rollout.Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.totals
}

// Apply implements fleet.Target.
func (c changeable) Apply(patch json.RawMessage) error {
	s := c.server
	s.reloading.Lock()
	defer s.reloading.Unlock()
	next, err := s.file.WithPatch(patch)
	if err != nil {
		return err
	}
	if err := s.keepsClasses(next); err != nil {
		return err
	}
	if err := s.reload(next, nil); err != nil {
		return err
	}
	s.patch = patch
	return nil
}

// keepsClasses rejects settings without a class that the rules, or the uwsgi
// front, lead to: valid alone, they would have requests of no class.
func (s *Server) keepsClasses(c *config.Config) error {
	if s.uwsgi == nil && s.file.Rules == nil {
		return nil
	}
	return c.CheckClasses(s.file)
}

// serveHTTP serves an operators' listener until the server is closed; event names
// it in the log.
func serveHTTP(event, address string, h http.Handler, log *slog.Logger) (*http.Server, net.Addr, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", event, err)
	}
	hs := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		if err := hs.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Warn(event+"_stopped", "error", err.Error())
		}
	}()
	log.Info(event, "address", l.Addr().String())
	return hs, l.Addr(), nil
}
