package simwire

import (
	"strconv"
	"strings"
	"time"

	"quincerail.example/quincerail/decision"
)

// InstanceID returns the instance that a message is for, which must be given.
func (m *Message) InstanceID() int64 { return m.requiredInt(fieldInstance) }

// Time returns the time of a batch, which must be given.
func (m *Message) Time() time.Duration { return microseconds(m.requiredInt(fieldTime)) }

// Seed returns the seed of an instance's random numbers.
func (m *Message) Seed() int64 { return m.int(fieldSeed) }

// Settings returns the settings of an instance.
func (m *Message) Settings() (decision.Settings, error) { return Settings(m.fields[fieldSettings]) }

// RequestID returns the request that an event is about, which must be given.
func (m *Message) RequestID() string { return m.id(fieldRequest) }

// Took returns how long a run or a call took.
func (m *Message) Took() time.Duration { return m.time(fieldTook) }

// StopAt returns when a draining instance's process ends.
func (m *Message) StopAt() time.Duration { return m.time(fieldDeadline) }

// Token returns the token of a timer.
func (m *Message) Token() int64 { return m.int(fieldToken) }

// Outcome returns how a run or a call ended, which must be given.
func (m *Message) Outcome() decision.Outcome {
	outcome, ok := outcomes[m.requiredInt(fieldOutcome)]
	if !ok {
		m.fail(fieldOutcome, m.fields[fieldOutcome], wantKnownOutcome)
		return decision.Failed
	}
	return outcome
}

// Request returns the request that was read.
func (m *Message) Request() decision.Request {
	r := decision.Request{
		ID:          m.id(fieldRequest),
		Class:       int(m.int(fieldClass)),
		Tenant:      int(m.int(fieldTenant)),
		CacheKey:    m.fields[fieldCacheKey],
		Deadline:    m.time(fieldDeadline),
		CostHint:    m.time(fieldCostHint),
		ReservedKB:  m.float(fieldReservedKB),
		Rank:        m.float(fieldRank),
		Retry:       m.bool(fieldRetry),
		Write:       m.bool(fieldWrite),
		Caller:      int(m.int(fieldCaller)),
		ReadLag:     m.time(fieldWaited),
		DuplicateOf: m.fields[fieldDuplicateOf],
	}
	if r.DuplicateOf == noDuplicate {
		r.DuplicateOf = ""
	}
	return r
}

// Gauges returns the readings that come with a timer; those of other names are ignored.
func (m *Message) Gauges() decision.Gauges {
	readings := decision.Gauges{CoreUtilization: -1, RunnableTasks: -1, MemoryUtilization: -1, Connections: -1}
	for rest := m.fields[fieldGauges]; rest != ""; {
		var gauge string
		gauge, rest, _ = strings.Cut(rest, gaugeSeparator)
		name, text, ok := strings.Cut(gauge, gaugeAssignment)
		value, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil {
			m.fail(fieldGauges, gauge, wantGauge)
			return readings
		}
		if reading := gauges[name]; reading != nil {
			*reading(&readings) = value
		}
	}
	return readings
}
