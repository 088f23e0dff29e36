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

// Rule names a rule of the platform. Its values are labels of metrics and attributes of log
// events.
type Rule string

// The rules, by what breaks them.
const (
	LostRequest     Rule = "lost_request"     // a request was read, and its connection closed without a response
	DuplicateRun    Rule = "duplicate_run"    // a key ran twice in its window
	DuplicateAnswer Rule = "duplicate_answer" // a request got two responses
	DrainStart      Rule = "drain_start"      // a request ran that was read after the grace period
	ShedAfterRun    Rule = "false_promise"    // a request was reported as never run after it may have run
	RepeatedCall    Rule = "repeated_call"    // a downstream call was repeated that may have had its effect
	LateAnswer      Rule = "late_answer"      // a response came after the deadline and its slack
)

// Rules lists the rules, for metrics.
var Rules = []Rule{LostRequest, DuplicateRun, DuplicateAnswer, DrainStart, ShedAfterRun, RepeatedCall, LateAnswer}

// Monitor counts the violations of each rule, and the denials that prevented one. A nil
// Monitor counts nothing. Its methods may be called from any goroutine.
type Monitor struct {
	log        *slog.Logger
	violations map[Rule]*atomic.Int64
	denials    map[Rule]*atomic.Int64
}

// NewMonitor makes a monitor that logs violations as errors, and denials for debugging.
func NewMonitor(log *slog.Logger) *Monitor {
	m := &Monitor{log: log, violations: map[Rule]*atomic.Int64{}, denials: map[Rule]*atomic.Int64{}}
	for _, rule := range Rules {
		m.violations[rule], m.denials[rule] = new(atomic.Int64), new(atomic.Int64)
	}
	return m
}

// Violated counts and logs that a rule was broken.
func (m *Monitor) Violated(rule Rule, attributes ...any) {
	if m == nil {
		return
	}
	m.violations[rule].Add(1)
	m.log.Error(eventViolation, append([]any{"rule", string(rule)}, attributes...)...)
}

// Denied counts and logs that something was not done because it would have broken a rule.
func (m *Monitor) Denied(rule Rule, reason error, request string) {
	if m == nil {
		return
	}
	m.denials[rule].Add(1)
	m.log.Debug(eventDenial, "rule", string(rule), "reason", reason.Error(), "request", request)
}

// Violations returns how often a rule was broken.
func (m *Monitor) Violations(rule Rule) int64 {
	if m == nil {
		return 0
	}
	return m.violations[rule].Load()
}

// Denials returns how often something was not done because of a rule.
func (m *Monitor) Denials(rule Rule) int64 {
	if m == nil {
		return 0
	}
	return m.denials[rule].Load()
}
