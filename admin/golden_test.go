package admin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"quincerail.example/quincerail/fleet"
	"quincerail.example/quincerail/fleet/consensus"
	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/fleet/rollout"
	"quincerail.example/quincerail/internal/golden"
)

// goldenChange returns the rollout status of changes.json.
func goldenChange() fleet.RolloutStatus {
	plan := &rollout.Plan{
		ID: "r1", Kind: rollout.Program, From: "1", To: "2", Servers: []rollout.Server{{Name: "a", Zone: "z1"}, {Name: "b", Zone: "z2"}},
		Stages: rollout.DefaultStages(), MinWatchWindows: 300, MaxWatchWindows: 3000, WarmUpWindows: 2, Limits: rollout.DefaultLimits(),
	}
	return fleet.RolloutStatus{
		Record: rollout.Record{
			Index: 40, Plan: plan, State: rollout.State{Phase: rollout.Baking, Stage: 1, Window: 9},
			Decision: rollout.Decision{Verdict: rollout.Wait, Reason: "baking", PendingServers: []string{"b"}}, LastSettings: 3, CurrentSettings: 2,
			Patches: map[uint64]json.RawMessage{2: json.RawMessage(`{"queue":null}`)},
		},
		Owner: "v1", Token: lease.Token{Term: 2, Index: 17}, DesiredVersions: map[string]string{"a": "2", "b": "1"},
		Servers: []fleet.ServerStatus{
			{Name: "a", Zone: "z1", Version: "2", SettingsNumber: 2, RejectedSettings: 3, RejectionReason: "settings.lanes: no", Leaving: true},
			{Name: "b", Zone: "z2", Version: "1"},
		},
	}
}

// TestGolden_Answers checks that the answers of GET about rollouts and voters are byte for byte
// those of the golden files, and that the files decode to the same values.
func TestGolden_Answers(t *testing.T) {
	voters := []fleet.VoterStatus{
		{Voter: consensus.Voter{Name: "v1", Address: "10.0.0.1:7000"}, Alive: true},
		{Voter: consensus.Voter{Name: "v4", Address: "10.0.0.4:7000", Learner: true}},
	}
	for name, v := range map[string]any{"changes.json": goldenChange(), "changes-none.json": fleet.RolloutStatus{}, "voters.json": voters} {
		endpoint := &resource{get: func() (any, error) { return v, nil }}
		w := httptest.NewRecorder()
		endpoint.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil))
		if kind := w.Header().Get("Content-Type"); w.Code != http.StatusOK || kind != "application/json" {
			t.Errorf("%s: status %d, Content-Type %q, want 200 and application/json", name, w.Code, kind)
		}
		golden.Equal(t, name, w.Body.Bytes())
	}
	golden.Decodes(t, "changes.json", goldenChange(), json.Unmarshal)
	golden.Decodes(t, "changes-none.json", fleet.RolloutStatus{}, json.Unmarshal)
	golden.Decodes(t, "voters.json", voters, json.Unmarshal)
}

// TestGolden_Requests checks the encoding of operators' requests against the golden files, and
// that the endpoints accept these bodies. The endpoints belong to a process that is not a
// voter: they answer 421 to a valid body, but 400 to a malformed one.
func TestGolden_Requests(t *testing.T) {
	plan := *goldenChange().Record.Plan
	settings := plan
	settings.Kind, settings.From, settings.To, settings.Servers = rollout.Settings, "", "", nil
	golden.RoundTrip(t, "start-program.json", RolloutRequest{Plan: plan}, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "start-settings.json", RolloutRequest{Plan: settings, Settings: json.RawMessage(`{"lanes":{"a":{"aim_ms":5}}}`)},
		json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "add-voter.json", VoterRequest{Name: "v4", Address: "10.0.0.4:7000"}, json.Marshal, json.Unmarshal)
	nonVoter := &fleet.Fleet{}
	for name, handler := range map[string]http.Handler{
		"start-program.json": NewRolloutHandler(nonVoter), "start-settings.json": NewRolloutHandler(nonVoter),
		"add-voter.json": NewVoterHandler(nonVoter),
	} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", bytes.NewReader(golden.Bytes(t, name))))
		if w.Code != http.StatusMisdirectedRequest {
			t.Errorf("%s: status %d with body %q, want 421", name, w.Code, w.Body)
		}
	}
}
