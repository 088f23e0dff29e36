package server

import (
	"sync"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/fleet/rollout"
)

// observer returns the observer that the core calls for each response, nil if there is none.
func (s *Server) observer() dispatch.Observer {
	var observers multiObserver
	if s.recorder != nil {
		observers = append(observers, s.recorder)
	}
	if s.outcomes != nil {
		observers = append(observers, s.outcomes)
	}
	if len(observers) == 0 {
		return nil
	}
	return observers
}

// multiObserver calls several observers for each response.
type multiObserver []dispatch.Observer

// ObserveResponse implements dispatch.Observer.
func (m multiObserver) ObserveResponse(class string, kind dispatch.OutcomeKind, took time.Duration, duplicate bool) {
	for _, o := range m {
		o.ObserveResponse(class, kind, took, duplicate)
	}
}

// outcomeCounter counts the outcomes and latencies of this process's requests. A rollout
// compares servers by these counts. Its methods may be called from any goroutine.
type outcomeCounter struct {
	mu         sync.Mutex
	objectives map[string]time.Duration // latency objective by class
	totals     rollout.Totals
}

// setObjectives sets the latency objectives of the classes.
func (o *outcomeCounter) setObjectives(classes []string, settings decision.Settings) {
	objectives := make(map[string]time.Duration, len(classes))
	for i, class := range classes {
		objectives[class] = settings.Classes[i].LatencyObjective
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objectives = objectives
}

// ObserveResponse implements dispatch.Observer.
func (o *outcomeCounter) ObserveResponse(class string, kind dispatch.OutcomeKind, took time.Duration, _ bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.totals.Requests++
	switch kind {
	case dispatch.Shed:
		o.totals.Rejected++
	case dispatch.Failed, dispatch.TimedOut:
		o.totals.Failed++
	case dispatch.Served:
		o.addLatencyLocked(class, took)
	}
}

// addLatencyLocked counts the latency of a served request. The caller holds o.mu.
func (o *outcomeCounter) addLatencyLocked(class string, took time.Duration) {
	if objective, ok := o.objectives[class]; ok && took > objective {
		o.totals.Late++
	}
	for i, bound := range rollout.LatencyBounds {
		if took < bound {
			break
		}
		o.totals.SlowerThan[i]++
	}
}

// Totals returns the counts since the process started.
func (o *outcomeCounter) Totals() rollout.Totals {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.totals
}
