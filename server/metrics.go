package server

import (
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/fleet"
	"quincerail.example/quincerail/guard"
	"quincerail.example/quincerail/transport"
)

// answerKinds are all kinds of answers.
var answerKinds = []dispatch.OutcomeKind{dispatch.Served, dispatch.Shed, dispatch.Failed, dispatch.TimedOut, dispatch.Rejected}

// metrics are a server's counts for its operators, in the Prometheus text
// format on a listener of the operator's own (github.com/prometheus/client_golang):
//
//	quincerail_answers_total{class,kind}    final answers; kind is served, refused, failed, deadline or rejected;
//	                                        class (dropped) holds what came under classes that are gone since
//	quincerail_repeats_total{class}         of those served, the ones with another try's result
//	quincerail_answer_seconds{class,kind}   from a request's coming to its answer
//	quincerail_connections_ended_total{reason}  of balancers, by why they ended
//	quincerail_unanswered_at_end_total{reason}  requests that were open as their connection ended, likewise
//	quincerail_discarded_bytes_total{reason}    bytes that were read and dropped as their connection ended, likewise
//	quincerail_rule_violations_total{rule}  rules of the platform that were broken, as the program itself found
//	quincerail_rule_denials_total{rule}     what was not done so that they were not
//	quincerail_open_requests                handed in and not answered yet: held, waiting and running
//	quincerail_fleet_alive                  members of the fleet that are thought to be alive
//	quincerail_fleet_owner                  1 while this process owns the lease on the registry's judgement
//	quincerail_fleet_messages_total         sent to other members; quincerail_fleet_bytes_total likewise
//	quincerail_fleet_dependency             how the shared dependency stands: 0 unknown, 1 good, 2 slow, 3 down
//	quincerail_fleet_rights{of}             calls, or repeats, that this member may have in hand, of the fleet's budget
//	quincerail_fleet_in_hand{of}            of them used
//	quincerail_fleet_free{of}               of the budget, that nobody holds; 0 but at voters
//	quincerail_fleet_answers{kind}          final answers of the whole fleet, as far as this member has heard
//	quincerail_fleet_stale_total            pieces of fleet work refused for their token
type metrics struct {
	core     atomic.Pointer[dispatch.Core] // whose open requests are counted, once there is one
	registry *prometheus.Registry
	answers  *prometheus.CounterVec
	repeats  *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	ended    *prometheus.CounterVec
	open     *prometheus.CounterVec // requests at a connection's end
	dropped  *prometheus.CounterVec // bytes at a connection's end
	count    func(kind string)      // for the whole fleet
	classes  []string               // in force; of the server's reloads alone
}

// tune drops what was counted of classes that are no longer in force. It comes after
// the core's Retune, from which on answers to these go by dispatch.DroppedClass.
func (m *metrics) tune(classes []string) {
	for _, old := range m.classes {
		if !slices.Contains(classes, old) {
			labels := prometheus.Labels{"class": old}
			m.answers.DeletePartialMatch(labels)
			m.repeats.DeletePartialMatch(labels)
			m.latency.DeletePartialMatch(labels)
		}
	}
	m.classes = classes
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(), count: func(string) {},
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "quincerail_answers_total",
			Help: "Final answers, by class and kind.",
		}, []string{"class", "kind"}),
		repeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "quincerail_repeats_total",
			Help: "Answers served with the result of another try of their key.",
		}, []string{"class"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "quincerail_answer_seconds",
			Help:    "Time from a request's coming to its final answer.",
			Buckets: []float64{0.01, 0.05, 0.1, 0.25, 0.5, 1, 1.8, 2.8, 5, 10},
		}, []string{"class", "kind"}),
	}
	m.ended = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "quincerail_connections_ended_total",
		Help: "Connections of balancers that ended, by reason.",
	}, []string{"reason"})
	m.open = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "quincerail_unanswered_at_end_total",
		Help: "Requests without an answer as their connection ended, by the reason of its end.",
	}, []string{"reason"})
	m.dropped = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "quincerail_discarded_bytes_total",
		Help: "Bytes that were read and dropped as their connection ended, by the reason of its end.",
	}, []string{"reason"})
	m.registry.MustRegister(m.answers, m.repeats, m.latency, m.ended, m.open, m.dropped,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "quincerail_open_requests",
			Help: "Requests handed in and not answered yet.",
		}, func() float64 {
			if c := m.core.Load(); c != nil {
				return float64(c.InFlight())
			}
			return 0
		}))
	return m
}

// watchFleet adds the counts of a fleet's member.
func (m *metrics) watchFleet(f *fleet.Fleet) {
	gauge := func(name, help string, of func(fleet.Stats) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return of(f.Stats()) })
	}
	count := func(name, help string, of func(fleet.Stats) float64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return of(f.Stats()) })
	}
	m.registry.MustRegister(
		gauge("quincerail_fleet_alive", "Members of the fleet that are thought to be alive.",
			func(s fleet.Stats) float64 { return float64(s.Alive) }),
		gauge("quincerail_fleet_owner", "1 while this process owns the lease on the registry's judgement.",
			func(s fleet.Stats) float64 {
				if s.Owner {
					return 1
				}
				return 0
			}),
		gauge("quincerail_fleet_dependency", "How the shared dependency stands: 0 unknown, 1 good, 2 slow, 3 down.",
			func(s fleet.Stats) float64 {
				return map[fleet.State]float64{fleet.Good: 1, fleet.Slow: 2, fleet.Down: 3}[s.State]
			}),
		count("quincerail_fleet_messages_total", "Messages sent to other members.",
			func(s fleet.Stats) float64 { return float64(s.Messages) }),
		count("quincerail_fleet_bytes_total", "Bytes sent to other members.",
			func(s fleet.Stats) float64 { return float64(s.Bytes) }),
		count("quincerail_fleet_stale_total", "Pieces of fleet work refused for their token.",
			func(s fleet.Stats) float64 { return float64(s.Stale) }))
	for _, of := range []string{fleet.Calls, fleet.Repeats} {
		if f.QuotaAgent(of) == nil {
			continue
		}
		labels := prometheus.Labels{"of": of}
		m.registry.MustRegister(
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "quincerail_fleet_rights", ConstLabels: labels,
				Help: "What this member may have in hand of the fleet's budget.",
			},
				func() float64 { return float64(f.Stats().Budgets[of].Rights) }),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "quincerail_fleet_in_hand", ConstLabels: labels,
				Help: "What this member has in hand of the fleet's budget.",
			},
				func() float64 { return float64(f.Stats().Budgets[of].InHand) }),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "quincerail_fleet_free", ConstLabels: labels,
				Help: "What of the fleet's budget nobody holds, by a voter's log.",
			},
				func() float64 { return float64(f.Stats().Budgets[of].Free) }))
	}
	calls := f.QuotaAgent(fleet.Calls)
	if calls == nil {
		return
	}
	m.count = calls.AddToCounter
	for _, kind := range answerKinds {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "quincerail_fleet_answers",
			ConstLabels: prometheus.Labels{"kind": kind.String()}, Help: "Final answers of the whole fleet, as far as this member has heard.",
		},
			func() float64 { return float64(calls.CounterValue(kind.String())) }))
	}
}

// ObserveResponse implements dispatch.Observer.
func (m *metrics) ObserveResponse(class string, kind dispatch.OutcomeKind, took time.Duration, repeat bool) {
	name := kind.String()
	m.answers.WithLabelValues(class, name).Inc()
	m.count(name)
	m.latency.WithLabelValues(class, name).Observe(took.Seconds())
	if repeat {
		m.repeats.WithLabelValues(class).Inc()
	}
}

// watchRules adds the counts of broken rules, and of what was denied to keep them.
func (m *metrics) watchRules(monitor *guard.Monitor) {
	for _, rule := range guard.Rules {
		labels := prometheus.Labels{"rule": string(rule)}
		m.registry.MustRegister(
			prometheus.NewCounterFunc(prometheus.CounterOpts{
				Name: "quincerail_rule_violations_total", ConstLabels: labels,
				Help: "Rules of the platform that were broken, by rule.",
			},
				func() float64 { return float64(monitor.Violations(rule)) }),
			prometheus.NewCounterFunc(prometheus.CounterOpts{
				Name: "quincerail_rule_denials_total", ConstLabels: labels,
				Help: "What was not done as it would have broken a rule, by rule.",
			},
				func() float64 { return float64(monitor.Denials(rule)) }))
	}
}

// connectionEnded counts a connection's end, with the requests that had no answer then; a
// nil receiver counts nothing.
func (m *metrics) connectionEnded(end transport.Ending, unanswered int) {
	if m == nil {
		return
	}
	reason := string(end.Reason)
	m.ended.WithLabelValues(reason).Inc()
	m.open.WithLabelValues(reason).Add(float64(unanswered))
	m.dropped.WithLabelValues(reason).Add(float64(end.DiscardedBytes) + float64(end.PartialBytes))
}

// handler offers /metrics.
func (m *metrics) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	return mux
}
