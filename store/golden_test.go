package store

import (
	"testing"
	"time"

	"quincerail.example/quincerail/internal/golden"
)

// goldenSegment is the size at which the golden folder's segments are sealed: the
// first two were compacted into one.
const goldenSegment = 100

// goldenSteps are the writes that the golden folder holds.
var goldenSteps = []step{
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
	s, _ := open(t, dir, &clock{epoch}, goldenSegment)
	apply(t, s, goldenSteps)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	golden.EqualFolder(t, "folder", dir)
}

// TestGoldenFolderIsRead opens the golden folder at a time when one value has
// expired, and one that replaced a value with a longer life: neither is there, nor
// what was deleted, nor what they replaced.
func TestGoldenFolderIsRead(t *testing.T) {
	c := &clock{epoch.Add(2500 * time.Millisecond)}
	s, rec := open(t, golden.CopyFolder(t, "folder"), c, goldenSegment)
	want := map[string]Value{
		"gava-1": {Bytes: []byte("try 6"), Expires: epoch.Add(time.Hour)},
		"gava-3": {Bytes: []byte("done: 30 kr"), Expires: epoch.Add(time.Hour)},
		"gåva-4": {Bytes: []byte("\x00\xff\r\n bytes that are no text"), Expires: epoch.Add(2 * time.Hour)},
		"tom":    {Bytes: nil, Expires: epoch.Add(time.Hour)},
	}
	if len(rec.Values) != len(want) || len(rec.Losses) != 0 || rec.Truncated != 0 {
		t.Errorf("recovered %v, losses %v, %d bytes truncated", values(rec), rec.Losses, rec.Truncated)
	}
	for key, w := range want {
		got, known, err := s.Get(key)
		for _, v := range []Value{rec.Values[key], got} {
			if string(v.Bytes) != string(w.Bytes) || !v.Expires.Equal(w.Expires) || !known || err != nil {
				t.Errorf("%s: %q until %v, %v", key, v.Bytes, v.Expires, err)
			}
		}
	}
	if s.Len() != 6 { // and the deletion, and the value that hides one with a longer life
		t.Errorf("the index holds %d keys, want 6", s.Len())
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// TestGoldenFolderGoesOn writes on in the golden folder, and reads all back.
func TestGoldenFolderGoesOn(t *testing.T) {
	dir, c := golden.CopyFolder(t, "folder"), &clock{epoch}
	s, _ := open(t, dir, c, goldenSegment)
	more := []step{{"gava-1", "done: 10 kr", time.Hour}, {"tom", "", 0}, {"gava-6", "intent", time.Hour}}
	apply(t, s, more)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s, rec := open(t, dir, c, goldenSegment)
	want, got := model(append(goldenSteps[:len(goldenSteps):len(goldenSteps)], more...), epoch), values(rec)
	if len(got) != len(want) || len(rec.Losses) != 0 {
		t.Errorf("recovered %v, losses %v\nwant %v", got, rec.Losses, want)
	}
	for key, value := range want {
		if got[key] != value {
			t.Errorf("%s: %q, want %q", key, got[key], value)
		}
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}
