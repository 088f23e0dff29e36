package rollout

import (
	"cmp"
	"maps"
	"slices"
)

const (
	maxPastIncarnations = 8    // past incarnations of a server whose late reports are recognized
	maxSilentWindows    = 3600 // windows without a report after which a server is removed
)

// Collector computes the samples of each window from the reports of servers. It is not
// safe for concurrent use.
type Collector struct{ servers map[string]*serverReports }

// serverReports contains the latest reports of one server.
type serverReports struct {
	latest           Report
	windowStart      Report   // latest at the beginning of the window; its Incarnation is 0 if there was none
	pastIncarnations []uint64 // in order of their ends; their late reports are ignored
	crashes          uint64   // in this window
	silentWindows    int      // consecutive windows without a new report
}

// NewCollector returns an empty collector.
func NewCollector() *Collector { return &Collector{servers: map[string]*serverReports{}} }

// Observe processes a report. Reports may arrive late, twice and in any order.
func (c *Collector) Observe(r Report) {
	s := c.servers[r.Server]
	if s == nil {
		c.servers[r.Server] = &serverReports{latest: r}
		return
	}
	switch {
	case r.Incarnation == s.latest.Incarnation:
		if r.Sequence > s.latest.Sequence {
			s.latest = r
		}
	case !slices.Contains(s.pastIncarnations, r.Incarnation):
		s.observeRestart(r)
	}
}

// observeRestart processes the first report of a new incarnation. It counts a crash,
// unless the previous incarnation was leaving or had another version.
func (s *serverReports) observeRestart(r Report) {
	if !s.latest.Leaving && r.Version == s.latest.Version {
		s.crashes++
	}
	oldest := max(0, len(s.pastIncarnations)-maxPastIncarnations+1)
	s.pastIncarnations = append(slices.Clone(s.pastIncarnations[oldest:]), s.latest.Incarnation)
	s.latest = r
}

// EndWindow ends a window and returns its samples, sorted by server name. A server has a
// sample if it ran one incarnation and version during the complete window and sent a new
// report. A server that restarted after a crash has a sample with the crash only.
func (c *Collector) EndWindow(kind Kind) []Sample {
	var samples []Sample
	for _, name := range slices.Sorted(maps.Keys(c.servers)) {
		s := c.servers[name]
		if sample, ok := s.sample(kind); ok {
			samples = append(samples, sample)
		}
		s.beginWindow()
		if s.silentWindows > maxSilentWindows {
			delete(c.servers, name)
		}
	}
	return samples
}

// sample returns the server's sample of the window that ends, and whether it has one.
func (s *serverReports) sample(kind Kind) (Sample, bool) {
	version := kind.runningVersion(&s.latest)
	steady := s.latest.Incarnation == s.windowStart.Incarnation && s.latest.Sequence > s.windowStart.Sequence &&
		version == kind.runningVersion(&s.windowStart)
	if !steady {
		return Sample{Server: s.latest.Server, Version: version, Crashes: s.crashes}, s.crashes > 0
	}
	sample := s.latest.sampleSince(&s.windowStart, version)
	sample.Crashes = s.crashes
	if kind == Settings && s.latest.RejectedSettings != 0 {
		sample.RejectedVersion = settingsVersion(s.latest.RejectedSettings)
		sample.RejectionReason = s.latest.RejectionReason
	}
	return sample, true
}

// beginWindow makes the latest report the start of the next window and resets the crash
// count. It also counts the consecutive windows without a new report.
func (s *serverReports) beginWindow() {
	s.silentWindows++
	if s.latest.Incarnation != s.windowStart.Incarnation || s.latest.Sequence > s.windowStart.Sequence {
		s.silentWindows = 0
	}
	s.windowStart, s.crashes = s.latest, 0
}

// LatestReports returns the latest report of each server, sorted by server name.
func (c *Collector) LatestReports() []Report {
	reports := make([]Report, 0, len(c.servers))
	for _, s := range c.servers {
		reports = append(reports, s.latest)
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Server, b.Server) })
	return reports
}
