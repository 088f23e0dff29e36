package guard

import (
	"log/slog"
	"sync/atomic"
)

// Rule names a rule of the platform. Its values are labels of metrics and logs.
type Rule string

// The rules.
const (
	LostRequest     Rule = "lost_request"     // taken, and its connection ended without its answer
	DuplicateRun    Rule = "duplicate_run"    // of one key within its window
	DuplicateAnswer Rule = "duplicate_answer" // to one request
	DrainStart      Rule = "drain_start"      // of what came after the grace
	ShedAfterRun    Rule = "false_promise"    // turned away as never run, after a run
	RepeatedCall    Rule = "repeated_call"    // of what must not be had twice
	LateAnswer      Rule = "late_answer"      // past the deadline and its slack
)

// Rules lists the rules, for metrics.
var Rules = []Rule{LostRequest, DuplicateRun, DuplicateAnswer, DrainStart, ShedAfterRun, RepeatedCall, LateAnswer}

// Monitor counts violations of the rules, and what was denied so that there were none.
// A nil Monitor counts nothing. Its methods may be called from any goroutine.
type Monitor struct {
	log        *slog.Logger
	violations map[Rule]*atomic.Int64
	denials    map[Rule]*atomic.Int64
}

// NewMonitor makes a monitor that logs violations.
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
	m.log.Error("rule_violation", append([]any{"rule", string(rule)}, attributes...)...)
}

// Denied counts and logs that something was not done as it would have broken a rule.
func (m *Monitor) Denied(rule Rule, why error, request string) {
	if m == nil {
		return
	}
	m.denials[rule].Add(1)
	m.log.Debug("denied", "rule", string(rule), "reason", why.Error(), "request", request)
}

// Violations is how often a rule was broken.
func (m *Monitor) Violations(rule Rule) int64 {
	if m == nil {
		return 0
	}
	return m.violations[rule].Load()
}

// Denials is how often something was not done for a rule.
func (m *Monitor) Denials(rule Rule) int64 {
	if m == nil {
		return 0
	}
	return m.denials[rule].Load()
}
