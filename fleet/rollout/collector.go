package rollout

import (
	"cmp"
	"maps"
	"slices"
)

// Totals are what a server has counted since its process began. In CBOR they are an
// array: the order of the fields is part of the format.
type Totals struct {
	_          struct{} `cbor:",toarray"`
	Requests   uint64   // that it answered
	Rejected   uint64
	Late       uint64                     // served after the wanted time
	Failed     uint64                     // or not answered in time
	SlowerThan [len(LatencyBounds)]uint64 // as Sample.Slower
}

// Report is what a server says of itself, again and again. Its totals only
// grow, so that a report which is lost costs nothing but time. In CBOR it is an
// array: the order of the fields is part of the format.
type Report struct {
	_                struct{} `cbor:",toarray"`
	Server           string
	Zone             string
	Incarnation      uint64 // drawn anew with each process
	Sequence         uint64 // grows with each report of a life
	Version          string // of the program
	Settings         uint64 // number of the settings in force; 0 for those of its own file
	RejectedSettings uint64 // number of the settings that it turned down last, and why
	RejectionReason  string
	Leaving          bool // it was told to end: its next life is no crash's
	Totals           Totals
}

// sample gives what was counted between two reports of one life.
func (r *Report) sample(from *Report, version string) Sample {
	a, b := &from.Totals, &r.Totals
	s := Sample{Server: r.Server, Version: version, Requests: b.Requests - a.Requests, Rejected: b.Rejected - a.Rejected,
		Late: b.Late - a.Late, Failed: b.Failed - a.Failed}
	for i := range s.SlowerThan {
		s.SlowerThan[i] = b.SlowerThan[i] - a.SlowerThan[i]
	}
	return s
}

// Collector makes each window's samples of what servers report. It is not safe
// for concurrent use.
type Collector struct{ servers map[string]*serverReports }

// serverReports is what is known of one server.
type serverReports struct {
	last             Report
	windowStart      Report   // the last when the window began; its Life is 0 where there was none
	pastIncarnations []uint64 // lives before, the latest last: what they said may still come
	crashes          uint64   // in this window
	silentWindows    int      // windows without a report
}

const (
	maxPastIncarnations = 8
	maxSilentWindows    = 3600 // windows, after which a server is forgotten
)

// NewCollector makes one that has heard nothing.
func NewCollector() *Collector { return &Collector{servers: map[string]*serverReports{}} }

// Observe takes a report in; reports may come late, twice and in any order.
func (c *Collector) Observe(r Report) {
	s := c.servers[r.Server]
	if s == nil {
		c.servers[r.Server] = &serverReports{last: r}
		return
	}
	switch {
	case r.Incarnation == s.last.Incarnation:
		if r.Sequence > s.last.Sequence {
			s.last = r
		}
		return
	case slices.Contains(s.pastIncarnations, r.Incarnation):
		return
	}
	if !s.last.Leaving && r.Version == s.last.Version {
		s.crashes++
	}
	s.pastIncarnations = append(s.pastIncarnations[max(0, len(s.pastIncarnations)-maxPastIncarnations+1):len(s.pastIncarnations):len(s.pastIncarnations)], s.last.Incarnation)
	s.last = r
}

// EndWindow ends a window and gives its samples, in the order of the servers'
// names. A server has one if it was of one life and version all through it; one
// that came back after a crash has one that tells of the crash only.
func (c *Collector) EndWindow(kind Kind) []Sample {
	var out []Sample
	for _, name := range slices.Sorted(maps.Keys(c.servers)) {
		s := c.servers[name]
		was, now := kind.runningVersion(&s.windowStart), kind.runningVersion(&s.last)
		if s.last.Incarnation == s.windowStart.Incarnation && s.last.Sequence > s.windowStart.Sequence && was == now {
			x := s.last.sample(&s.windowStart, now)
			x.Crashes = s.crashes
			if kind == Settings && s.last.RejectedSettings != 0 {
				x.RejectedVersion, x.RejectionReason = settingsVersion(s.last.RejectedSettings), s.last.RejectionReason
			}
			out = append(out, x)
		} else if s.crashes > 0 {
			out = append(out, Sample{Server: name, Version: now, Crashes: s.crashes})
		}
		if s.silentWindows++; s.last.Incarnation != s.windowStart.Incarnation || s.last.Sequence > s.windowStart.Sequence {
			s.silentWindows = 0
		}
		if s.windowStart, s.crashes = s.last, 0; s.silentWindows > maxSilentWindows {
			delete(c.servers, name)
		}
	}
	return out
}

// LatestReports gives the latest report of each server, in the order of their names.
func (c *Collector) LatestReports() []Report {
	out := make([]Report, 0, len(c.servers))
	for _, s := range c.servers {
		out = append(out, s.last)
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Server, b.Server) })
	return out
}
