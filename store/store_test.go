package store

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// TestPut_RejectsWritesOverMaxBytes fills a store until it rejects a write with ErrFull.
// Once values have expired, compaction may free space for further writes, but the live
// records must never exceed MaxBytes.
func TestPut_RejectsWritesOverMaxBytes(t *testing.T) {
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
		t.Fatalf("Put after %d accepted writes: error %v, %d live bytes, want %v and at most 1000 live bytes",
			accepted, err, s.LiveBytes(), ErrFull)
	}

	clock.now = epoch.Add(2 * time.Second)
	for i := 0; put(fmt.Sprint("later", i), time.Hour) == nil; i++ {
		if i > 2*accepted {
			return // a compaction removed expired values
		}
	}
	if s.LiveBytes() > 1000 {
		t.Errorf("LiveBytes() = %d, want at most 1000", s.LiveBytes())
	}
}

// TestPut_RecordSizeLimits puts records of exactly the largest size and one byte larger.
func TestPut_RecordSizeLimits(t *testing.T) {
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
			t.Errorf("Put with %s: got error %v, want %v", c.name, err, c.want)
		}
	}
}

// TestGet_ReportsCorruptRecord damages a record on disk while the store is open. The error
// of Get must contain the record's segment and offset.
func TestGet_ReportsCorruptRecord(t *testing.T) {
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
		t.Fatalf("Get: got error %v, want a *CorruptRecordError", err)
	}
	firstSize := record{key: "first", value: []byte("value")}.encodedSize()
	want := CorruptRecordError{Segment: segmentName(1), Offset: firstSize}
	if *corruptRecord != want {
		t.Errorf("Get: got error %v, want %v", corruptRecord, &want)
	}
}

// TestClose_RejectsFurtherWrites checks that Put and Delete fail with ErrClosed after Close.
func TestClose_RejectsFurtherWrites(t *testing.T) {
	s, _ := openUnsynced(t, t.TempDir(), &fakeClock{epoch}, 0)
	perform(t, s, []operation{{"key", "value", time.Hour}})
	closeStore(t, s)
	closeStore(t, s) // a second Close has no effect
	if err := putAndWait(s, "key", nil, epoch.Add(time.Hour)); !errors.Is(err, ErrClosed) {
		t.Errorf("Put after Close: got error %v, want %v", err, ErrClosed)
	}
	if err := deleteAndWait(s, "key"); !errors.Is(err, ErrClosed) {
		t.Errorf("Delete after Close: got error %v, want %v", err, ErrClosed)
	}
}
