package store

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// openRecordingHealth opens a store whose OnHealth appends each error to reports.
func openRecordingHealth(t *testing.T, dir string, reports *[]error) *Store {
	t.Helper()
	s, recovered, err := Open(Options{Dir: dir, OnHealth: func(err error) { *reports = append(*reports, err) }})
	if err != nil {
		t.Fatal(err)
	}
	if len(recovered.Losses) > 0 || recovered.TruncatedBytes > 0 {
		t.Fatalf("Open reports losses %v and %d truncated bytes, want none", recovered.Losses, recovered.TruncatedBytes)
	}
	return s
}

// putKey writes a value for a key, waits for the acknowledgement and returns its error.
func putKey(s *Store, key string) error {
	result := make(chan error, 1)
	s.Put(key, []byte("value of "+key), time.Now().Add(time.Hour), func(err error) { result <- err })
	return <-result
}

// breakActiveSegment appends part of a record to the active segment, as a write that failed
// halfway would, and makes the next write to the segment fail.
func breakActiveSegment(t *testing.T, s *Store) {
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
	if s.active, err = os.Open(path); err != nil { // opened read-only, so writes fail
		t.Fatal(err)
	}
}

// TestHealth_RecoversWithoutRestart checks that a failed write is reported, that the next
// one is rejected, and that writes succeed again after the pause. After a restart, exactly
// the acknowledged keys must be present.
func TestHealth_RecoversWithoutRestart(t *testing.T) {
	for name, before := range map[string]int{"empty segment": 0, "segment with records": 3} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			var reports []error
			s := openRecordingHealth(t, dir, &reports)
			want := map[string]bool{}
			for i := range before {
				key := string(rune('a' + i))
				if err := putKey(s, key); err != nil {
					t.Fatal(err)
				}
				want[key] = true
			}
			breakActiveSegment(t, s)
			for range 2 { // the second is rejected because the first failed
				if err := putKey(s, "failed"); !errors.Is(err, ErrDegraded) {
					t.Errorf("Put with a broken segment: got error %v, want %v", err, ErrDegraded)
				}
			}
			time.Sleep(firstRetryPause)
			if err := putKey(s, "after"); err != nil {
				t.Errorf("Put after the retry pause: %v", err)
			}
			want["after"] = true
			if err := s.Close(); err != nil {
				t.Error(err)
			}
			if len(reports) != 2 || !errors.Is(reports[0], ErrDegraded) || reports[1] != nil {
				t.Errorf("OnHealth was called with %v, want an ErrDegraded and then nil", reports)
			}
			expectKeys(t, dir, want)
		})
	}
}

// expectKeys checks that Inspect finds exactly the wanted keys in a directory and reports
// no losses.
func expectKeys(t *testing.T, dir string, want map[string]bool) {
	t.Helper()
	recovered, err := Inspect(dir, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if len(recovered.Losses) > 0 {
		t.Errorf("Inspect reports losses %v, want none", recovered.Losses)
	}
	for key := range want {
		if _, ok := recovered.Values[key]; !ok {
			t.Errorf("acknowledged key %q is missing", key)
		}
	}
	if len(recovered.Values) != len(want) {
		t.Errorf("Inspect found %d keys, want %d", len(recovered.Values), len(want))
	}
}

// TestHealth_RetriesFailedRepairs checks that each write fails while the directory is missing,
// and that writes and Close work once it exists again.
func TestHealth_RetriesFailedRepairs(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "store")
	var reports []error
	s := openRecordingHealth(t, dir, &reports)
	breakActiveSegment(t, s)
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if err := putKey(s, "key"); !errors.Is(err, ErrDegraded) {
			t.Errorf("Put while the directory is missing: got error %v, want %v", err, ErrDegraded)
		}
		s.queueMu.Lock()
		pause := s.health.pause
		s.queueMu.Unlock()
		time.Sleep(pause)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := putKey(s, "key"); err != nil {
		t.Errorf("Put after the directory was created again: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	expectKeys(t, dir, map[string]bool{"key": true})
}

// TestOpen_DirectoryWithPatternCharacters checks that the store finds its segments in a
// directory whose path contains characters that are special in glob patterns.
func TestOpen_DirectoryWithPatternCharacters(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "a[b-*?]\\c")
	var reports []error
	s := openRecordingHealth(t, dir, &reports)
	if err := putKey(s, "key"); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	expectKeys(t, dir, map[string]bool{"key": true})
}
