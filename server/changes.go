package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/fleet"
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

// askWithin is how long the fleet's log may take to take an operator's order.
const askWithin = 5 * time.Second

// ChangeRequest is what operators send to start a rollout: a plan, with the
// settings for one of settings.
type ChangeRequest struct {
	Plan     rollout.Plan    `json:"plan"`
	Settings json.RawMessage `json:"settings,omitempty"`
}

// newChangesDoor is where operators call about rollouts, at the path /changes: GET
// a fleet.ChangeStatus, POST a ChangeRequest, DELETE halts the plan of the query's
// id, with its reason.
func newChangesDoor(f *fleet.Fleet) *fleetDoor {
	return &fleetDoor{
		tell:     func() (any, error) { return f.Change() },
		mostBody: 4 << 20,
		begin: func(ctx context.Context, body *json.Decoder) error {
			var c ChangeRequest
			body.DisallowUnknownFields()
			if err := body.Decode(&c); err != nil {
				return badBody{err}
			}
			return f.StartChange(ctx, c.Plan, c.Settings)
		},
		end: func(ctx context.Context, query url.Values) error {
			return f.StopChange(ctx, query.Get("id"), query.Get("reason"))
		},
	}
}

// fleetDoor is where operators call about something of the fleet, over HTTP: GET tells
// how it stands, in JSON, POST begins something, DELETE ends it. 409 and a line say why
// an order was turned down; 400 that it makes no sense; 421 that this process is no
// voter; 503 that the fleet's log does not take orders now.
type fleetDoor struct {
	tell     func() (any, error)
	mostBody int64 // bytes that POST brings
	begin    func(ctx context.Context, body *json.Decoder) error
	end      func(ctx context.Context, query url.Values) error
}

// badBody is why an order makes no sense.
type badBody struct{ error }

// ServeHTTP implements http.Handler.
func (d *fleetDoor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), askWithin)
	defer cancel()
	var err error
	switch r.Method {
	case http.MethodGet:
		var v any
		if v, err = d.tell(); err == nil {
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(v) // to one who has left, if it fails
			return
		}
	case http.MethodPost:
		err = d.begin(ctx, json.NewDecoder(http.MaxBytesReader(w, r.Body, d.mostBody)))
	case http.MethodDelete:
		err = d.end(ctx, r.URL.Query())
	default:
		w.Header().Set("Allow", "GET, POST, DELETE")
		http.Error(w, r.Method, http.StatusMethodNotAllowed)
		return
	}
	answer(w, err)
}

// answer tells what came of an operator's order.
func answer(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		w.WriteHeader(http.StatusNoContent)
	case errors.As(err, &badBody{}):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case errors.Is(err, fleet.ErrNoVoter):
		http.Error(w, err.Error(), http.StatusMisdirectedRequest)
	case errors.Is(err, context.DeadlineExceeded):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, err.Error(), http.StatusConflict)
	}
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
