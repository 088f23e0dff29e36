package store

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// put stores a value and waits until it is durable or rejected.
func put(s *Store, key string, expiresAt time.Time) error {
	done := make(chan error, 1)
	s.Put(key, make([]byte, 100), expiresAt, func(err error) { done <- err })
	return <-done
}

// TestPut_FullStoreAgesOut guards against a store that refuses all writes for good once it was full:
// it takes writes again when its records have expired, without a restart, and reports both.
func TestPut_FullStoreAgesOut(t *testing.T) {
	now := make(chan time.Time, 1)
	now <- epoch
	advance := func(d time.Duration) { now <- (<-now).Add(d) }
	reports := make(chan bool, 16)
	s, _ := openStore(t, Options{
		Dir: t.TempDir(), Sync: SyncNever, MaxBytes: 2000, SegmentBytes: 1000,
		Now:    func() time.Time { at := <-now; now <- at; return at },
		OnFull: func(isFull bool) { reports <- isFull },
	})
	defer closeStore(t, s)
	for n := 0; ; n++ {
		if err := put(s, fmt.Sprint("early", n), epoch.Add(time.Minute)); err != nil {
			if !errors.Is(err, ErrFull) || n == 0 {
				t.Fatalf("Put() number %d = %v, want ErrFull after some", n, err)
			}
			break
		}
	}
	if isFull := <-reports; !isFull {
		t.Error("OnFull(false) after a rejected write, want true")
	}
	advance(30 * time.Second)
	if err := put(s, "live", epoch.Add(time.Hour)); !errors.Is(err, ErrFull) {
		t.Errorf("Put() = %v while all records are live, want ErrFull", err)
	}
	advance(time.Minute)
	for deadline := time.Now().Add(5 * time.Second); put(s, "late", epoch.Add(time.Hour)) != nil; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("writes are still rejected after all records have expired")
		}
	}
	if isFull := <-reports; isFull {
		t.Error("OnFull(true) after a write was accepted again, want false")
	}
	if _, ok, err := s.Get("late"); !ok || err != nil {
		t.Errorf("Get(late) = %t, %v, want the value", ok, err)
	}
}
