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

// TestRoundTrip reads what was written, in pieces of any size. A result that has
// fields, or is too large, is left out.
func TestRoundTrip(t *testing.T) {
	till := time.Unix(1764576000, 123456789)
	ran := idempotency.KeyState{
		Key: "\x00k \r\n", Class: "ny-gåva", BodyHash: 1 << 63, RanAttemptID: "9b1f03aa5c7e2d41", ExpiresAt: till, Completed: true,
		Result: &idempotency.Payload{Body: []byte("a\r\nb")},
	}
	empty, free, claim := ran, idempotency.KeyState{Key: "k", Class: "c", ExpiresAt: till, Completed: true}, ran
	empty.Result = &idempotency.Payload{Body: []byte{}}
	claim.Result, claim.Completed, claim.ArrivedAt = nil, false, till.Add(-time.Second)
	unsaid, large := ran, ran
	unsaid.Result = nil
	large.Result = &idempotency.Payload{Body: make([]byte, lines.MaxBody+1)}
	fields := ran
	fields.Result = &idempotency.Payload{Fields: []idempotency.Field{{Name: ":status", Value: "200"}}}
	for _, x := range []struct {
		bytes []byte
		want  Message
	}{
		{AppendKey(nil, ran), Message{Kind: Key, State: ran}},
		{AppendKey(nil, empty), Message{Kind: Key, State: empty}},
		{AppendKey(nil, free), Message{Kind: Key, State: free}},
		{AppendKey(nil, large), Message{Kind: Key, State: unsaid}},
		{AppendKey(nil, fields), Message{Kind: Key, State: unsaid}},
		{AppendClaim(nil, claim), Message{Kind: Claim, State: claim}},
		{AppendClaimReply(nil, "r", true), Message{Kind: Grant, RanAttemptID: "r"}},
		{AppendClaimReply(nil, "r", false), Message{Kind: Deny, RanAttemptID: "r"}},
		{AppendNext(nil), Message{Kind: Next}},
		{AppendPart(nil, true), Message{Kind: Part, On: true}},
		{AppendPart(nil, false), Message{Kind: Part}},
		{AppendTrafficDisabled(nil, true), Message{Kind: TrafficDisabled, On: true}},
	} {
		r := bufio.NewReaderSize(iotest.OneByteReader(bytes.NewReader(x.bytes)), 16<<10)
		if got, err := Read(r); err != nil || !reflect.DeepEqual(got, x.want) {
			t.Errorf("%q: %+v, %v, want %+v", x.bytes, got, err, x.want)
		}
	}
}

func TestBroken(t *testing.T) {
	for _, text := range []string{
		"sing\r\n", "key\r\n", "key zz 00 1 r 1 true\r\n", "key 00 zz 1 r 1 true\r\n", "key 00 00 zz r 1 true\r\n",
		"key 00 00 1 r x true\r\n", "key 00 00 1 r 1 maybe\r\n", "claim 00 00 1 r 1 x\r\n", "part last\r\n", "grant\r\n", "key 00 00 1 r 1 true 99999999\r\n",
	} {
		if m, err := Read(bufio.NewReader(strings.NewReader(text))); err == nil {
			t.Errorf("%q: %+v", text, m)
		}
	}
}
