package rollout

import (
	"cmp"
	"maps"
	"slices"
)

// Totals are what a server has counted since its process began. In CBOR they are an
// array: the order of the fields is part of the format.
type Totals struct {
	_        struct{} `cbor:",toarray"`
	Requests uint64   // that it answered
	Refused  uint64
	Late     uint64              // served after the wanted time
	Failed   uint64              // or not answered in time
	Slower   [len(Bounds)]uint64 // as Sample.Slower
}

// Report is what a server says of itself, again and again. Its totals only
// grow, so that a report which is lost costs nothing but time. In CBOR it is an
// array: the order of the fields is part of the format.
type Report struct {
	_          struct{} `cbor:",toarray"`
	Server     string
	Zone       string
	Life       uint64 // drawn anew with each process
	Seq        uint64 // grows with each report of a life
	Version    string // of the program
	Settings   uint64 // number of the settings in force; 0 for those of its own file
	TurnedDown uint64 // number of the settings that it turned down last, and why
	Reason     string
	Leaving    bool // it was told to end: its next life is no crash's
	Totals     Totals
}

// sample gives what was counted between two reports of one life.
func (r *Report) sample(from *Report, version string) Sample {
	a, b := &from.Totals, &r.Totals
	s := Sample{Server: r.Server, Version: version, Requests: b.Requests - a.Requests, Refused: b.Refused - a.Refused,
		Late: b.Late - a.Late, Failed: b.Failed - a.Failed}
	for i := range s.Slower {
		s.Slower[i] = b.Slower[i] - a.Slower[i]
	}
	return s
}

// Collector makes each window's samples of what servers report. It is not safe
// for concurrent use.
type Collector struct{ servers map[string]*reported }

// reported is what is known of one server.
type reported struct {
	last    Report
	cut     Report   // the last when the window began; its Life is 0 where there was none
	former  []uint64 // lives before, the latest last: what they said may still come
	crashes uint64   // in this window
	silent  int      // windows without a report
}

const (
	mostFormer = 8
	mostSilent = 3600 // windows, after which a server is forgotten
)

// NewCollector makes one that has heard nothing.
func NewCollector() *Collector { return &Collector{servers: map[string]*reported{}} }

// Heard takes a report in; reports may come late, twice and in any order.
func (c *Collector) Heard(r Report) {
	s := c.servers[r.Server]
	if s == nil {
		c.servers[r.Server] = &reported{last: r}
		return
	}
	switch {
	case r.Life == s.last.Life:
		if r.Seq > s.last.Seq {
			s.last = r
		}
		return
	case slices.Contains(s.former, r.Life):
		return
	}
	if !s.last.Leaving && r.Version == s.last.Version {
		s.crashes++
	}
	s.former = append(s.former[max(0, len(s.former)-mostFormer+1):len(s.former):len(s.former)], s.last.Life)
	s.last = r
}

// Window ends a window and gives its samples, in the order of the servers'
// names. A server has one if it was of one life and version all through it; one
// that came back after a crash has one that tells of the crash only.
func (c *Collector) Window(kind Kind) []Sample {
	var out []Sample
	for _, name := range slices.Sorted(maps.Keys(c.servers)) {
		s := c.servers[name]
		was, now := kind.version(&s.cut), kind.version(&s.last)
		if s.last.Life == s.cut.Life && s.last.Seq > s.cut.Seq && was == now {
			x := s.last.sample(&s.cut, now)
			x.Crashes = s.crashes
			if kind == Settings && s.last.TurnedDown != 0 {
				x.TurnedDown, x.Reason = number(s.last.TurnedDown), s.last.Reason
			}
			out = append(out, x)
		} else if s.crashes > 0 {
			out = append(out, Sample{Server: name, Version: now, Crashes: s.crashes})
		}
		if s.silent++; s.last.Life != s.cut.Life || s.last.Seq > s.cut.Seq {
			s.silent = 0
		}
		if s.cut, s.crashes = s.last, 0; s.silent > mostSilent {
			delete(c.servers, name)
		}
	}
	return out
}

// Reports gives the latest report of each server, in the order of their names.
func (c *Collector) Reports() []Report {
	out := make([]Report, 0, len(c.servers))
	for _, s := range c.servers {
		out = append(out, s.last)
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Server, b.Server) })
	return out
}
