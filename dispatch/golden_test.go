package dispatch

import (
	"encoding/json"
	"testing"
	"time"

	"quincerail.example/quincerail/internal/golden"
)

// TestGoldenKeyStates writes and reads what the key journal holds of a key.
func TestGoldenKeyStates(t *testing.T) {
	till := time.Date(2200, 1, 2, 3, 4, 5, 678_900_000, time.UTC)
	for name, k := range map[string]KeyState{
		"key-runs.json":   {Key: "gåva/1", Class: "ny-gava", BodyHash: 1<<64 - 1, RanAttemptID: "9b1f03aa5c7e2d41", ExpiresAt: till},
		"key-failed.json": {Key: "k", Class: "ny-gava", BodyHash: 1, RanAttemptID: "r", ExpiresAt: till, Completed: true},
		"key-done.json": {
			Key: "k", Class: "ny-gava", BodyHash: 1, RanAttemptID: "r", ArrivedAt: till.Add(-time.Hour), ExpiresAt: till, Completed: true,
			Result: &Payload{Fields: []Field{{Name: ":status", Value: "201"}, {Name: "Content-Type", Value: "text/plain"}}, Body: []byte("tack\x00\xff")},
		},
		"key-done-empty.json": {Key: "k", Class: "ny-gava", BodyHash: 1, RanAttemptID: "r", ExpiresAt: till, Completed: true, Result: &Payload{Body: []byte{}}},
		"key-not-run.json":    {Key: "k", Class: "ny-gava", ExpiresAt: till, Completed: true},
	} {
		golden.RoundTrip(t, name, k, json.Marshal, json.Unmarshal)
	}
}

// TestGoldenJournal: the states that the journal gets for a keyed request, with the hash of
// its body, stay the same, so that another version of the program recognises a retry.
func TestGoldenJournal(t *testing.T) {
	j := &journal{}
	runTestWith(t, func(o *Options) { o.Journal = j }, func(t *testing.T, h *harness) {
		h.mustSubmit(t, h.Core, Request{ID: "a", Class: "gift", Key: "k", Payload: Payload{Body: []byte("10 kr")}})
		h.wait()
		j.settle(nil)
		h.wait()
		h.complete("a", RunSucceeded, "tack")
		j.mu.Lock()
		defer j.mu.Unlock()
		if len(j.states) != 2 {
			t.Fatalf("recorded %+v", j.states)
		}
		for i, name := range []string{"journal-claim.json", "journal-end.json"} {
			k := j.states[i]
			k.ExpiresAt = k.ExpiresAt.UTC() // it is in the machine's own time zone
			golden.RoundTrip(t, name, k, json.Marshal, json.Unmarshal)
		}
	})
}
