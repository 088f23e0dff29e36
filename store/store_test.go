package store

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// TestFull fills the store: a write beyond its bound is refused, and what it
// holds stays; once values expire and are compacted away there is room again.
func TestFull(t *testing.T) {
	clock := &fakeClock{epoch}
	s, _ := openStore(t, Options{Dir: t.TempDir(), Now: clock.Now, MaxBytes: 1000, SegmentBytes: 400, Sync: SyncNever})
	defer closeStore(t, s)
	put := func(key string, ttl time.Duration) error {
		return putAndWait(s, key, make([]byte, 80), epoch.Add(ttl))
	}

	accepted := 0
	for put(fmt.Sprint("k", accepted), time.Second) == nil {
		accepted++
	}
	if err := put("more", time.Hour); !errors.Is(err, ErrFull) || accepted == 0 || s.LiveBytes() > 1000 {
		t.Fatalf("after %d puts: %v, %d bytes live", accepted, err, s.LiveBytes())
	}

	clock.now = epoch.Add(2 * time.Second)
	for i := 0; put(fmt.Sprint("later", i), time.Hour) == nil; i++ {
		if i > 2*accepted {
			return // expired values were compacted away to make room
		}
	}
	if s.LiveBytes() > 1000 {
		t.Errorf("%d bytes live", s.LiveBytes())
	}
}

// TestRecordTooLarge puts records at the bounds and just over them.
func TestRecordTooLarge(t *testing.T) {
	s, _ := openUnsynced(t, t.TempDir(), &fakeClock{epoch}, 0)
	defer closeStore(t, s)
	longestKey := string(make([]byte, maxKeyBytes))
	largestValue := make([]byte, maxPayloadBytes-payloadFixedSize-len("k"))
	for _, c := range []struct {
		name  string
		key   string
		value []byte
		want  error
	}{
		{"longest key", longestKey, nil, nil},
		{"key too long", longestKey + "x", nil, ErrRecordTooLarge},
		{"largest value", "k", largestValue, nil},
		{"value too large", "k", append(largestValue, 0), ErrRecordTooLarge},
	} {
		if err := putAndWait(s, c.key, c.value, epoch.Add(time.Hour)); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
	}
}

// TestGetCorruptRecord damages a record under an open store: Get names its
// segment and offset.
func TestGetCorruptRecord(t *testing.T) {
	dir := t.TempDir()
	s, _ := openUnsynced(t, dir, &fakeClock{epoch}, 0)
	defer closeStore(t, s)
	perform(t, s, []operation{{"first", "value", time.Hour}, {"second", "value", time.Hour}})
	data := readFile(t, firstSegment(dir))
	data[len(data)-1] ^= 1
	writeFile(t, firstSegment(dir), data)

	_, _, err := s.Get("second")
	var corruptRecord *CorruptRecordError
	if !errors.As(err, &corruptRecord) {
		t.Fatalf("got %v, want a *CorruptRecordError", err)
	}
	firstSize := record{key: "first", value: []byte("value")}.encodedSize()
	want := CorruptRecordError{Segment: segmentName(1), Offset: firstSize}
	if *corruptRecord != want {
		t.Errorf("got %v, want %v", corruptRecord, &want)
	}
}

// TestWriteAfterClose has writes refused once the store is closed.
func TestWriteAfterClose(t *testing.T) {
	s, _ := openUnsynced(t, t.TempDir(), &fakeClock{epoch}, 0)
	perform(t, s, []operation{{"key", "value", time.Hour}})
	closeStore(t, s)
	closeStore(t, s) // has no effect
	if err := putAndWait(s, "key", nil, epoch.Add(time.Hour)); !errors.Is(err, ErrClosed) {
		t.Errorf("put: got %v, want %v", err, ErrClosed)
	}
	if err := deleteAndWait(s, "key"); !errors.Is(err, ErrClosed) {
		t.Errorf("delete: got %v, want %v", err, ErrClosed)
	}
}
