package store

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// epoch is the start time of the tests' clocks.
var epoch = time.Unix(1_800_000_000, 0)

// fakeClock is a clock that a test sets.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// operation is a Put or a Delete in a test.
type operation struct {
	key, value string
	ttl        time.Duration // from epoch to the expiry; 0 for a Delete
}

// sampleOperations include overwrites, a deletion and a value that expires early.
var sampleOperations = []operation{
	{"gava-1", "intent", time.Minute},
	{"gava-2", "intent", time.Minute},
	{"gava-1", "done: 10 kr", time.Minute},
	{"kort", "expires soon", time.Second},
	{"gava-3", "intent", time.Minute},
	{"gava-2", "", 0},
	{"gava-4", "intent", time.Minute},
	{"gava-3", "done: 30 kr", time.Minute},
}

// expectedValues is a model of the store: it returns the values that the store must
// hold at the given time after the operations.
func expectedValues(operations []operation, now time.Time) map[string]string {
	expected := map[string]string{}
	for _, op := range operations {
		if op.ttl == 0 || !epoch.Add(op.ttl).After(now) {
			delete(expected, op.key)
		} else {
			expected[op.key] = op.value
		}
	}
	return expected
}

// recoveredValues returns recovered values in the form of expectedValues.
func recoveredValues(recovered *RecoveredState) map[string]string {
	got := map[string]string{}
	for key, value := range recovered.Values {
		got[key] = string(value.Bytes)
	}
	return got
}

func openStore(t testing.TB, options Options) (*Store, *RecoveredState) {
	t.Helper()
	s, recovered, err := Open(options)
	if err != nil {
		t.Fatal(err)
	}
	return s, recovered
}

// openUnsynced opens a store that uses a test's clock and does not sync. A
// segmentBytes of 0 means the default.
func openUnsynced(t testing.TB, dir string, clock *fakeClock, segmentBytes int64) (*Store, *RecoveredState) {
	t.Helper()
	return openStore(t, Options{Dir: dir, Now: clock.Now, SegmentBytes: segmentBytes, Sync: SyncNever})
}

func closeStore(t testing.TB, s *Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// putAndWait puts a value, waits for the acknowledgement and returns its error.
func putAndWait(s *Store, key string, value []byte, expiresAt time.Time) error {
	done := make(chan error, 1)
	s.Put(key, value, expiresAt, func(err error) { done <- err })
	return <-done
}

// deleteAndWait deletes a key, waits for the acknowledgement and returns its error.
func deleteAndWait(s *Store, key string) error {
	done := make(chan error, 1)
	s.Delete(key, func(err error) { done <- err })
	return <-done
}

// perform performs operations one by one and waits for each.
func perform(t testing.TB, s *Store, operations []operation) {
	t.Helper()
	for _, op := range operations {
		var err error
		if op.ttl == 0 {
			err = deleteAndWait(s, op.key)
		} else {
			err = putAndWait(s, op.key, []byte(op.value), epoch.Add(op.ttl))
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// firstSegment returns the path of a directory's first segment.
func firstSegment(dir string) string { return filepath.Join(dir, segmentName(1)) }

func readFile(t testing.TB, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func writeFile(t testing.TB, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// segmentAfter performs operations in a new store. It returns the contents of the store's only
// segment and the offset at which the record of each operation ends.
func segmentAfter(t testing.TB, operations []operation) (data []byte, recordEnds []int) {
	t.Helper()
	dir := t.TempDir()
	s, _ := openUnsynced(t, dir, &fakeClock{epoch}, 0)
	for _, op := range operations {
		perform(t, s, []operation{op})
		recordEnds = append(recordEnds, len(readFile(t, firstSegment(dir))))
	}
	closeStore(t, s)
	return readFile(t, firstSegment(dir)), recordEnds
}

// recoverFrom opens a store whose only segment contains data, and returns what it recovered.
func recoverFrom(t testing.TB, data []byte) *RecoveredState {
	t.Helper()
	dir := t.TempDir()
	writeFile(t, firstSegment(dir), data)
	s, recovered := openUnsynced(t, dir, &fakeClock{epoch}, 0)
	closeStore(t, s)
	return recovered
}
