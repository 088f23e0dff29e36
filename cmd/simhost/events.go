package main

import (
	"time"

	"quincerail.example/quincerail/internal/simwire"
	"quincerail.example/quincerail/policy"
)

// moduleEvent calls the decision module's method for an event.
type moduleEvent func(*policy.Instance)

// decodeEvent decodes the event of a message in the batch of the given time.
func decodeEvent(m *simwire.Message, now time.Duration) (moduleEvent, error) {
	var event moduleEvent
	switch m.Name {
	case simwire.RequestRead:
		request := m.Request()
		event = func(module *policy.Instance) { module.RequestReceived(now, request) }
	case simwire.RunDone:
		id, outcome, took := m.RequestID(), m.Outcome(), m.Took()
		event = func(module *policy.Instance) { module.RunDone(now, id, outcome, took) }
	case simwire.CallerGone:
		id := m.RequestID()
		event = func(module *policy.Instance) { module.RequestCancelled(now, id) }
	case simwire.CallNeeded:
		id := m.RequestID()
		event = func(module *policy.Instance) { module.CallNeeded(now, id) }
	case simwire.CallDone:
		id, outcome, took := m.RequestID(), m.Outcome(), m.Took()
		event = func(module *policy.Instance) { module.CallDone(now, id, outcome, took) }
	case simwire.Drain:
		stopAt := m.StopAt()
		event = func(module *policy.Instance) { module.Drain(now, stopAt) }
	case simwire.TimerDue:
		token, gauges := m.Token(), m.Gauges()
		event = func(module *policy.Instance) { module.Tick(now, token, gauges) }
	}
	return event, m.Err()
}
