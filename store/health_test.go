package store

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// openForHealth opens a store, and counts what its OnHealth is told.
func openForHealth(t *testing.T, dir string, told *[]error) *Store {
	t.Helper()
	s, recovered, err := Open(Options{Dir: dir, OnHealth: func(err error) { *told = append(*told, err) }})
	if err != nil {
		t.Fatal(err)
	}
	if len(recovered.Losses) > 0 || recovered.TruncatedBytes > 0 {
		t.Fatalf("recovered with losses %v, %d bytes cut off", recovered.Losses, recovered.TruncatedBytes)
	}
	return s
}

// put writes a key and waits for the outcome.
func put(s *Store, key string) error {
	result := make(chan error, 1)
	s.Put(key, []byte("value of "+key), time.Now().Add(time.Hour), func(err error) { result <- err })
	return <-result
}

// sabotage has the next write to the active segment fail, behind a part of a record that
// has reached the disk.
func sabotage(t *testing.T, s *Store) {
	t.Helper()
	path := s.segmentPath(s.activeSegment())
	part := appendRecord(nil, record{key: "part", expiresAt: time.Now().Add(time.Hour)})
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, segmentFileMode)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write(part[:len(part)-1]); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	if err := s.active.Close(); err != nil {
		t.Fatal(err)
	}
	if s.active, err = os.Open(path); err != nil { // it can't be written
		t.Fatal(err)
	}
}

// TestHealth_RecoversWithoutARestart: a write that fails is reported, further ones are
// refused at once, and writes work again after the pause. What was acknowledged, and
// nothing else, is there after a restart.
func TestHealth_RecoversWithoutARestart(t *testing.T) {
	for name, before := range map[string]int{"empty segment": 0, "segment with records": 3} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			var told []error
			s := openForHealth(t, dir, &told)
			want := map[string]bool{}
			for i := range before {
				key := string(rune('a' + i))
				if err := put(s, key); err != nil {
					t.Fatal(err)
				}
				want[key] = true
			}
			sabotage(t, s)
			for range 2 { // the second is refused as the first has failed
				if err := put(s, "failed"); !errors.Is(err, ErrDegraded) {
					t.Errorf("a write that can't be made durable: %v", err)
				}
			}
			time.Sleep(firstRetryPause)
			if err := put(s, "after"); err != nil {
				t.Errorf("after the pause: %v", err)
			}
			want["after"] = true
			if err := s.Close(); err != nil {
				t.Error(err)
			}
			if len(told) != 2 || !errors.Is(told[0], ErrDegraded) || told[1] != nil {
				t.Errorf("OnHealth is told %v", told)
			}
			expectKeys(t, dir, want)
		})
	}
}

// expectKeys checks what a directory holds, without losses.
func expectKeys(t *testing.T, dir string, want map[string]bool) {
	t.Helper()
	recovered, err := Inspect(dir, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if len(recovered.Losses) > 0 {
		t.Errorf("losses %v", recovered.Losses)
	}
	for key := range want {
		if _, ok := recovered.Values[key]; !ok {
			t.Errorf("%q was acknowledged and is not there", key)
		}
	}
	if len(recovered.Values) != len(want) {
		t.Errorf("%d keys, want %d", len(recovered.Values), len(want))
	}
}

// TestHealth_RepairFails: while the directory is gone each attempt fails, with a pause that
// grows, and Close returns all the same.
func TestHealth_RepairFails(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "store")
	var told []error
	s := openForHealth(t, dir, &told)
	sabotage(t, s)
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if err := put(s, "key"); !errors.Is(err, ErrDegraded) {
			t.Errorf("with no directory: %v", err)
		}
		s.queueMu.Lock()
		pause := s.health.pause
		s.queueMu.Unlock()
		time.Sleep(pause)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := put(s, "key"); err != nil {
		t.Errorf("with the directory back: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	expectKeys(t, dir, map[string]bool{"key": true})
}

// TestFolderWithPatternCharacters: a directory whose path has characters that mean
// something in a file pattern is read like any other.
func TestFolderWithPatternCharacters(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "a[b-*?]\\c")
	var told []error
	s := openForHealth(t, dir, &told)
	if err := put(s, "key"); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	expectKeys(t, dir, map[string]bool{"key": true})
}
