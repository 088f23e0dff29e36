package dispatch

import (
	"encoding/json"
	"testing"
	"time"

	"quincerail.example/quincerail/internal/golden"
)

// TestKeyState_MatchesGoldenFiles encodes and decodes key states as the key journal stores
// them.
func TestKeyState_MatchesGoldenFiles(t *testing.T) {
	expiresAt := time.Date(2200, 1, 2, 3, 4, 5, 678_900_000, time.UTC)
	for name, k := range map[string]KeyState{
		"key-runs.json":   {Key: "gåva/1", Class: "ny-gava", BodyHash: 1<<64 - 1, RanAttemptID: "9b1f03aa5c7e2d41", ExpiresAt: expiresAt},
		"key-failed.json": {Key: "k", Class: "ny-gava", BodyHash: 1, RanAttemptID: "r", ExpiresAt: expiresAt, Completed: true},
		"key-done.json": {
			Key: "k", Class: "ny-gava", BodyHash: 1, RanAttemptID: "r", ArrivedAt: expiresAt.Add(-time.Hour), ExpiresAt: expiresAt, Completed: true,
			Result: &Payload{Fields: []Field{{Name: ":status", Value: "201"}, {Name: "Content-Type", Value: "text/plain"}}, Body: []byte("tack\x00\xff")},
		},
		"key-done-empty.json": {Key: "k", Class: "ny-gava", BodyHash: 1, RanAttemptID: "r", ExpiresAt: expiresAt, Completed: true, Result: &Payload{Body: []byte{}}},
		"key-not-run.json":    {Key: "k", Class: "ny-gava", ExpiresAt: expiresAt, Completed: true},
	} {
		golden.RoundTrip(t, name, k, json.Marshal, json.Unmarshal)
	}
}

// TestJournal_StatesMatchGoldenFiles checks the states that the journal gets for a keyed
// request, including the hash of its body: they must not change, so that another version of
// the program recognises a retry.
func TestJournal_StatesMatchGoldenFiles(t *testing.T) {
	j := &journal{}
	runTestWith(t, func(o *Options) { o.Journal = j }, func(t *testing.T, h *harness) {
		h.mustSubmit(t, h.Core, Request{ID: "a", Class: "gift", Key: "k", Payload: Payload{Body: []byte("10 kr")}})
		h.wait()
		j.completeClaims(nil)
		h.wait()
		h.completeRun("a", RunSucceeded, "tack")
		j.mu.Lock()
		defer j.mu.Unlock()
		if len(j.states) != 2 {
			t.Fatalf("recorded states %+v, want 2", j.states)
		}
		for i, name := range []string{"journal-claim.json", "journal-end.json"} {
			k := j.states[i]
			k.ExpiresAt = k.ExpiresAt.UTC() // the recorded time is in the local time zone
			golden.RoundTrip(t, name, k, json.Marshal, json.Unmarshal)
		}
	})
}
