package rollout

import (
	"fmt"
	"testing"
)

// TestCollector makes samples of reports that come late, twice, out of order, over
// replacements and crashes.
func TestCollector(t *testing.T) {
	c := NewCollector()
	report := func(incarnation, sequence, requests uint64, version string) Report {
		r := Report{Server: "a", Incarnation: incarnation, Sequence: sequence, Version: version, Totals: Totals{Requests: requests}}
		c.Observe(r)
		return r
	}
	window := func(what string, want ...Sample) {
		t.Helper()
		got := c.EndWindow(Program)
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: %+v, want %+v", what, got, want)
		}
	}
	sample := func(version string, requests, crashes uint64) Sample {
		return Sample{Server: "a", Version: version, Requests: requests, Crashes: crashes}
	}
	first := report(1, 1, 10, "v1")
	window("one report")
	report(1, 3, 50, "v1")
	report(1, 2, 30, "v1") // overtaken
	window("two reports", sample("v1", 40, 0))
	window("no report")
	last := first
	last.Sequence, last.Leaving = 4, true
	c.Observe(last)
	report(2, 1, 5, "v2")
	c.Observe(first) // of the incarnation before
	window("replaced")
	report(2, 2, 25, "v2")
	window("the new version", sample("v2", 20, 0))
	report(3, 1, 4, "v2")
	window("crashed", sample("v2", 0, 1))
	report(3, 2, 10, "v2")
	window("came back", sample("v2", 6, 0))
	left := report(3, 3, 11, "v2")
	left.Sequence, left.Leaving = 4, true
	c.Observe(left)
	report(4, 1, 0, "v2")
	window("restarted by an operator")
}
