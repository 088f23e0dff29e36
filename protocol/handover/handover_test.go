package handover

import (
	"bufio"
	"bytes"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"quincerail.example/quincerail/idempotency"
	"quincerail.example/quincerail/protocol/lines"
)

// TestRead_ReadsAppendedMessages checks that messages that arrive byte by byte are decoded as
// they were encoded, except that a result with fields or a too large body is omitted.
func TestRead_ReadsAppendedMessages(t *testing.T) {
	expiresAt := time.Unix(1764576000, 123456789)
	ran := idempotency.KeyState{
		Key: "\x00k \r\n", Class: "ny-gåva", BodyHash: 1 << 63, RanAttemptID: "9b1f03aa5c7e2d41", ExpiresAt: expiresAt, Completed: true,
		Result: &idempotency.Payload{Body: []byte("a\r\nb")},
	}
	empty, notRun, claim := ran, idempotency.KeyState{Key: "k", Class: "c", ExpiresAt: expiresAt, Completed: true}, ran
	empty.Result = &idempotency.Payload{Body: []byte{}}
	claim.Result, claim.Completed, claim.ArrivedAt = nil, false, expiresAt.Add(-time.Second)
	withoutResult, large := ran, ran
	withoutResult.Result = nil
	large.Result = &idempotency.Payload{Body: make([]byte, lines.MaxBody+1)}
	withFields := ran
	withFields.Result = &idempotency.Payload{Fields: []idempotency.Field{{Name: ":status", Value: "200"}}}
	for _, tc := range []struct {
		bytes []byte
		want  Message
	}{
		{AppendKey(nil, ran), Message{Kind: Key, State: ran}},
		{AppendKey(nil, empty), Message{Kind: Key, State: empty}},
		{AppendKey(nil, notRun), Message{Kind: Key, State: notRun}},
		{AppendKey(nil, large), Message{Kind: Key, State: withoutResult}},
		{AppendKey(nil, withFields), Message{Kind: Key, State: withoutResult}},
		{AppendClaim(nil, claim), Message{Kind: Claim, State: claim}},
		{AppendClaimReply(nil, "r", true), Message{Kind: Grant, RanAttemptID: "r"}},
		{AppendClaimReply(nil, "r", false), Message{Kind: Deny, RanAttemptID: "r"}},
		{AppendNextBatch(nil), Message{Kind: NextBatch}},
		{AppendBatchEnd(nil, true), Message{Kind: BatchEnd, Flag: true}},
		{AppendBatchEnd(nil, false), Message{Kind: BatchEnd}},
		{AppendTrafficDisabled(nil, true), Message{Kind: TrafficDisabled, Flag: true}},
	} {
		r := bufio.NewReaderSize(iotest.OneByteReader(bytes.NewReader(tc.bytes)), 16<<10)
		if got, err := Read(r); err != nil || !reflect.DeepEqual(got, tc.want) {
			t.Errorf("Read(%q) = %+v, %v, want %+v", tc.bytes, got, err, tc.want)
		}
	}
}

func TestRead_RejectsMalformedMessages(t *testing.T) {
	for _, text := range []string{
		"sing\r\n", "key\r\n", "key zz 00 1 r 1 true\r\n", "key 00 zz 1 r 1 true\r\n", "key 00 00 zz r 1 true\r\n",
		"key 00 00 1 r x true\r\n", "key 00 00 1 r 1 maybe\r\n", "claim 00 00 1 r 1 x\r\n", "part last\r\n", "grant\r\n", "key 00 00 1 r 1 true 99999999\r\n",
	} {
		if m, err := Read(bufio.NewReader(strings.NewReader(text))); err == nil {
			t.Errorf("Read(%q) = %+v, want an error", text, m)
		}
	}
}
