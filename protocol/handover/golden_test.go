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

// TestMessages_MatchGoldenFiles checks that a message of each kind is encoded as in its golden
// file, and that the file is decoded as the message.
func TestMessages_MatchGoldenFiles(t *testing.T) {
	expiresAt := time.Unix(1764576000, 123456789)
	running := idempotency.KeyState{Key: "\x00k \r\n", Class: "ny-gåva", BodyHash: 1 << 63, RanAttemptID: "9b1f03aa5c7e2d41", ExpiresAt: expiresAt}
	done, empty, failed, claim := running, running, running, running
	done.Completed, done.Result = true, &idempotency.Payload{Body: []byte("a\r\nb")}
	empty.Completed, empty.Result = true, &idempotency.Payload{Body: []byte{}}
	failed.Completed = true
	claim.ArrivedAt = expiresAt.Add(-time.Second)
	notRun := idempotency.KeyState{Key: "k", Class: "c", ExpiresAt: expiresAt, Completed: true}
	for _, tc := range []struct {
		name  string
		bytes []byte
		want  Message
	}{
		{"key-runs", AppendKey(nil, running), Message{Kind: Key, State: running}},
		{"key-done", AppendKey(nil, done), Message{Kind: Key, State: done}},
		{"key-done-empty", AppendKey(nil, empty), Message{Kind: Key, State: empty}},
		{"key-failed", AppendKey(nil, failed), Message{Kind: Key, State: failed}},
		{"key-not-run", AppendKey(nil, notRun), Message{Kind: Key, State: notRun}},
		{"claim", AppendClaim(nil, claim), Message{Kind: Claim, State: claim}},
		{"grant", AppendClaimReply(nil, "9b1f03aa5c7e2d41", true), Message{Kind: Grant, RanAttemptID: "9b1f03aa5c7e2d41"}},
		{"deny", AppendClaimReply(nil, "9b1f03aa5c7e2d41", false), Message{Kind: Deny, RanAttemptID: "9b1f03aa5c7e2d41"}},
		{"next", AppendNextBatch(nil), Message{Kind: NextBatch}},
		{"part", AppendBatchEnd(nil, false), Message{Kind: BatchEnd}},
		{"part-last", AppendBatchEnd(nil, true), Message{Kind: BatchEnd, Flag: true}},
		{"away-on", AppendTrafficDisabled(nil, true), Message{Kind: TrafficDisabled, Flag: true}},
		{"away-off", AppendTrafficDisabled(nil, false), Message{Kind: TrafficDisabled}},
	} {
		golden.Equal(t, tc.name, tc.bytes)
		got, err := Read(bufio.NewReader(bytes.NewReader(golden.Bytes(t, tc.name))))
		if err != nil || !reflect.DeepEqual(got, tc.want) {
			t.Errorf("Read(golden file %s) = %+v, %v, want %+v", tc.name, got, err, tc.want)
		}
	}
}
