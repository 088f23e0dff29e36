package rollout

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/internal/golden"
)

// slower is a count for each of Bounds.
func slower[T uint64 | float64](from T) (counts [len(Bounds)]T) {
	for i := range counts {
		counts[i] = from / T(uint64(1)<<i)
	}
	return counts
}

func goldenPlan(kind Kind) *Plan {
	return &Plan{
		ID: "r-2026", Kind: kind, From: "1", To: "2", Servers: servers(6), Watch: 30, WatchMost: 300, Warm: 2,
		Stages: []Stage{
			{Share: 0, Bake: 20, Sample: 2000, Patience: 900},
			{Share: 0.5, Bake: 10, Sample: 5000, Patience: 300},
			{Share: 1, Bake: 1, Patience: 120},
		},
		Limits: Limits{Worse: 1.25, Mistaken: 0.01, Missed: 0.001, Small: 0.05, Least: 0.004},
	}
}

// goldenState is a state with each of its fields.
func goldenState() State {
	return State{
		Phase: Baking, Stage: 1, Window: 77, Waited: 5, Requests: 4711, Crashes: 1, SlowAt: 6, Reason: "stage 1: late is worse",
		Tests: map[string]Test{
			"late":       {Evidence: -1.5, Spread: 2.25, Windows: 5, Bad: 3, Of: 100.5, OldBad: 7, OldOf: 300.25, Past: 20},
			"old-failed": {Evidence: 0.125, Spread: 1, Windows: 5, Bad: 1, Of: 2, OldBad: 3, OldOf: 4},
		},
		Used: map[string]Used{"s0": {Requests: 1000, Late: 8, Refused: 4, Failed: 2, Slower: slower(1024.0)}, "s1": {}},
	}
}

// TestGoldenRecord writes and reads the record of rollouts, as the voters'
// snapshots hold it and operators get it: with each phase and verdict, and each
// field.
func TestGoldenRecord(t *testing.T) {
	golden.RoundTrip(t, "record-none.json", Record{}, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "record-program.json", Record{
		Index: 90, Plan: goldenPlan(Program), State: goldenState(),
		Decision: Decision{Verdict: Wait, Reason: "servers of the stage say nothing, or run another version", Missing: []string{"s0", "s4"}},
	},
		json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "record-settings.json", Record{
		Index: 91, Plan: goldenPlan(Settings), State: State{Phase: Replacing},
		Decision: Decision{Verdict: GoOn, Reason: "the servers were watched"}, Last: 2, Current: 1,
		Patches: map[uint64]json.RawMessage{1: json.RawMessage(`{"queue":null}`), 2: json.RawMessage(`{"lanes":{"a":{"aim_ms":5}}}`)},
	},
		json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "states.json", []State{
		{Phase: Watching},
		{Phase: Replacing},
		{Phase: Baking},
		{Phase: Done},
		{Phase: Back, Reason: "halted"},
		{Phase: Halted, Reason: "halted"},
	}, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "decisions.json", []Decision{
		{Verdict: Wait, Reason: "baking"},
		{Verdict: GoOn, Reason: "stage 0 did no worse"},
		{Verdict: Halt, Reason: "halted"},
	}, json.Marshal, json.Unmarshal)
}

// TestGoldenOrders writes and reads an order of each kind, as the voters' log
// holds them.
func TestGoldenOrders(t *testing.T) {
	step := Order{Kind: Step, Prev: 90, State: goldenState(), Decision: Decision{Verdict: Wait, Reason: "baking"}}
	same := step
	same.State.Used, same.SameUsed = nil, true
	for name, o := range map[string]Order{
		"order-start-program.json":   {Kind: Start, Plan: goldenPlan(Program)},
		"order-start-settings.json":  {Kind: Start, Plan: goldenPlan(Settings), Patch: json.RawMessage(`{"lanes":{"a":{"aim_ms":5}}}`)},
		"order-step.json":            step,
		"order-step-same-used.json":  same,
		"order-stop.json":            {Kind: Stop, ID: "r-2026", Reason: "halted by an operator"},
		"order-step-first-wait.json": {Kind: Step, Prev: 1, State: State{Phase: Watching, Window: 1, Waited: 1}},
	} {
		golden.RoundTrip(t, name, o, json.Marshal, json.Unmarshal)
	}
}

// TestGoldenDesired has the golden record lead to the same versions of the same
// servers: a new owner of another version of the program goes on with the stage
// that the one before it began.
func TestGoldenDesired(t *testing.T) {
	for file, record := range map[string]string{"desired-program.json": "record-program.json", "desired-settings.json": "record-settings.json"} {
		var r Record
		if err := json.Unmarshal(golden.Bytes(t, record), &r); err != nil {
			t.Fatal(err)
		}
		golden.RoundTrip(t, file, r.Plan.Desired(r.State), json.Marshal, json.Unmarshal)
	}
}

// TestGoldenMessages writes and reads what servers and the owner of the rollout
// send each other.
func TestGoldenMessages(t *testing.T) {
	report := Report{
		Server: "s1", Zone: "z1", Life: 1 << 62, Seq: 300, Version: "2", Settings: 3, TurnedDown: 4, Reason: "settings.lanes: no",
		Leaving: true, Totals: Totals{Requests: 1 << 33, Refused: 5, Late: 6, Failed: 7, Slower: slower(uint64(1 << 20))},
	}
	golden.RoundTrip(t, "report.cbor", report, cbor.Marshal, cbor.Unmarshal)
	golden.RoundTrip(t, "report-first.cbor", Report{Server: "s1", Life: 1, Seq: 1}, cbor.Marshal, cbor.Unmarshal)
	token := lease.Token{Term: 3, Index: 300}
	golden.RoundTrip(t, "direction.cbor", Direction{Token: token, Index: 90, Number: 2, Patch: []byte(`{"queue":null}`)}, cbor.Marshal, cbor.Unmarshal)
	golden.RoundTrip(t, "direction-own-file.cbor", Direction{Token: token, Index: 91}, cbor.Marshal, cbor.Unmarshal)
}
