package policy

import (
	"time"

	"quincerail.example/quincerail/decision"
)

// drainMarginTimers is the margin, in timer intervals, between the last answers and the end
// of a drain.
const drainMarginTimers = 2

// drainState is the state of a graceful shutdown. The instance sheds requests that arrive
// more than DrainGrace after the drain starts, and answers all others before the drain ends. A drain
// changes the results of admit (arrivedAfterDrain), answerDeadline (limitAnswerDeadline),
// retryAfter and adviseNoRetry, and stops updateHealth, so that the health stays bad.
type drainState struct {
	started   bool
	startedAt time.Duration
	stopAt    time.Duration // when the process exits
}

// limitAnswerDeadline returns answerBy, or during a drain an earlier time if answerBy is not
// sufficiently before the end of the drain (drainMarginTimers).
func (d *drainState) limitAnswerDeadline(answerBy, timerInterval time.Duration) time.Duration {
	if !d.started {
		return answerBy
	}
	return min(answerBy, d.stopAt-drainMarginTimers*timerInterval)
}

// Drain starts a graceful shutdown. The process exits at stopAt.
func (in *Instance) Drain(now, stopAt time.Duration) {
	in.now = now
	in.drain = drainState{started: true, startedAt: now, stopAt: stopAt}
	in.host.SetHealth(false, true)
	in.host.Log(decision.DrainStarted{StopsIn: stopAt - now})
}

// arrivedAfterDrain reports whether a request arrived too late to run: more than DrainGrace,
// the time that callers have to learn of the drain and stop sending, after its start.
func (in *Instance) arrivedAfterDrain(req *request) bool {
	return in.drain.started && req.arrivedAt > in.drain.startedAt+in.settings.DrainGrace
}
