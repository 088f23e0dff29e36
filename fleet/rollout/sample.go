package rollout

import "time"

// Sample contains the counts of one server in one window.
type Sample struct {
	Server   string `json:"server"`
	Version  string `json:"version"` // that the server runs
	Requests uint64 `json:"requests"`
	Rejected uint64 `json:"refused"`
	Late     uint64 `json:"late"` // served after the latency objective
	Failed   uint64 `json:"failed"`
	Crashes  uint64 `json:"crashes"`
	// SlowerThan counts answers by latency: SlowerThan[i] took LatencyBounds[i] or longer.
	SlowerThan [len(LatencyBounds)]uint64 `json:"slower"`
	// RejectedVersion is the version that the server rejected last, "" for none.
	RejectedVersion string `json:"turned_down,omitempty"`
	RejectionReason string `json:"reason,omitempty"`
}

// LatencyBounds are the latencies from which on the counts of Sample.SlowerThan include
// an answer.
var LatencyBounds = [...]time.Duration{
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	350 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond, time.Second, 1400 * time.Millisecond,
	2 * time.Second, 2800 * time.Millisecond, 4 * time.Second, 5600 * time.Millisecond, 8 * time.Second,
}

// The events whose rates are compared between the cohort and the baseline.
const (
	lateEvent     = "late"
	rejectedEvent = "refused"
	failedEvent   = "failed"
	slowEvent     = "slow"
)

// comparedEvent is an event whose rate is compared between the cohort and the baseline.
type comparedEvent struct {
	name         string // also the name of its test
	count        func(Sample) uint64
	historyCount func(History) float64
}

// comparedEvents returns all events. An answer that took LatencyBounds[slowBound] or
// longer is slow.
func comparedEvents(slowBound int) []comparedEvent {
	return []comparedEvent{
		{lateEvent, func(s Sample) uint64 { return s.Late }, func(h History) float64 { return h.Late }},
		{rejectedEvent, func(s Sample) uint64 { return s.Rejected }, func(h History) float64 { return h.Rejected }},
		{failedEvent, func(s Sample) uint64 { return s.Failed }, func(h History) float64 { return h.Failed }},
		{
			slowEvent, func(s Sample) uint64 { return s.SlowerThan[slowBound] },
			func(h History) float64 { return h.SlowerThan[slowBound] },
		},
	}
}

// testNames returns the names of all tests, in the order in which they are evaluated.
func testNames() []string {
	return []string{failedEvent, lateEvent, baselineFailuresTest, rejectedEvent, slowEvent}
}

// sumCounts returns an event's count, summed over the samples.
func sumCounts(samples []Sample, count func(Sample) uint64) float64 {
	total := 0.0
	for _, s := range samples {
		total += float64(count(s))
	}
	return total
}

// sumWeights returns the weighted number of requests, summed over the samples.
func sumWeights(samples []Sample, weight func(Sample) float64) float64 {
	total := 0.0
	for _, s := range samples {
		total += weight(s)
	}
	return total
}

// countCrashes returns the number of crashes in all samples.
func countCrashes(samples []Sample) uint64 {
	var crashes uint64
	for _, s := range samples {
		crashes += s.Crashes
	}
	return crashes
}
