package policy

import (
	"math"
	"slices"
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	latencyBufferSize      = 200 // diagnostic latencies that the Optimizer keeps
	diagnosticInterval     = 5   // every so many idempotent calls one is diagnostic
	callsPerSolve          = 20  // idempotent calls between two solutions of the sequence
	maxSequenceLength      = 5   // time-outs: a call has no time left for more
	minRecordedLatency     = time.Microsecond
	timeoutGrowthFactor    = 1.5  // of the Controller's time-out, after a time-out
	timeoutGain            = 0.1  // of the distance to the latency, per success
	streakTolerance        = 0.2  // of the streak's mean latency
	timeoutHeadroom        = 0.3  // of the streak's mean latency, added with each step
	initialTimeoutFraction = 0.25 // of the shortest latency objective
)

// timeoutChoice is the time-out of one attempt of a call, and what its end will show.
type timeoutChoice struct {
	duration   time.Duration
	diagnostic bool // it has the Controller's time-out, and its latency goes to the Optimizer
	final      bool // no longer time-out follows in the sequence
}

// callTimeouts chooses the time-outs of idempotent calls, by the Combined System of the
// paper's section 4.5: those of the Optimizer's sequence, and now and then the
// Controller's for a diagnostic call, so that the Optimizer sees latencies beyond its own
// time-outs.
type callTimeouts struct {
	optimizer       optimizer
	controller      controller
	idempotentCalls int // so far
}

// chooseTimeout returns the time-out of a call, and counts the call if its request is
// idempotent (nextDiagnostic). Other calls are made once, unless they had no effect: they
// have all the time that remains.
//
// A time-out before the last of the sequence is chosen only while the budget can pay for
// a retry. Otherwise the last one is, or all the time that remains if the request would
// fail without its call.
func (in *Instance) chooseTimeout(q *request, remaining time.Duration) timeoutChoice {
	if q.class.Effect != decision.Idempotent {
		return timeoutChoice{duration: remaining}
	}
	if choice, diagnostic := in.timeouts.nextDiagnostic(); diagnostic {
		return choice
	}
	sequence := in.timeouts.optimizer.sequence
	last := len(sequence) - 1
	canRetry := in.retries.available()
	switch {
	case !canRetry && q.class.DegradedWeight == 0:
		return timeoutChoice{duration: remaining, final: true}
	case !canRetry || q.call.step >= last:
		return timeoutChoice{duration: sequence[last], final: true}
	default:
		return timeoutChoice{duration: sequence[q.call.step]}
	}
}

// nextDiagnostic counts an idempotent call, has the Optimizer solve its sequence anew
// every callsPerSolve calls, and returns the time-out if the call is diagnostic. Until the
// Optimizer has a sequence all are.
func (t *callTimeouts) nextDiagnostic() (timeoutChoice, bool) {
	t.idempotentCalls++
	if t.idempotentCalls%callsPerSolve == 0 {
		t.optimizer.solve()
	}
	choice := timeoutChoice{duration: t.controller.timeout, diagnostic: true, final: !t.optimizer.full()}
	return choice, !t.optimizer.full() || t.idempotentCalls%diagnosticInterval == 0
}

// recordDiagnostic takes in how a diagnostic call ended; those that were neither answered
// nor timed out show no latency. A time-out counts as a latency of the time-out that the
// Controller now allows, as the true one is not known.
func (t *callTimeouts) recordDiagnostic(outcome decision.Outcome, took, maxTimeout time.Duration) {
	switch outcome {
	case decision.Succeeded:
		t.controller.recordSuccess(took, maxTimeout)
		t.optimizer.add(took)
	case decision.TimedOut:
		t.controller.recordTimeout(maxTimeout)
		t.optimizer.add(t.controller.timeout)
	}
}

// controller holds the time-out of diagnostic calls, as the Controller of the paper's
// section 4.4 does. A success never moves it below minimum, how long the dependency
// works on an abandoned call: giving up sooner frees nothing there.
type controller struct {
	timeout time.Duration
	minimum time.Duration
	mean    float64 // of the latencies of the streak, in nanoseconds
	streak  int     // successive calls of like latency
}

// recordTimeout lengthens the time-out after a call that timed out.
func (c *controller) recordTimeout(maxTimeout time.Duration) {
	c.streak = 0
	c.timeout = min(time.Duration(float64(c.timeout)*timeoutGrowthFactor), maxTimeout)
}

// recordSuccess moves the time-out toward a latency, with headroom on top. The longer the
// streak of like latencies, the smaller the step.
func (c *controller) recordSuccess(took, maxTimeout time.Duration) {
	latency := float64(took)
	if c.streak > 0 && math.Abs(latency-c.mean) > streakTolerance*c.mean {
		c.streak = 0
	}
	c.streak++
	c.mean += (latency - c.mean) / float64(c.streak)
	damping := max(1, math.Log(float64(c.streak+1)))
	step := (timeoutGain*(latency-float64(c.timeout)) + timeoutHeadroom*c.mean) / damping
	c.timeout = min(max(c.timeout+time.Duration(step), c.minimum, minCallTimeout), maxTimeout)
}

// optimizer holds the latencies of diagnostic calls and the sequence of time-outs solved
// from them, as the Optimizer of the paper's sections 3.6 and 4.3 does.
type optimizer struct {
	buffer        []time.Duration // oldest first
	sequence      []time.Duration // rising; nil until the buffer is full
	abandonedCost float64         // time that an abandoned call still takes the dependency, in nanoseconds
}

// full tells whether there are enough latencies for a sequence.
func (o *optimizer) full() bool { return len(o.buffer) >= latencyBufferSize }

// add takes in a latency, in place of the oldest where the buffer is full.
func (o *optimizer) add(latency time.Duration) {
	if o.full() {
		o.buffer = o.buffer[1:]
	}
	o.buffer = append(o.buffer, max(latency, minRecordedLatency))
	if o.full() && o.sequence == nil {
		o.solve()
	}
}

// solve computes the sequence from the latencies in the buffer. It works back from the
// last time-out t_z, the greatest latency seen: each earlier one minimizes the expected
// cost where the ones after it are given (the paper's equation 6).
func (o *optimizer) solve() {
	if !o.full() {
		return
	}
	var histogram latencyHistogram
	histogram.fill(o.buffer)
	next, cost := histogram.finalTimeout()
	var sequence [maxSequenceLength]time.Duration // filled from its end
	first := maxSequenceLength - 1
	sequence[first] = time.Duration(next)
	for first > 0 {
		earlier, earlierCost, found := histogram.earlierTimeout(next, cost, cost+o.abandonedCost)
		if !found {
			break
		}
		first--
		sequence[first] = time.Duration(earlier)
		next, cost = earlier, earlierCost
	}
	o.sequence = slices.Clone(sequence[first:])
}
