package httpresult

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/internal/golden"
)

// TestGoldenResult writes and reads the result of a request that came by HTTP, as
// the key journal holds it, and answers with it.
func TestGoldenResult(t *testing.T) {
	headers := []dispatch.Field{{Name: "Content-Type", Value: "text/plain"}, {Name: "Set-Cookie", Value: "a=b"}, {Name: "Set-Cookie", Value: "c=d"}}
	golden.RoundTrip(t, "result.json", Encode(http.StatusCreated, headers, []byte("tack\x00\xff")), json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "result-empty.json", Encode(http.StatusNoContent, nil, nil), json.Marshal, json.Unmarshal)
	var kept dispatch.Payload
	if err := json.Unmarshal(golden.Bytes(t, "result.json"), &kept); err != nil {
		t.Fatal(err)
	}
	status, got, body := Decode(kept)
	if status != http.StatusCreated || !slices.Equal(got, headers) || string(body) != "tack\x00\xff" {
		t.Errorf("%d, %v, %q", status, got, body)
	}
}
