package rollout

import (
	"fmt"
	"testing"
)

// TestCollector_SamplesPerWindow checks the samples of each window from reports that
// arrive late, twice or out of order, across replacements, crashes and restarts.
func TestCollector_SamplesPerWindow(t *testing.T) {
	c := NewCollector()
	report := func(incarnation, sequence, requests uint64, version string) Report {
		r := Report{Server: "a", Incarnation: incarnation, Sequence: sequence, Version: version, Totals: Totals{Requests: requests}}
		c.Observe(r)
		return r
	}
	checkWindow := func(name string, want ...Sample) {
		t.Helper()
		got := c.EndWindow(Program)
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: EndWindow() = %+v, want %+v", name, got, want)
		}
	}
	sample := func(version string, requests, crashes uint64) Sample {
		return Sample{Server: "a", Version: version, Requests: requests, Crashes: crashes}
	}
	first := report(1, 1, 10, "v1")
	checkWindow("first report")
	report(1, 3, 50, "v1")
	report(1, 2, 30, "v1") // arrives after a later report
	checkWindow("later reports", sample("v1", 40, 0))
	checkWindow("no report")
	last := first
	last.Sequence, last.Leaving = 4, true
	c.Observe(last)
	report(2, 1, 5, "v2")
	c.Observe(first) // late report of the previous incarnation
	checkWindow("replaced by a new version")
	report(2, 2, 25, "v2")
	checkWindow("first complete window of the new version", sample("v2", 20, 0))
	report(3, 1, 4, "v2")
	checkWindow("crashed", sample("v2", 0, 1))
	report(3, 2, 10, "v2")
	checkWindow("first complete window after the crash", sample("v2", 6, 0))
	left := report(3, 3, 11, "v2")
	left.Sequence, left.Leaving = 4, true
	c.Observe(left)
	report(4, 1, 0, "v2")
	checkWindow("restarted by an operator")
}
