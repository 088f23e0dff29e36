package rollout

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/internal/golden"
)

// slowerThan returns a count for each of LatencyBounds, halved from one to the next.
func slowerThan[T uint64 | float64](from T) (counts [len(LatencyBounds)]T) {
	for i := range counts {
		counts[i] = from / T(uint64(1)<<i)
	}
	return counts
}

func goldenPlan(kind Kind) *Plan {
	return &Plan{
		ID: "r-2026", Kind: kind, From: "1", To: "2", Servers: servers(6), MinWatchWindows: 30, MaxWatchWindows: 300, WarmUpWindows: 2,
		Stages: []Stage{
			{Share: 0, BakeWindows: 20, MinRequests: 2000, MaxWindows: 900},
			{Share: 0.5, BakeWindows: 10, MinRequests: 5000, MaxWindows: 300},
			{Share: 1, BakeWindows: 1, MaxWindows: 120},
		},
		Limits: Limits{WorseRatio: 1.25, FalseHaltProbability: 0.01, MissProbability: 0.001, UnprovenShare: 0.05, NegligibleRate: 0.004},
	}
}

// goldenState returns a state with all fields set.
func goldenState() State {
	return State{
		Phase: Baking, Stage: 1, Window: 77, WindowsInPhase: 5, Requests: 4711, Crashes: 1, SlowBound: 6, Reason: "stage 1: late is worse",
		Tests: map[string]SequentialTest{
			"late":       {LogLikelihoodRatio: -1.5, DispersionSum: 2.25, Windows: 5, CohortEvents: 3, CohortRequests: 100.5, BaselineEvents: 7, BaselineRequests: 300.25, HistoryEvents: 20},
			"old-failed": {LogLikelihoodRatio: 0.125, DispersionSum: 1, Windows: 5, CohortEvents: 1, CohortRequests: 2, BaselineEvents: 3, BaselineRequests: 4},
		},
		Histories: map[string]History{"s0": {Requests: 1000, Late: 8, Rejected: 4, Failed: 2, SlowerThan: slowerThan(1024.0)}, "s1": {}},
	}
}

// TestGoldenRecord encodes and decodes records in the format of the voters' snapshots
// and of the operators' API, with each phase, verdict and field.
func TestGoldenRecord(t *testing.T) {
	golden.RoundTrip(t, "record-none.json", Record{}, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "record-program.json", Record{
		Index: 90, Plan: goldenPlan(Program), State: goldenState(),
		Decision: Decision{Verdict: Wait, Reason: "servers of the stage say nothing, or run another version", PendingServers: []string{"s0", "s4"}},
	},
		json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "record-settings.json", Record{
		Index: 91, Plan: goldenPlan(Settings), State: State{Phase: Replacing},
		Decision: Decision{Verdict: Proceed, Reason: "the servers were watched"}, LastSettings: 2, CurrentSettings: 1,
		Patches: map[uint64]json.RawMessage{1: json.RawMessage(`{"queue":null}`), 2: json.RawMessage(`{"lanes":{"a":{"aim_ms":5}}}`)},
	},
		json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "states.json", []State{
		{Phase: Watching},
		{Phase: Replacing},
		{Phase: Baking},
		{Phase: Done},
		{Phase: RollingBack, Reason: "halted"},
		{Phase: Halted, Reason: "halted"},
	}, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "decisions.json", []Decision{
		{Verdict: Wait, Reason: "baking"},
		{Verdict: Proceed, Reason: "stage 0 did no worse"},
		{Verdict: Halt, Reason: "halted"},
	}, json.Marshal, json.Unmarshal)
}

// TestGoldenCommands encodes and decodes a command of each kind in the format of the
// voters' log.
func TestGoldenCommands(t *testing.T) {
	step := Command{Kind: Step, PreviousIndex: 90, State: goldenState(), Decision: Decision{Verdict: Wait, Reason: "baking"}}
	unchanged := step
	unchanged.State.Histories, unchanged.HistoriesUnchanged = nil, true
	for name, command := range map[string]Command{
		"order-start-program.json":   {Kind: Start, Plan: goldenPlan(Program)},
		"order-start-settings.json":  {Kind: Start, Plan: goldenPlan(Settings), Patch: json.RawMessage(`{"lanes":{"a":{"aim_ms":5}}}`)},
		"order-step.json":            step,
		"order-step-same-used.json":  unchanged,
		"order-stop.json":            {Kind: Stop, ID: "r-2026", Reason: "halted by an operator"},
		"order-step-first-wait.json": {Kind: Step, PreviousIndex: 1, State: State{Phase: Watching, Window: 1, WindowsInPhase: 1}},
	} {
		golden.RoundTrip(t, name, command, json.Marshal, json.Unmarshal)
	}
}

// TestGoldenDesired checks that the golden records give the same desired versions of the
// same servers, so that a new owner with another version of the program resumes the
// stage that the previous owner began.
func TestGoldenDesired(t *testing.T) {
	for file, record := range map[string]string{"desired-program.json": "record-program.json", "desired-settings.json": "record-settings.json"} {
		var r Record
		if err := json.Unmarshal(golden.Bytes(t, record), &r); err != nil {
			t.Fatal(err)
		}
		golden.RoundTrip(t, file, r.Plan.DesiredVersions(r.State), json.Marshal, json.Unmarshal)
	}
}

// TestGoldenMessages encodes and decodes the messages between servers and the owner of
// the rollout's lease.
func TestGoldenMessages(t *testing.T) {
	report := Report{
		Server: "s1", Zone: "z1", Incarnation: 1 << 62, Sequence: 300, Version: "2", Settings: 3, RejectedSettings: 4, RejectionReason: "settings.lanes: no",
		Leaving: true, Totals: Totals{Requests: 1 << 33, Rejected: 5, Late: 6, Failed: 7, SlowerThan: slowerThan(uint64(1 << 20))},
	}
	golden.RoundTrip(t, "report.cbor", report, cbor.Marshal, cbor.Unmarshal)
	golden.RoundTrip(t, "report-first.cbor", Report{Server: "s1", Incarnation: 1, Sequence: 1}, cbor.Marshal, cbor.Unmarshal)
	token := lease.Token{Term: 3, Index: 300}
	golden.RoundTrip(t, "direction.cbor", Directive{Token: token, Index: 90, SettingsNumber: 2, Patch: []byte(`{"queue":null}`)}, cbor.Marshal, cbor.Unmarshal)
	golden.RoundTrip(t, "direction-own-file.cbor", Directive{Token: token, Index: 91}, cbor.Marshal, cbor.Unmarshal)
}
