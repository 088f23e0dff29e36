package policy

import (
	"time"

	"quincerail.example/quincerail/decision"
)

// drainMarginTimers is how many timer intervals before the end of a drain all requests
// have their answers.
const drainMarginTimers = 2

// drainState is the state of a drain: the process stops, admits nothing that arrives after
// DrainGrace, and answers what it has. Functions that a drain changes: admit
// (arrivedAfterDrain), answerBy (drainState.limit), retryAfter, adviseNoRetry, and
// updateHealth, as health stays bad.
type drainState struct {
	started   bool
	startedAt time.Duration
	stopAt    time.Duration // when the process ends
}

// limit returns an answer's latest time, moved before the end of the drain.
func (d *drainState) limit(answerBy, timerInterval time.Duration) time.Duration {
	if !d.started {
		return answerBy
	}
	return min(answerBy, d.stopAt-drainMarginTimers*timerInterval)
}

// Drain takes in that the process will be stopped at a time.
func (in *Instance) Drain(now, stopAt time.Duration) {
	in.now = now
	in.drain = drainState{started: true, startedAt: now, stopAt: stopAt}
	in.host.SetHealth(false, true)
	in.host.Log(decision.DrainStarted{StopsIn: stopAt - now})
}

// arrivedAfterDrain tells whether a request arrived too late to be run: callers had
// DrainGrace to hear of the drain.
func (in *Instance) arrivedAfterDrain(q *request) bool {
	return in.drain.started && q.arrivedAt > in.drain.startedAt+in.settings.DrainGrace
}
