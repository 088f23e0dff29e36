package simwire

import (
	"strconv"
	"strings"
	"time"

	"quincerail.example/quincerail/decision"
)

// InstanceID returns the ID of the instance that the message is for. It is required.
func (m *Message) InstanceID() int64 { return m.requiredInt(fieldInstance) }

// Time returns the time of a batch. It is required.
func (m *Message) Time() time.Duration { return microseconds(m.requiredInt(fieldTime)) }

// Seed returns the seed of an instance's random numbers, 0 if absent.
func (m *Message) Seed() int64 { return m.int(fieldSeed) }

// Settings returns the settings of an instance. It returns the error of the function
// [Settings], which Err does not return.
func (m *Message) Settings() (decision.Settings, error) { return Settings(m.fields[fieldSettings]) }

// RequestID returns the ID of the request that an event is about. It is required.
func (m *Message) RequestID() string { return m.id(fieldRequest) }

// Took returns the duration of a run or a downstream call, 0 if absent.
func (m *Message) Took() time.Duration { return m.time(fieldTook) }

// StopAt returns the time at which a draining instance's process is stopped, 0 if absent.
func (m *Message) StopAt() time.Duration { return m.time(fieldDeadline) }

// Token returns the token of a timer, 0 if absent.
func (m *Message) Token() int64 { return m.int(fieldToken) }

// Outcome returns the outcome of a run or a downstream call. It is required.
func (m *Message) Outcome() decision.Outcome {
	outcome, ok := outcomes[m.requiredInt(fieldOutcome)]
	if !ok {
		m.setErr(fieldOutcome, m.fields[fieldOutcome], wantKnownOutcome)
		return decision.Failed
	}
	return outcome
}

// Request returns the request that was read. Only its ID is required.
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

// Gauges returns the gauges that come with a timer. A gauge that is absent is -1. Gauges with
// unknown names are ignored.
func (m *Message) Gauges() decision.Gauges {
	values := decision.Gauges{CoreUtilization: -1, RunnableTasks: -1, MemoryUtilization: -1, Connections: -1}
	for rest := m.fields[fieldGauges]; rest != ""; {
		var gauge string
		gauge, rest, _ = strings.Cut(rest, gaugeSeparator)
		name, text, ok := strings.Cut(gauge, gaugeAssignment)
		value, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil {
			m.setErr(fieldGauges, gauge, wantGauge)
			return values
		}
		if field := gauges[name]; field != nil {
			*field(&values) = value
		}
	}
	return values
}
