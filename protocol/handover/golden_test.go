package handover

import (
	"bufio"
	"bytes"
	"reflect"
	"testing"
	"time"

	"quincerail.example/quincerail/idempotency"
	"quincerail.example/quincerail/internal/golden"
)

// TestGoldenMessages writes and reads a message of each kind.
func TestGoldenMessages(t *testing.T) {
	till := time.Unix(1764576000, 123456789)
	runs := idempotency.KeyState{Key: "\x00k \r\n", Class: "ny-gåva", BodyHash: 1 << 63, RanAttemptID: "9b1f03aa5c7e2d41", ExpiresAt: till}
	done, empty, failed, claim := runs, runs, runs, runs
	done.Completed, done.Result = true, &idempotency.Payload{Body: []byte("a\r\nb")}
	empty.Completed, empty.Result = true, &idempotency.Payload{Body: []byte{}}
	failed.Completed = true
	claim.ArrivedAt = till.Add(-time.Second)
	notRun := idempotency.KeyState{Key: "k", Class: "c", ExpiresAt: till, Completed: true}
	for _, x := range []struct {
		name  string
		bytes []byte
		want  Message
	}{
		{"key-runs", AppendKey(nil, runs), Message{Kind: Key, State: runs}},
		{"key-done", AppendKey(nil, done), Message{Kind: Key, State: done}},
		{"key-done-empty", AppendKey(nil, empty), Message{Kind: Key, State: empty}},
		{"key-failed", AppendKey(nil, failed), Message{Kind: Key, State: failed}},
		{"key-not-run", AppendKey(nil, notRun), Message{Kind: Key, State: notRun}},
		{"claim", AppendClaim(nil, claim), Message{Kind: Claim, State: claim}},
		{"grant", AppendClaimReply(nil, "9b1f03aa5c7e2d41", true), Message{Kind: Grant, RanAttemptID: "9b1f03aa5c7e2d41"}},
		{"deny", AppendClaimReply(nil, "9b1f03aa5c7e2d41", false), Message{Kind: Deny, RanAttemptID: "9b1f03aa5c7e2d41"}},
		{"next", AppendNext(nil), Message{Kind: Next}},
		{"part", AppendPart(nil, false), Message{Kind: Part}},
		{"part-last", AppendPart(nil, true), Message{Kind: Part, On: true}},
		{"away-on", AppendTrafficDisabled(nil, true), Message{Kind: TrafficDisabled, On: true}},
		{"away-off", AppendTrafficDisabled(nil, false), Message{Kind: TrafficDisabled}},
	} {
		golden.Equal(t, x.name, x.bytes)
		got, err := Read(bufio.NewReader(bytes.NewReader(golden.Bytes(t, x.name))))
		if err != nil || !reflect.DeepEqual(got, x.want) {
			t.Errorf("%s is read as %+v, %v, want %+v", x.name, got, err, x.want)
		}
	}
}
