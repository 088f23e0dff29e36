// Package metrics counts what a server does, for Prometheus.
package metrics

import (
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/guard"
	"quincerail.example/quincerail/transport"
)

// Labels of the collectors.
const (
	labelClass  = "class"
	labelKind   = "kind"   // of an answer
	labelReason = "reason" // of a connection's end
	labelRule   = "rule"
	labelBudget = "of" // the fleet's budget: of calls or of repeats
)

// answerKinds are all kinds of answers.
var answerKinds = []dispatch.OutcomeKind{
	dispatch.Served, dispatch.Shed, dispatch.Failed, dispatch.TimedOut, dispatch.Rejected,
}

// latencyBuckets are the upper bounds of the answer times, in seconds.
var latencyBuckets = []float64{0.01, 0.05, 0.1, 0.25, 0.5, 1, 1.8, 2.8, 5, 10}

// Recorder counts a server's answers and connections. Its collectors are:
//
//	quincerail_answers_total{class,kind}    final answers; kind is served, refused, failed, deadline or rejected;
//	                                        class (dropped) holds what came under classes that are gone since
//	quincerail_repeats_total{class}         of those served, the ones with another attempt's result
//	quincerail_answer_seconds{class,kind}   from a request's arrival to its answer
//	quincerail_connections_ended_total{reason}  of balancers, by why they ended
//	quincerail_unanswered_at_end_total{reason}  requests that were open as their connection ended, likewise
//	quincerail_discarded_bytes_total{reason}    bytes that were read and dropped as their connection ended, likewise
//	quincerail_rule_violations_total{rule}  rules of the platform that were broken, as the program itself found
//	quincerail_rule_denials_total{rule}     what was not done so that they were not
//	quincerail_open_requests                submitted and not answered yet: held, waiting and running
//	quincerail_fleet_alive                  members of the fleet that are thought to be alive
//	quincerail_fleet_owner                  1 while this process owns the lease on the dependency's health check
//	quincerail_fleet_messages_total         sent to other members; quincerail_fleet_bytes_total likewise
//	quincerail_fleet_dependency             the shared dependency's health: 0 unknown, 1 good, 2 slow, 3 down
//	quincerail_fleet_rights{of}             calls, or repeats, that this member may have in flight, of the fleet's budget
//	quincerail_fleet_in_hand{of}            of them used
//	quincerail_fleet_free{of}               of the budget, that no member holds; 0 but at voters
//	quincerail_fleet_answers{kind}          final answers of the whole fleet, as far as this member knows
//	quincerail_fleet_stale_total            pieces of fleet work refused for their token
//
// RegisterFleet, RegisterRules and the first SetClasses must be called before the first
// request, and SetClasses by one goroutine at a time. The other methods may be called
// from any goroutine.
type Recorder struct {
	registry *prometheus.Registry
	core     atomic.Pointer[dispatch.Core] // nil until SetCore

	answers *prometheus.CounterVec
	repeats *prometheus.CounterVec
	latency *prometheus.HistogramVec

	connectionsEnded *prometheus.CounterVec
	unansweredAtEnd  *prometheus.CounterVec
	discardedBytes   *prometheus.CounterVec

	countFleetAnswer func(kind string) // for the whole fleet; does nothing outside a fleet with a budget of calls
	classes          []string          // in force
}

// NewRecorder returns a recorder with the collectors of one process. Those of the
// fleet and of the rules are added by RegisterFleet and RegisterRules.
func NewRecorder() *Recorder {
	r := &Recorder{
		registry:         prometheus.NewRegistry(),
		countFleetAnswer: func(string) {},
		answers: newCounterVec("quincerail_answers_total",
			"Final answers, by class and kind.", labelClass, labelKind),
		repeats: newCounterVec("quincerail_repeats_total",
			"Answers served with the result of another try of their key.", labelClass),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "quincerail_answer_seconds",
			Help:    "Time from a request's coming to its final answer.",
			Buckets: latencyBuckets,
		}, []string{labelClass, labelKind}),
		connectionsEnded: newCounterVec("quincerail_connections_ended_total",
			"Connections of balancers that ended, by reason.", labelReason),
		unansweredAtEnd: newCounterVec("quincerail_unanswered_at_end_total",
			"Requests without an answer as their connection ended, by the reason of its end.", labelReason),
		discardedBytes: newCounterVec("quincerail_discarded_bytes_total",
			"Bytes that were read and dropped as their connection ended, by the reason of its end.", labelReason),
	}
	r.registry.MustRegister(r.answers, r.repeats, r.latency, r.connectionsEnded, r.unansweredAtEnd, r.discardedBytes,
		newGauge("quincerail_open_requests", "Requests handed in and not answered yet.", nil, r.openRequests))
	return r
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func newGauge(name, help string, labels prometheus.Labels, value func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: labels}, value)
}

func newCounter(name, help string, labels prometheus.Labels, value func() float64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels}, value)
}

// SetCore sets the core whose open requests are reported; until then there are none.
func (r *Recorder) SetCore(core *dispatch.Core) { r.core.Store(core) }

func (r *Recorder) openRequests() float64 {
	if core := r.core.Load(); core != nil {
		return float64(core.InFlight())
	}
	return 0
}

// SetClasses drops the counts of classes that are no longer in force. It must be called
// after the core's UpdateSettings: from then on answers to these classes are counted
// under dispatch.DroppedClass.
func (r *Recorder) SetClasses(classes []string) {
	for _, class := range r.classes {
		if slices.Contains(classes, class) {
			continue
		}
		labels := prometheus.Labels{labelClass: class}
		r.answers.DeletePartialMatch(labels)
		r.repeats.DeletePartialMatch(labels)
		r.latency.DeletePartialMatch(labels)
	}
	r.classes = classes
}

// ObserveResponse implements dispatch.Observer.
func (r *Recorder) ObserveResponse(class string, kind dispatch.OutcomeKind, took time.Duration, repeat bool) {
	name := kind.String()
	r.answers.WithLabelValues(class, name).Inc()
	r.countFleetAnswer(name)
	r.latency.WithLabelValues(class, name).Observe(took.Seconds())
	if repeat {
		r.repeats.WithLabelValues(class).Inc()
	}
}

// RegisterRules adds the counts of rules that were broken, and of what was denied to
// keep them.
func (r *Recorder) RegisterRules(monitor *guard.Monitor) {
	for _, rule := range guard.Rules {
		labels := prometheus.Labels{labelRule: string(rule)}
		r.registry.MustRegister(
			newCounter("quincerail_rule_violations_total", "Rules of the platform that were broken, by rule.",
				labels, func() float64 { return float64(monitor.Violations(rule)) }),
			newCounter("quincerail_rule_denials_total", "What was not done as it would have broken a rule, by rule.",
				labels, func() float64 { return float64(monitor.Denials(rule)) }),
		)
	}
}

// ConnectionEnded counts a connection's end, with the number of requests on it that had
// no answer then.
func (r *Recorder) ConnectionEnded(end transport.Ending, unanswered int) {
	reason := string(end.Reason)
	r.connectionsEnded.WithLabelValues(reason).Inc()
	r.unansweredAtEnd.WithLabelValues(reason).Add(float64(unanswered))
	r.discardedBytes.WithLabelValues(reason).Add(float64(end.DiscardedBytes) + float64(end.PartialBytes))
}

// Handler returns the handler that serves /metrics in the Prometheus text format.
func (r *Recorder) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{}))
	return mux
}
