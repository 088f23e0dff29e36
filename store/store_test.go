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
