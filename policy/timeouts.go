package policy

import (
	"math"
	"slices"
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	latencyBufferSize      = 200 // diagnostic latencies that the Optimizer keeps
	diagnosticInterval     = 5   // one in this many idempotent calls is diagnostic
	callsPerSolve          = 20  // idempotent calls between two computations of the sequence
	maxSequenceLength      = 5   // time-outs; a call has no time for more
	minRecordedLatency     = time.Microsecond
	timeoutGrowthFactor    = 1.5  // factor on the Controller's time-out after a call timed out
	timeoutGain            = 0.1  // fraction of the difference to the latency, per success
	streakTolerance        = 0.2  // fraction of the streak's mean latency
	timeoutHeadroom        = 0.3  // fraction of the streak's mean latency, added with each step
	initialTimeoutFraction = 0.25 // fraction of the shortest latency objective
)

// timeoutChoice is the time-out of one attempt of a call, with the reason for its choice.
type timeoutChoice struct {
	duration   time.Duration
	diagnostic bool // it is the Controller's; the latency is recorded for the Optimizer
	final      bool // the sequence has no longer one
}

// callTimeouts chooses the time-outs of idempotent calls with the Combined System of the
// paper's section 4.5. Most calls use the Optimizer's sequence. Every diagnosticInterval-th
// call is diagnostic and uses the Controller's time-out, which lets the Optimizer measure
// latencies beyond its own time-outs.
type callTimeouts struct {
	optimizer       optimizer
	controller      controller
	idempotentCalls int // attempts counted by nextDiagnostic
}

// chooseTimeout returns the time-out of an attempt of a call, and counts the attempt if its
// request is idempotent (nextDiagnostic). A call of any other request gets all remaining
// time, because it is retried only if it had no effect.
//
// A time-out before the last of the sequence requires that the budget has a retry left.
// Otherwise the call gets the last time-out, or all remaining time if the request would fail
// without the call.
func (in *Instance) chooseTimeout(req *request, remaining time.Duration) timeoutChoice {
	if req.class.Idempotency != decision.Idempotent {
		return timeoutChoice{duration: remaining}
	}
	if choice, diagnostic := in.timeouts.nextDiagnostic(); diagnostic {
		return choice
	}
	sequence := in.timeouts.optimizer.sequence
	last := len(sequence) - 1
	canRetry := in.retries.available()
	switch {
	case !canRetry && req.class.DegradedWeight == 0:
		return timeoutChoice{duration: remaining, final: true}
	case !canRetry || req.call.sequenceIndex >= last:
		return timeoutChoice{duration: sequence[last], final: true}
	default:
		return timeoutChoice{duration: sequence[req.call.sequenceIndex]}
	}
}

// nextDiagnostic counts an attempt of an idempotent call. It returns the Controller's
// time-out, and whether the attempt is diagnostic and uses this time-out. All attempts are
// diagnostic until the Optimizer has a sequence. Every callsPerSolve attempts, the Optimizer
// recomputes the sequence.
func (t *callTimeouts) nextDiagnostic() (timeoutChoice, bool) {
	t.idempotentCalls++
	if t.idempotentCalls%callsPerSolve == 0 {
		t.optimizer.solve()
	}
	choice := timeoutChoice{
		duration: t.controller.timeout, diagnostic: true, final: !t.optimizer.bufferFull(),
	}
	return choice, !t.optimizer.bufferFull() || t.idempotentCalls%diagnosticInterval == 0
}

// recordDiagnostic records the latency of a diagnostic call. A call that timed out counts
// with the Controller's updated time-out, because its real latency is unknown. Other
// failures have no latency and are ignored.
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

// controller computes the time-out of diagnostic calls: it is the Controller of the paper's
// section 4.4. A success never reduces the time-out below minimum, the time for which the
// dependency works on an abandoned call, because a shorter time-out would free no capacity there.
type controller struct {
	timeout time.Duration
	minimum time.Duration
	mean    float64 // mean latency of the streak, in nanoseconds
	streak  int     // consecutive calls of similar latency
}

// recordTimeout increases the time-out after a call timed out.
func (c *controller) recordTimeout(maxTimeout time.Duration) {
	c.streak = 0
	c.timeout = min(time.Duration(float64(c.timeout)*timeoutGrowthFactor), maxTimeout)
}

// recordSuccess moves the time-out toward the latency of a call plus headroom. The step gets
// smaller as the streak of similar latencies gets longer.
func (c *controller) recordSuccess(took, maxTimeout time.Duration) {
	latency := float64(took)
	if c.streak > 0 && math.Abs(latency-c.mean) > streakTolerance*c.mean {
		c.streak = 0
	}
	c.streak++
	c.mean += (latency - c.mean) / float64(c.streak)
	damping := max(1, math.Log(float64(c.streak+1)))
	step := (float64(timeoutGain*(latency-float64(c.timeout))) + float64(timeoutHeadroom*c.mean)) / damping
	c.timeout = min(max(c.timeout+time.Duration(step), c.minimum, minCallTimeout), maxTimeout)
}

// optimizer computes a sequence of time-outs from the latencies of diagnostic calls: it is
// the Optimizer of the paper's sections 3.6 and 4.3.
type optimizer struct {
	buffer        []time.Duration // latencies, oldest first
	sequence      []time.Duration // strictly rising; nil until the buffer is full
	abandonedCost float64         // Settings.AbandonedCallDuration, in nanoseconds
}

// bufferFull reports whether there are enough latencies to compute a sequence.
func (o *optimizer) bufferFull() bool { return len(o.buffer) >= latencyBufferSize }

// add adds a latency, which replaces the oldest if the buffer is full.
func (o *optimizer) add(latency time.Duration) {
	if o.bufferFull() {
		o.buffer = o.buffer[1:]
	}
	o.buffer = append(o.buffer, max(latency, minRecordedLatency))
	if o.bufferFull() && o.sequence == nil {
		o.solve()
	}
}

// solve computes the sequence from the latencies in the buffer. It works backward from the
// last time-out t_z, the greatest latency in the buffer. Each earlier time-out minimizes the
// expected cost, given the ones after it (the paper's equation 6).
func (o *optimizer) solve() {
	if !o.bufferFull() {
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
