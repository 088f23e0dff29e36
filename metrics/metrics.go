// Package metrics exports a server's counters and gauges to Prometheus.
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

// The labels of the collectors.
const (
	labelClass    = "class"
	labelKind     = "kind"   // the outcome's kind
	labelReason   = "reason" // why a connection closed
	labelRule     = "rule"
	labelBudget   = "of"       // the fleet's budget: calls or repeats (retries)
	labelListener = "listener" // its name in log events
	labelWithheld = "withheld" // what the peer of a connection withheld
)

// outcomeKinds are all kinds of outcomes.
var outcomeKinds = []dispatch.OutcomeKind{
	dispatch.Served, dispatch.Shed, dispatch.Failed, dispatch.TimedOut, dispatch.Rejected,
}

// latencyBuckets are the upper bounds of the latency histogram's buckets, in seconds.
var latencyBuckets = []float64{0.01, 0.05, 0.1, 0.25, 0.5, 1, 1.8, 2.8, 5, 10}

// Recorder counts a server's responses and connections. Its collectors are:
//
//	quincerail_answers_total{class,kind}    final responses; kind is served, refused, failed, deadline or rejected;
//	                                        class (dropped) counts requests of classes that were removed since
//	quincerail_repeats_total{class}         served responses with the result of another attempt of their key
//	quincerail_answer_seconds{class,kind}   time from a request's arrival to its final response
//	quincerail_connections_ended_total{reason}  closed connections of balancers
//	quincerail_unanswered_at_end_total{reason}  requests without a response when their connection closed
//	quincerail_discarded_bytes_total{reason}    bytes read and discarded when their connection closed
//	quincerail_connections{listener}                         open connections, including one that waits for a slot
//	quincerail_connection_turns_exhausted_total{listener}    times that a connection had to wait because its peer sends too fast
//	quincerail_input_bytes                                   memory for messages that have not arrived completely
//	quincerail_input_limit_bytes                             limit on that memory
//	quincerail_input_reclaimed_total                         connections closed to give their memory for input to others
//	quincerail_input_rejected_total                          messages rejected because no memory for input was left
//	quincerail_connections_limit{listener}                   limit on open connections
//	quincerail_connections_over_limit_total{listener}        connections accepted over the limit, to shed their requests
//	quincerail_connections_withheld_total{listener,withheld} connections closed because their peers withheld the first
//	                                                         message, the rest of one, or reading
//	quincerail_rule_violations_total{rule}  violations of the platform's rules that the program detected
//	quincerail_rule_denials_total{rule}     operations that were denied because they would have broken a rule
//	quincerail_open_requests                requests without a response yet: held, queued and running
//	quincerail_fleet_alive                  members of the fleet that are considered alive
//	quincerail_fleet_owner                  1 while this process owns the lease on the dependency's health check
//	quincerail_fleet_messages_total         messages sent to other members
//	quincerail_fleet_bytes_total            bytes sent to other members
//	quincerail_fleet_dependency             the shared dependency's health: 0 unknown, 1 good, 2 slow, 3 down
//	quincerail_fleet_rights{of}             rights of this member to the fleet's budget: calls in flight, or retries per second
//	quincerail_fleet_in_hand{of}            those of this member's rights that are in use
//	quincerail_fleet_free{of}               rights of the budget that no member holds; 0 except at voters
//	quincerail_fleet_answers{kind}          final responses of the whole fleet, as far as this member knows
//	quincerail_fleet_stale_total            updates of the dependency's health that were rejected for a stale fencing token
//
// RegisterFleet, RegisterRules, RegisterListener, RegisterInput and the first SetClasses must be called before
// the first request. Only one goroutine at a time may call SetClasses. The other methods may be called
// from any goroutine.
type Recorder struct {
	registry *prometheus.Registry
	core     atomic.Pointer[dispatch.Core] // nil until SetCore

	responses  *prometheus.CounterVec
	duplicates *prometheus.CounterVec
	latency    *prometheus.HistogramVec

	connectionsEnded *prometheus.CounterVec
	unansweredAtEnd  *prometheus.CounterVec
	discardedBytes   *prometheus.CounterVec

	countFleetResponse func(kind string) // adds to the fleet's counters; does nothing without a fleet budget of calls
	classes            []string          // the classes of the current settings
}

// NewRecorder returns a recorder with the collectors of one process. RegisterFleet and
// RegisterRules add the collectors of the fleet and of the rules, RegisterListener those of a
// listener.
func NewRecorder() *Recorder {
	r := &Recorder{
		registry:           prometheus.NewRegistry(),
		countFleetResponse: func(string) {},
		responses: newCounterVec("quincerail_answers_total",
			"Final answers, by class and kind.", labelClass, labelKind),
		duplicates: newCounterVec("quincerail_repeats_total",
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
	r.registry.MustRegister(r.responses, r.duplicates, r.latency, r.connectionsEnded, r.unansweredAtEnd, r.discardedBytes,
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

// SetCore sets the core whose open requests quincerail_open_requests reports. Before SetCore is
// called, the gauge is 0.
func (r *Recorder) SetCore(core *dispatch.Core) { r.core.Store(core) }

func (r *Recorder) openRequests() float64 {
	if core := r.core.Load(); core != nil {
		return float64(core.InFlight())
	}
	return 0
}

// SetClasses removes the counts of classes that the new settings no longer have. It must be
// called after the core's UpdateSettings. From then on the core reports responses to requests
// of these classes under dispatch.RemovedClass.
func (r *Recorder) SetClasses(classes []string) {
	for _, class := range r.classes {
		if slices.Contains(classes, class) {
			continue
		}
		labels := prometheus.Labels{labelClass: class}
		r.responses.DeletePartialMatch(labels)
		r.duplicates.DeletePartialMatch(labels)
		r.latency.DeletePartialMatch(labels)
	}
	r.classes = classes
}

// ObserveResponse implements dispatch.Observer.
func (r *Recorder) ObserveResponse(class string, kind dispatch.OutcomeKind, took time.Duration, duplicate bool) {
	name := kind.String()
	r.responses.WithLabelValues(class, name).Inc()
	r.countFleetResponse(name)
	r.latency.WithLabelValues(class, name).Observe(took.Seconds())
	if duplicate {
		r.duplicates.WithLabelValues(class).Inc()
	}
}

// RegisterRules adds two counters for each rule: its violations, and the operations that were
// denied because they would have broken it.
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

// RegisterListener adds the collectors of a listener. stats returns its current counts.
func (r *Recorder) RegisterListener(name string, stats func() transport.ServerStats) {
	labels := prometheus.Labels{labelListener: name}
	r.registry.MustRegister(
		newGauge("quincerail_connections", "Open connections, including one that waits for a slot, by listener.",
			labels, func() float64 { return float64(stats().Open) }),
		newGauge("quincerail_connections_limit", "Limit on open connections, by listener.",
			labels, func() float64 { return float64(stats().Limit) }),
		newCounter("quincerail_connections_over_limit_total", "Connections accepted over the limit to shed their requests, by listener.",
			labels, func() float64 { return float64(stats().OverLimit) }),
	)
	r.registry.MustRegister(newCounter("quincerail_connection_turns_exhausted_total",
		"Times that a connection had to wait because its peer sends too fast, by listener.",
		labels, func() float64 { return float64(stats().TurnsExhausted) }))
	for _, withheld := range guard.WithheldKinds {
		labels := prometheus.Labels{labelListener: name, labelWithheld: string(withheld)}
		r.registry.MustRegister(newCounter("quincerail_connections_withheld_total",
			"Connections closed because their peers withheld something, by listener and by what was withheld.",
			labels, func() float64 { return float64(stats().Withheld[withheld]) }))
	}
}

// RegisterInput adds the collectors of the memory for the connections' input. stats returns its
// current counts.
func (r *Recorder) RegisterInput(stats func() transport.InputStats) {
	r.registry.MustRegister(
		newGauge("quincerail_input_bytes", "Memory for messages that have not arrived completely, on all listeners.",
			nil, func() float64 { return float64(stats().Used) }),
		newGauge("quincerail_input_limit_bytes", "Limit on the memory for messages that have not arrived completely.",
			nil, func() float64 { return float64(stats().Capacity) }),
		newCounter("quincerail_input_reclaimed_total", "Connections closed to give their memory for input to others.",
			nil, func() float64 { return float64(stats().Reclaimed) }),
		newCounter("quincerail_input_rejected_total", "Messages rejected because no memory for input was left.",
			nil, func() float64 { return float64(stats().Rejected) }),
	)
}

// ConnectionClosed counts a closed connection. unanswered is the number of requests on it that
// had no response when it closed.
func (r *Recorder) ConnectionClosed(end transport.CloseInfo, unanswered int) {
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
