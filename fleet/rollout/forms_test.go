package rollout

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/internal/golden"
)

// formPlan is the plan in the golden files.
func formPlan() *Plan {
	return &Plan{
		ID: "r1", Kind: Settings, From: "0", To: "1", Servers: []Server{{Name: "a", Zone: "z1"}, {Name: "b", Zone: "z2"}},
		Stages: []Stage{
			{Share: 0.5, BakeWindows: 2, MinRequests: 3, MaxWindows: 40},
			{Share: 1, BakeWindows: 5, MinRequests: 6, MaxWindows: 70},
		},
		MinWatchWindows: 8, MaxWatchWindows: 9, WarmUpWindows: 10,
		Limits: Limits{WorseRatio: 1.2, FalseHaltProbability: 0.01, MissProbability: 0.001, UnprovenShare: 0.05, NegligibleRate: 0.004},
	}
}

// formState is the state in the golden files.
func formState() State {
	history := History{Requests: 100, Late: 10, Rejected: 11, Failed: 12}
	for i := range history.SlowerThan {
		history.SlowerThan[i] = float64(60 - i)
	}
	return State{
		Phase: RollingBack, Stage: 1, Window: 12, WindowsInPhase: 3, Requests: 400, Crashes: 2,
		Tests: map[string]SequentialTest{lateEvent: {
			LogLikelihoodRatio: 1.5, DispersionSum: 2.5, Windows: 3, CohortEvents: 4, CohortRequests: 5,
			BaselineEvents: 6, BaselineRequests: 7, HistoryEvents: 8,
		}},
		Histories: map[string]History{"a": history},
		SlowBound: 4, Reason: "late is worse",
	}
}

// formTimes are the answers by time in the golden files.
func formTimes() (slower [len(LatencyBounds)]uint64) {
	for i := range slower {
		slower[i] = uint64(30 - i)
	}
	return slower
}

// TestStoredForms compares the record and its commands with the bytes that the
// version before the renaming wrote to the voters' log.
func TestStoredForms(t *testing.T) {
	patch := json.RawMessage(`{"x":1}`)
	golden.RoundTrip(t, "record.json", Record{
		Index: 77, Plan: formPlan(), State: formState(),
		Decision:     Decision{Verdict: Halt, Reason: "late is worse", PendingServers: []string{"b"}},
		LastSettings: 2, CurrentSettings: 1, Patches: map[uint64]json.RawMessage{1: patch},
	}, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "command-start.json", Command{Kind: Start, Plan: formPlan(), Patch: patch}, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "command-step.json", Command{
		Kind: Step, PreviousIndex: 76, State: formState(), HistoriesUnchanged: true,
		Decision: Decision{Verdict: Proceed, Reason: "the servers were watched"},
	}, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "command-stop.json", Command{Kind: Stop, ID: "r1", Reason: "enough"}, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "sample.json", Sample{
		Server: "a", Version: "1", Requests: 100, Rejected: 1, Late: 2, Failed: 3, Crashes: 4, SlowerThan: formTimes(),
		RejectedVersion: "2", RejectionReason: "no such class",
	}, json.Marshal, json.Unmarshal)
}

// TestSentForms compares reports and directives with the bytes that the version
// before the renaming sent.
func TestSentForms(t *testing.T) {
	golden.RoundTrip(t, "report.cbor", Report{
		Server: "a", Zone: "z1", Incarnation: 5, Sequence: 6, Version: "v1", Settings: 7, RejectedSettings: 8,
		RejectionReason: "no such class", Leaving: true,
		Totals: Totals{Requests: 100, Rejected: 1, Late: 2, Failed: 3, SlowerThan: formTimes()},
	}, cbor.Marshal, cbor.Unmarshal)
	golden.RoundTrip(t, "directive.cbor", Directive{
		Token: lease.Token{Term: 3, Index: 4}, Index: 77, SettingsNumber: 2, Patch: []byte(`{"x":1}`),
	}, cbor.Marshal, cbor.Unmarshal)
}
