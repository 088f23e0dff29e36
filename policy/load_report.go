package policy

import (
	"math"
	"slices"
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	pressureTimeConstant  = time.Second
	minAdvertisedFraction = 0.1  // least load report, as a fraction of the full one
	minAdvertisedChange   = 0.02 // least change to publish, as a fraction of the full load report
	neverPublished        = -1   // value of loadReport.published before the first report
	minIdleTimeout        = 10 * time.Millisecond

	// Read shares at which a handshake storm starts and ends.
	handshakeStormOnset = 0.6
	handshakeStormClear = handshakeStormOnset / 10
)

// loadReport holds the load report that callers have, and the input of the next one.
type loadReport struct {
	pressure      float64      // smoothed probability of shedding, 0 to 1
	peak          float64      // highest probability of shedding since the last timer
	published     float64      // the last report, or neverPublished
	recentCallers []callerSeen // most recent last
}

// callerSeen is a caller and the time when its last request was read.
type callerSeen struct {
	caller int
	readAt time.Duration
}

// recordShedProbability records a probability of shedding.
func (l *loadReport) recordShedProbability(shedProbability float64) {
	l.peak = max(l.peak, shedProbability)
}

// updatePressure updates the pressure with the peak of the last interval, and starts the next
// interval with the current probability of shedding.
func (l *loadReport) updatePressure(shedProbability float64, interval time.Duration) {
	l.pressure = movingAverage(l.pressure, l.peak, sampleWeight(interval, pressureTimeConstant))
	l.peak = shedProbability
}

// recordCaller records that a request of a caller was read.
func (l *loadReport) recordCaller(caller int, now time.Duration) {
	seenBefore := func(c callerSeen) bool { return c.caller == caller }
	l.recentCallers = append(slices.DeleteFunc(l.recentCallers, seenBefore), callerSeen{caller, now})
}

// removeCallersBefore removes the callers without a request since a time.
func (l *loadReport) removeCallersBefore(since time.Duration) {
	l.recentCallers = slices.DeleteFunc(l.recentCallers, func(c callerSeen) bool { return c.readAt < since })
}

// publishLoad publishes a new load report if it differs enough from the last.
func (in *Instance) publishLoad() {
	lowestPriority := &request{arrivedAt: math.MaxInt64} // sorts after all others
	in.load.updatePressure(in.shedProbability(lowestPriority), in.timerInterval)
	in.load.removeCallersBefore(in.now - in.settings.LoadReportTTL)
	report, full := in.loadReportValue()
	if math.Abs(report-in.load.published) >= minAdvertisedChange*full {
		in.load.published = report
		in.host.PublishLoad(report)
	}
}

// loadReportValue returns the load report and its greatest possible value, both in the unit
// of the mode: a rank, a number of requests, or a probability.
//
// LoadReportCredit is a credit for each caller. It is divided among the callers of recent
// requests, because only they will act on it.
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
	return full * (1 - float64(in.load.pressure*(1-minAdvertisedFraction))), full
}

// idleTimeout holds the idle time after which connections are closed, and its inputs.
type idleTimeout struct {
	timeout        time.Duration
	requestsRead   int  // so far
	handshakeStorm bool // a handshake storm: reads and handshakes use most of the cores
}

// updateHandshakeStorm starts or ends a handshake storm, depending on the read share. The
// storm ends at a much lower share than it starts at, because a full connection table rejects
// most connection attempts, and the share falls although callers keep trying.
func (t *idleTimeout) updateHandshakeStorm(readShare float64) {
	t.handshakeStorm = readShare > handshakeStormOnset || t.handshakeStorm && readShare > handshakeStormClear
}

// adjustIdleTimeout sets the idle timeout to MaxIdleTime if callers send their next request
// within it on average. Otherwise idle connections save few handshakes, fill the connection
// table and keep new callers out, so the timeout is minIdleTimeout. During a handshake storm
// it is MaxIdleTime, because a full table rejects attempts before they cost any work.
func (in *Instance) adjustIdleTimeout() {
	in.idle.updateHandshakeStorm(in.concurrency.readShare)
	timeout := in.settings.MaxIdleTime
	if !in.callersSendWithin(timeout) && !in.idle.handshakeStorm {
		timeout = min(timeout, minIdleTimeout)
	}
	if timeout != in.idle.timeout {
		in.idle.timeout = timeout
		in.host.SetIdleTimeout(timeout)
	}
}

// callersSendWithin reports whether a caller sends its next request within a time, on average.
func (in *Instance) callersSendWithin(within time.Duration) bool {
	age := in.now - in.startedAt
	return float64(in.settings.Callers)*float64(age) <= float64(within)*float64(in.idle.requestsRead)
}
