package store

import (
	"testing"
	"time"

	"quincerail.example/quincerail/internal/golden"
)

// goldenSegmentBytes is the size at which the segments in the golden folder were sealed.
// The first two segments were compacted into one.
const goldenSegmentBytes = 100

// goldenOperations are the writes that produced the golden folder.
var goldenOperations = []operation{
	{"gava-1", "try 1", time.Hour},
	{"gava-1", "try 2", time.Hour},
	{"gava-1", "try 3", time.Hour},
	{"gava-1", "try 4", time.Hour},
	{"gava-1", "try 5", time.Hour},
	{"gava-1", "try 6", time.Hour},
	{"kort", "expires soon", time.Second},
	{"gava-2", "intent", time.Hour},
	{"gava-3", "intent", time.Hour},
	{"gava-2", "", 0},
	{"gava-3", "done: 30 kr", time.Hour},
	{"gåva-4", "\x00\xff\r\n bytes that are no text", 2 * time.Hour},
	{"gava-5", "long", time.Hour},
	{"gava-5", "short", 2 * time.Second},
	{"tom", "", time.Hour},
}

// TestGoldenFolder_IsWrittenByteForByte repeats the writes of the golden folder. The
// compacted segment, the two sealed ones and the active one must be identical.
func TestGoldenFolder_IsWrittenByteForByte(t *testing.T) {
	dir := t.TempDir()
	s, _ := openUnsynced(t, dir, &fakeClock{epoch}, goldenSegmentBytes)
	perform(t, s, goldenOperations)
	closeStore(t, s)
	golden.EqualFolder(t, "folder", dir)
}

// TestGoldenFolder_IsRead opens the golden folder after two values have expired, one of
// which had replaced a value with a later expiry. Expired, deleted and replaced values
// must not be recovered.
func TestGoldenFolder_IsRead(t *testing.T) {
	clock := &fakeClock{epoch.Add(2500 * time.Millisecond)}
	s, recovered := openUnsynced(t, golden.CopyFolder(t, "folder"), clock, goldenSegmentBytes)
	want := map[string]Value{
		"gava-1": {Bytes: []byte("try 6"), ExpiresAt: epoch.Add(time.Hour)},
		"gava-3": {Bytes: []byte("done: 30 kr"), ExpiresAt: epoch.Add(time.Hour)},
		"gåva-4": {Bytes: []byte("\x00\xff\r\n bytes that are no text"), ExpiresAt: epoch.Add(2 * time.Hour)},
		"tom":    {Bytes: nil, ExpiresAt: epoch.Add(time.Hour)},
	}
	if len(recovered.Values) != len(want) || len(recovered.Losses) != 0 || recovered.TruncatedBytes != 0 {
		t.Errorf("recovered %v, losses %v, %d bytes truncated, want %d values, no losses, nothing truncated",
			recoveredValues(recovered), recovered.Losses, recovered.TruncatedBytes, len(want))
	}
	for key, wantValue := range want {
		got, known, err := s.Get(key)
		for _, v := range []Value{recovered.Values[key], got} {
			if string(v.Bytes) != string(wantValue.Bytes) || !v.ExpiresAt.Equal(wantValue.ExpiresAt) || !known || err != nil {
				t.Errorf("key %s: value %q, expiry %v, known to Get %t, error of Get %v; want value %q, expiry %v, known, no error",
					key, v.Bytes, v.ExpiresAt, known, err, wantValue.Bytes, wantValue.ExpiresAt)
			}
		}
	}
	if s.Len() != 6 { // the four values, a deletion, and an expired value that hides one with a later expiry
		t.Errorf("Len() = %d, want 6", s.Len())
	}
	closeStore(t, s)
}

// TestGoldenFolder_AcceptsFurtherWrites appends to the golden folder and recovers both the
// golden and the appended records.
func TestGoldenFolder_AcceptsFurtherWrites(t *testing.T) {
	dir, clock := golden.CopyFolder(t, "folder"), &fakeClock{epoch}
	s, _ := openUnsynced(t, dir, clock, goldenSegmentBytes)
	more := []operation{{"gava-1", "done: 10 kr", time.Hour}, {"tom", "", 0}, {"gava-6", "intent", time.Hour}}
	perform(t, s, more)
	closeStore(t, s)
	s, recovered := openUnsynced(t, dir, clock, goldenSegmentBytes)
	want, got := expectedValues(append(goldenOperations[:len(goldenOperations):len(goldenOperations)], more...), epoch), recoveredValues(recovered)
	if len(got) != len(want) || len(recovered.Losses) != 0 {
		t.Errorf("recovered %v with losses %v\nwant %v without losses", got, recovered.Losses, want)
	}
	for key, value := range want {
		if got[key] != value {
			t.Errorf("key %s: recovered %q, want %q", key, got[key], value)
		}
	}
	closeStore(t, s)
}
