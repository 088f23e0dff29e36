package httpresult

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/internal/golden"
)

// TestResults_MatchGoldenFiles checks that the key journal's encoding of HTTP results matches
// the golden files, and that Decode returns the response from a golden file.
func TestResults_MatchGoldenFiles(t *testing.T) {
	headers := []dispatch.Field{{Name: "Content-Type", Value: "text/plain"}, {Name: "Set-Cookie", Value: "a=b"}, {Name: "Set-Cookie", Value: "c=d"}}
	golden.RoundTrip(t, "result.json", Encode(http.StatusCreated, headers, []byte("tack\x00\xff")), json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "result-empty.json", Encode(http.StatusNoContent, nil, nil), json.Marshal, json.Unmarshal)
	var stored dispatch.Payload
	if err := json.Unmarshal(golden.Bytes(t, "result.json"), &stored); err != nil {
		t.Fatal(err)
	}
	status, got, body := Decode(stored)
	if status != http.StatusCreated || !slices.Equal(got, headers) || string(body) != "tack\x00\xff" {
		t.Errorf("Decode(result.json) = %d, %v, %q, want %d, %v, %q", status, got, body, http.StatusCreated, headers, "tack\x00\xff")
	}
}
