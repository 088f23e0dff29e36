package policy

import (
	"math"
	"slices"
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	pressureTimeConstant  = time.Second
	minAdvertisedFraction = 0.1  // of the full load report that is left at any pressure
	minAdvertisedChange   = 0.02 // of the full load report, for a new one to be sent
	neverPublished        = -1   // load report before the first
	handshakeStormOnset   = 0.6  // of the runnable tasks that only read or shake hands
	handshakeStormClear   = handshakeStormOnset / 10
	minIdleTimeout        = 10 * time.Millisecond
)

// loadReport holds what callers were told of the load, and what it is made of.
type loadReport struct {
	pressure      float64      // smoothed probability of shedding, 0 to 1
	peak          float64      // highest probability of shedding since the last timer
	published     float64      // the latest report, or neverPublished
	recentCallers []callerSeen // the latest last
}

// callerSeen is a caller, and when its latest request was read.
type callerSeen struct {
	caller int
	at     time.Duration
}

// observe takes in a probability of shedding.
func (l *loadReport) observe(shedProbability float64) { l.peak = max(l.peak, shedProbability) }

// advance smooths the peak of the last interval into the pressure, and starts the next
// interval at the present probability of shedding.
func (l *loadReport) advance(shedProbability float64, interval time.Duration) {
	l.pressure = movingAverage(l.pressure, l.peak, stepWeight(interval, pressureTimeConstant))
	l.peak = shedProbability
}

// recordCaller takes in that a caller's request was read.
func (l *loadReport) recordCaller(caller int, now time.Duration) {
	seenBefore := func(c callerSeen) bool { return c.caller == caller }
	l.recentCallers = append(slices.DeleteFunc(l.recentCallers, seenBefore), callerSeen{caller, now})
}

// forgetCallers drops the callers that have not been seen since a time.
func (l *loadReport) forgetCallers(since time.Duration) {
	l.recentCallers = slices.DeleteFunc(l.recentCallers, func(c callerSeen) bool { return c.at < since })
}

// publishLoad sends callers a new load report when it differs enough from the last.
func (in *Instance) publishLoad() {
	lowestPriority := &request{arrivedAt: math.MaxInt64} // it would run after all others
	in.load.advance(in.shedProbability(lowestPriority), in.timerInterval)
	in.load.forgetCallers(in.now - in.settings.LoadReportTTL)
	report, full := in.loadReportValue()
	if math.Abs(report-in.load.published) >= minAdvertisedChange*full {
		in.load.published = report
		in.host.PublishLoad(report)
	}
}

// loadReportValue returns the load report and its greatest value, both in the unit of the
// mode: a rank, a number of requests, or a probability.
//
// The credit of LoadReportCredit is for each caller: those that will act on it are those
// that were answered lately, so it is divided among them.
func (in *Instance) loadReportValue() (report, full float64) {
	full = 1
	switch in.settings.LoadReportMode {
	case decision.LoadReportMinRank:
		return in.load.pressure, full
	case decision.LoadReportCredit:
		full = in.maxInFlight() / float64(max(1, len(in.load.recentCallers)))
	case decision.LoadReportWeight:
	default:
		return in.load.published, full // nothing to report
	}
	return full * (1 - in.load.pressure*(1-minAdvertisedFraction)), full
}

// idleTimeout holds after which idle time connections are closed.
type idleTimeout struct {
	timeout      time.Duration
	requestsRead int
	storm        bool // reads and handshakes take most of the cores
}

// updateStorm takes in the fraction of the runnable tasks that only read or shake hands.
// The storm ends at a far lower fraction than it begins at: a full connection table turns
// most attempts away, and the fraction falls although callers keep trying.
func (t *idleTimeout) updateStorm(readShare float64) {
	t.storm = readShare > handshakeStormOnset || t.storm && readShare > handshakeStormClear
}

// adjustIdleTimeout keeps idle connections open for MaxIdleTime where callers come back
// within it on average. Otherwise idle connections save hardly a handshake, fill the
// connection table and keep new callers out, so they are closed after minIdleTimeout. In a
// storm they are kept, since a full table turns attempts away before they cost any work.
func (in *Instance) adjustIdleTimeout() {
	in.idle.updateStorm(in.concurrency.readShare)
	timeout := in.settings.MaxIdleTime
	if !in.callersComeBack(timeout) && !in.idle.storm {
		timeout = min(timeout, minIdleTimeout)
	}
	if timeout != in.idle.timeout {
		in.idle.timeout = timeout
		in.host.SetIdleTimeout(timeout)
	}
}

// callersComeBack tells whether a caller sends its next request within a span on average.
func (in *Instance) callersComeBack(within time.Duration) bool {
	age := in.now - in.startedAt
	return float64(in.settings.Callers)*float64(age) <= float64(within)*float64(in.idle.requestsRead)
}
