package store

import (
	"testing"
	"time"

	"quincerail.example/quincerail/internal/golden"
)

// goldenSegmentBytes is the size at which the golden folder's segments are sealed: the
// first two were compacted into one.
const goldenSegmentBytes = 100

// goldenOperations are the writes that the golden folder holds.
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

// TestGoldenFolderIsWritten writes the golden folder's records again: a compacted
// segment, two sealed ones and one that is written to are the same, byte for byte.
func TestGoldenFolderIsWritten(t *testing.T) {
	dir := t.TempDir()
	s, _ := openUnsynced(t, dir, &fakeClock{epoch}, goldenSegmentBytes)
	perform(t, s, goldenOperations)
	closeStore(t, s)
	golden.EqualFolder(t, "folder", dir)
}

// TestGoldenFolderIsRead opens the golden folder at a time when one value has
// expired, and one that replaced a value with a longer life: neither is there, nor
// what was deleted, nor what they replaced.
func TestGoldenFolderIsRead(t *testing.T) {
	clock := &fakeClock{epoch.Add(2500 * time.Millisecond)}
	s, recovered := openUnsynced(t, golden.CopyFolder(t, "folder"), clock, goldenSegmentBytes)
	want := map[string]Value{
		"gava-1": {Bytes: []byte("try 6"), ExpiresAt: epoch.Add(time.Hour)},
		"gava-3": {Bytes: []byte("done: 30 kr"), ExpiresAt: epoch.Add(time.Hour)},
		"gåva-4": {Bytes: []byte("\x00\xff\r\n bytes that are no text"), ExpiresAt: epoch.Add(2 * time.Hour)},
		"tom":    {Bytes: nil, ExpiresAt: epoch.Add(time.Hour)},
	}
	if len(recovered.Values) != len(want) || len(recovered.Losses) != 0 || recovered.TruncatedBytes != 0 {
		t.Errorf("recovered %v, losses %v, %d bytes truncated", recoveredValues(recovered), recovered.Losses, recovered.TruncatedBytes)
	}
	for key, wantValue := range want {
		got, known, err := s.Get(key)
		for _, v := range []Value{recovered.Values[key], got} {
			if string(v.Bytes) != string(wantValue.Bytes) || !v.ExpiresAt.Equal(wantValue.ExpiresAt) || !known || err != nil {
				t.Errorf("%s: %q until %v, %v", key, v.Bytes, v.ExpiresAt, err)
			}
		}
	}
	if s.Len() != 6 { // and the deletion, and the value that hides one with a longer life
		t.Errorf("the index holds %d keys, want 6", s.Len())
	}
	closeStore(t, s)
}

// TestGoldenFolderGoesOn writes on in the golden folder, and reads all back.
func TestGoldenFolderGoesOn(t *testing.T) {
	dir, clock := golden.CopyFolder(t, "folder"), &fakeClock{epoch}
	s, _ := openUnsynced(t, dir, clock, goldenSegmentBytes)
	more := []operation{{"gava-1", "done: 10 kr", time.Hour}, {"tom", "", 0}, {"gava-6", "intent", time.Hour}}
	perform(t, s, more)
	closeStore(t, s)
	s, recovered := openUnsynced(t, dir, clock, goldenSegmentBytes)
	want, got := expectedValues(append(goldenOperations[:len(goldenOperations):len(goldenOperations)], more...), epoch), recoveredValues(recovered)
	if len(got) != len(want) || len(recovered.Losses) != 0 {
		t.Errorf("recovered %v, losses %v\nwant %v", got, recovered.Losses, want)
	}
	for key, value := range want {
		if got[key] != value {
			t.Errorf("%s: %q, want %q", key, got[key], value)
		}
	}
	closeStore(t, s)
}
