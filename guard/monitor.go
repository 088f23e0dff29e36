package guard

import (
	"log/slog"
	"sync/atomic"
)

// Messages of the log events.
const (
	eventViolation = "rule_violation"
	eventDenial    = "denied"
)

// Rule names a rule of the platform. The values appear in metric labels and log attributes.
type Rule string

// The rules. Each comment says what breaks the rule.
const (
	LostRequest     Rule = "lost_request"     // a connection was closed before the response to a request read from it
	DuplicateRun    Rule = "duplicate_run"    // an idempotency key ran twice in its window
	DuplicateAnswer Rule = "duplicate_answer" // a request got two responses
	DrainStart      Rule = "drain_start"      // a request read after the grace period was started
	ShedAfterRun    Rule = "false_promise"    // a request that may have run and is not idempotent was shed
	RepeatedCall    Rule = "repeated_call"    // a downstream call that may have had its effect was repeated
	LateAnswer      Rule = "late_answer"      // a response was sent after the deadline and its slack
)

// Rules lists all rules, for one metric series each.
var Rules = []Rule{LostRequest, DuplicateRun, DuplicateAnswer, DrainStart, ShedAfterRun, RepeatedCall, LateAnswer}

// Monitor counts the violations of each rule, and the denials that prevented one. A nil
// Monitor counts nothing. Its methods are safe for concurrent use.
type Monitor struct {
	log        *slog.Logger
	violations map[Rule]*atomic.Int64
	denials    map[Rule]*atomic.Int64
}

// NewMonitor returns a monitor that logs violations at the error level and denials at the
// debug level.
func NewMonitor(log *slog.Logger) *Monitor {
	m := &Monitor{log: log, violations: map[Rule]*atomic.Int64{}, denials: map[Rule]*atomic.Int64{}}
	for _, rule := range Rules {
		m.violations[rule], m.denials[rule] = new(atomic.Int64), new(atomic.Int64)
	}
	return m
}

// RecordViolation counts and logs a violation of a rule. The attributes are added to the log event.
func (m *Monitor) RecordViolation(rule Rule, attributes ...any) {
	if m == nil {
		return
	}
	m.violations[rule].Add(1)
	m.log.Error(eventViolation, append([]any{"rule", string(rule)}, attributes...)...)
}

// RecordDenial counts and logs that an action for a request was denied because it would have
// broken a rule. request is the request's ID, or empty if there is none.
func (m *Monitor) RecordDenial(rule Rule, reason error, request string) {
	if m == nil {
		return
	}
	m.denials[rule].Add(1)
	m.log.Debug(eventDenial, "rule", string(rule), "reason", reason.Error(), "request", request)
}

// Violations returns the number of violations of a rule.
func (m *Monitor) Violations(rule Rule) int64 {
	if m == nil {
		return 0
	}
	return m.violations[rule].Load()
}

// Denials returns the number of denials because of a rule.
func (m *Monitor) Denials(rule Rule) int64 {
	if m == nil {
		return 0
	}
	return m.denials[rule].Load()
}
