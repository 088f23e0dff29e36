// Package simwire reads and writes the lines by which a host process passes
// events to instances and actions back. It only translates.
package simwire

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"quincerail.example/quincerail/decision"
)

// Message is one line: a name and its fields.
type Message struct {
	Name   string
	fields map[string]string
	err    error
}

// restFields take up all that follows them on the line.
var restFields = []string{"profileData", "line"}

// Parse reads one line.
func Parse(line string) (*Message, error) {
	name, rest, _ := strings.Cut(line, " ")
	if name == "" {
		return nil, fmt.Errorf("a line without a name: %q", shorten(line))
	}
	if strings.Contains(name, "=") {
		return nil, fmt.Errorf("a line that starts with a field: %q", shorten(line))
	}
	m := &Message{Name: name, fields: make(map[string]string, 12)}
parts:
	for rest != "" {
		for _, f := range restFields {
			if v, ok := strings.CutPrefix(rest, f+"="); ok {
				m.fields[f] = v
				break parts
			}
		}
		var part string
		part, rest, _ = strings.Cut(rest, " ")
		k, v, ok := strings.Cut(part, "=")
		if !ok || k == "" {
			return nil, fmt.Errorf("%s: no name=value pair: %q", name, shorten(part))
		}
		m.fields[k] = v
	}
	return m, nil
}

func shorten(s string) string {
	const most = 60
	if len(s) > most {
		return s[:most] + "..."
	}
	return s
}

// Err is the first error met by the accessors.
func (m *Message) Err() error { return m.err }

func (m *Message) fail(key, value, want string) {
	if m.err == nil {
		m.err = fmt.Errorf("%s: %s=%q is not %s", m.Name, key, shorten(value), want)
	}
}

// Text gives a field as it stands, or an empty string.
func (m *Message) Text(key string) string { return m.fields[key] }

// ID gives a request's id; one must be there.
func (m *Message) ID(key string) string {
	v := m.fields[key]
	if v == "" {
		m.fail(key, v, "a request id")
	}
	return v
}

// Int gives a whole number, 0 when absent.
func (m *Message) Int(key string) int64 {
	v, ok := m.fields[key]
	if !ok {
		return 0
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		m.fail(key, v, "a whole number")
	}
	return n
}

// Need gives a whole number that must be there.
func (m *Message) Need(key string) int64 {
	if _, ok := m.fields[key]; !ok {
		m.fail(key, "", "a whole number")
	}
	return m.Int(key)
}

// Float gives a number, 0 when absent.
func (m *Message) Float(key string) float64 {
	v, ok := m.fields[key]
	if !ok {
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil {
		m.fail(key, v, "a number")
	}
	return x
}

// Bool gives a truth value, false when absent.
func (m *Message) Bool(key string) bool {
	switch v := m.fields[key]; v {
	case "", "0":
		return false
	case "1":
		return true
	default:
		m.fail(key, v, "0 or 1")
		return false
	}
}

// Micros gives a time in microseconds, 0 when absent.
func (m *Message) Micros(key string) time.Duration {
	return time.Duration(m.Int(key)) * time.Microsecond
}

// Outcome gives a completion code.
func (m *Message) Outcome(key string) decision.Outcome {
	switch n := m.Need(key); n {
	case 200:
		return decision.Succeeded
	case 502:
		return decision.Failed
	case 429:
		return decision.Rejected
	case 408:
		return decision.TimedOut
	case 521:
		return decision.ConnectFailed
	case 520:
		return decision.ConnectionReset
	case 444:
		return decision.Cancelled
	case 409:
		return decision.NotStarted
	default:
		m.fail(key, m.fields[key], "a known outcome")
		return decision.Failed
	}
}

// Request gives the request of a REQ line.
func (m *Message) Request() decision.Request {
	r := decision.Request{
		ID:          m.ID("xid"),
		Class:       int(m.Int("qos")),
		Tenant:      int(m.Int("billing")),
		CacheKey:    m.Text("pathKey"),
		Deadline:    m.Micros("notAfterUs"),
		CostHint:    m.Micros("costUs"),
		ReservedKB:  m.Float("heldKb"),
		Rank:        m.Float("place"),
		Retry:       m.Bool("retry"),
		Write:       m.Bool("isWrite"),
		Caller:      int(m.Int("from")),
		Waited:      m.Micros("waitedUs"),
		DuplicateOf: m.Text("earlier"),
	}
	if r.DuplicateOf == "0" {
		r.DuplicateOf = ""
	}
	return r
}

// Gauges gives the readings of a RING line.
func (m *Message) Gauges(key string) decision.Gauges {
	g := decision.Gauges{CoreUtilization: -1, RunnableTasks: -1, MemoryUtilization: -1, Connections: -1}
	v := m.Text(key)
	for v != "" {
		var pair string
		pair, v, _ = strings.Cut(v, ",")
		name, value, ok := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil {
			m.fail(key, pair, "a gauge")
			return g
		}
		switch name {
		case "core_use":
			g.CoreUtilization = x
		case "on_cores":
			g.RunnableTasks = x
		case "heap_share":
			g.MemoryUtilization = x
		case "links":
			g.Connections = x
		}
	}
	return g
}

type profile struct {
	Servers   int `json:"servers"`
	QuantumUs int64
	Lanes     []struct {
		GoalTimeUs, HardLimitUs, WindowUs int64
		AimStretch, LateWorth, Gain       float64
		Semantics                         string
	}
	Realms     []struct{ QuotaRps float64 }
	FamilyInfo struct {
		Cores, Senders                           int
		JustStarted                              bool
		MemoryKb, KeyKb, RunFactor, CallsOut     float64
		DependsOn, StopMode, Say                 string
		CallsOverUs, StaysForUs, FreshUs, IdleUs int64
		HeededUs                                 int64
		CallsByClass                             []bool
		Readiness                                bool
		DegradedWorth                            []float64
	}
	Caps struct {
		RetryAfter      bool
		MaxRetryAfterUs int64
	}
	Obligations struct {
		AnswerSlackUs, DrainGraceUs, OverloadForUs, ColdUs int64
		FallMultiple, ColdFrom                             float64
	}
	OverShareWorth float64
}

// Settings reads the settings of a HELLO line.
func Settings(text string) (decision.Settings, error) {
	var p profile
	if err := json.Unmarshal([]byte(text), &p); err != nil {
		return decision.Settings{}, fmt.Errorf("profileData: %w", err)
	}
	us := func(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
	f, o := &p.FamilyInfo, &p.Obligations
	s := decision.Settings{
		OverQuotaWeight: p.OverShareWorth,
		Servers:         p.Servers, Callers: f.Senders, Cores: f.Cores, SlowStart: f.JustStarted,
		MemoryKB: f.MemoryKb, KeyMemoryKB: f.KeyKb, RunningMemoryFactor: f.RunFactor,
		CallQuota: f.CallsOut, CallQuotaWindow: us(f.CallsOverUs), AbandonedCallDuration: us(f.StaysForUs),
		CacheTTL: us(f.FreshUs), LoadReportTTL: us(f.HeededUs), MaxIdleTime: us(f.IdleUs),
		DeadlineSlack: us(o.AnswerSlackUs), DrainGrace: us(o.DrainGraceUs),
		OverloadRatio: o.FallMultiple, OverloadWindow: us(o.OverloadForUs),
		SlowStartMinSpeed: o.ColdFrom, SlowStartDuration: us(o.ColdUs), BatchInterval: us(p.QuantumUs), ListFollowsHealth: f.Readiness,
	}
	if p.Caps.RetryAfter {
		s.MaxRetryAfter = us(p.Caps.MaxRetryAfterUs)
	}
	var err error
	pick := func(key, value string, known map[string]int) int {
		n, ok := known[value]
		if !ok && err == nil {
			err = fmt.Errorf("profileData: %s %q is not known", key, value)
		}
		return n
	}
	s.Dependency = decision.DependencyKind(pick("dependsOn", f.DependsOn, map[string]int{
		"": 0, "silent": 0, "common": int(decision.SharedDependency), "next_hop": int(decision.NextTier),
	}))
	s.CancelMode = decision.CancelMode(pick("stopMode", f.StopMode, map[string]int{
		"": 0, "silent": 0, "drop": int(decision.CancelDiscard), "pause": int(decision.CancelPause),
	}))
	s.LoadReportMode = decision.LoadReportMode(pick("say", f.Say, map[string]int{
		"": 0, "silent": 0,
		"min_rank": int(decision.LoadReportMinRank), "tokens": int(decision.LoadReportCredit), "bias": int(decision.LoadReportWeight),
	}))
	for i, l := range p.Lanes {
		c := decision.Class{
			LatencyObjective: us(l.GoalTimeUs), ObjectivePerCost: l.AimStretch, Deadline: us(l.HardLimitUs),
			Weight: l.Gain, LateWeight: l.LateWorth, KeyWindow: us(l.WindowUs),
			Effect: decision.Effect(pick("semantics", l.Semantics, map[string]int{
				"": 0, "free": 0,
				"guarded": int(decision.Keyed), "single_shot": int(decision.NonIdempotent),
			})),
			CallsDependency: i < len(f.CallsByClass) && f.CallsByClass[i],
		}
		if i < len(f.DegradedWorth) {
			c.DegradedWeight = f.DegradedWorth[i]
		}
		s.Classes = append(s.Classes, c)
	}
	for _, t := range p.Realms {
		s.Tenants = append(s.Tenants, decision.Tenant{Quota: t.QuotaRps})
	}
	return s, err
}
