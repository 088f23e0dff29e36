package simwire

import (
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

func TestRequest_DecodesFields(t *testing.T) {
	m, err := Parse("REQ instanceId=3 xid=5d3a qos=2 notAfterUs=8652250 costUs=12000 heldKb=24.5 place=0.625 " +
		"retry=1 waitedUs=1850 earlier=0 later=whatever")
	if err != nil {
		t.Fatal(err)
	}
	r := m.Request()
	if m.Err() != nil {
		t.Fatal(m.Err())
	}
	want := decision.Request{
		ID: "5d3a", Class: 2, Deadline: 8652250 * time.Microsecond, CostHint: 12 * time.Millisecond, ReservedKB: 24.5,
		Rank: 0.625, Retry: true, ReadLag: 1850 * time.Microsecond,
	}
	if r != want {
		t.Errorf("Request() = %+v\nwant %+v", r, want)
	}
}

func TestParse_LongAndMalformedFields(t *testing.T) {
	longText := strings.Repeat("x", 1<<20)
	m, err := Parse("HELLO instanceId=1 profileData={\"a\": \"b = " + longText + "\"}")
	if err != nil || len(m.fields[fieldSettings]) < 1<<20 {
		t.Errorf("Parse(settings of 1 MiB) failed or truncated them: %v", err)
	}
	for _, line := range []string{" REQ", "REQ xid", "REQ =5", "a=b"} {
		if _, err := Parse(line); err == nil {
			t.Errorf("Parse(%q) succeeded, want an error", line)
		}
	}
	for _, line := range []string{"REQ qos=1", "REQ xid=a qos=x", "REQ xid=a heldKb=y", "REQ xid=a retry=2"} {
		m, err := Parse(line)
		if err != nil {
			t.Fatal(err)
		}
		if m.Request(); m.Err() == nil {
			t.Errorf("Request() of %q succeeded, want an error", line)
		}
	}
	if m, _ := Parse("RING stats=core_use"); m.Gauges().CoreUtilization >= 0 || m.Err() == nil {
		t.Error("Gauges() with a gauge without a value succeeded or set the gauge, want an error and no value")
	}
}

func TestSettings_MapsWordsAndIgnoresUnknownFields(t *testing.T) {
	s, err := Settings(`{"servers": 11, "quantumUs": 2000, "unknown": {"x": [1]},
		"familyInfo": {"cores": 6, "dependsOn": "common", "stopMode": "pause", "say": "min_rank",
			"callsByClass": [true], "staysForUs": 200000, "heededUs": 900000},
		"lanes": [{"goalTimeUs": 2400000, "semantics": "single_shot", "gain": 3}, {"semantics": "guarded"}]}`)
	if err != nil {
		t.Fatal(err)
	}
	if s.Servers != 11 || s.Cores != 6 || s.Dependency != decision.SharedDependency || s.CancelMode != decision.CancelPause ||
		s.LoadReportMode != decision.LoadReportMinRank || s.LoadReportTTL != 900*time.Millisecond || s.AbandonedCallDuration != 200*time.Millisecond || len(s.Classes) != 2 ||
		s.Classes[0].Idempotency != decision.NonIdempotent || !s.Classes[0].CallsDependency || s.Classes[1].Idempotency != decision.Keyed {
		t.Errorf("Settings = %+v, want the values of the JSON", s)
	}
	for _, invalid := range []string{"{", `{"familyInfo": {"stopMode": "sideways"}}`} {
		if _, err := Settings(invalid); err == nil {
			t.Errorf("Settings(%s) succeeded, want an error", invalid)
		}
	}
}
