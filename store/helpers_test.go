package store

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// epoch is where the tests' clocks start.
var epoch = time.Unix(1_800_000_000, 0)

// fakeClock is a clock that a test moves by hand.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// operation is one write of a test.
type operation struct {
	key, value string
	ttl        time.Duration // 0 deletes
}

// sampleOperations write, overwrite, delete and let values expire.
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

// expectedValues is the model of the store: what it must hold at a time after
// the operations.
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

// recoveredValues are the values of a recovery in the form of expectedValues.
func recoveredValues(recovered *Recovered) map[string]string {
	got := map[string]string{}
	for key, value := range recovered.Values {
		got[key] = string(value.Bytes)
	}
	return got
}

func openStore(t testing.TB, options Options) (*Store, *Recovered) {
	t.Helper()
	s, recovered, err := Open(options)
	if err != nil {
		t.Fatal(err)
	}
	return s, recovered
}

// openUnsynced opens a store with a test's clock that does not sync. A
// segmentBytes of 0 is the default.
func openUnsynced(t testing.TB, dir string, clock *fakeClock, segmentBytes int64) (*Store, *Recovered) {
	t.Helper()
	return openStore(t, Options{Dir: dir, Now: clock.Now, SegmentBytes: segmentBytes, Sync: SyncNever})
}

func closeStore(t testing.TB, s *Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// putAndWait puts a value and returns what its done function is given.
func putAndWait(s *Store, key string, value []byte, expiresAt time.Time) error {
	done := make(chan error, 1)
	s.Put(key, value, expiresAt, func(err error) { done <- err })
	return <-done
}

// deleteAndWait deletes a key and returns what its done function is given.
func deleteAndWait(s *Store, key string) error {
	done := make(chan error, 1)
	s.Delete(key, func(err error) { done <- err })
	return <-done
}

// perform carries operations out one by one.
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

// firstSegment is the path of a directory's first segment.
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

// segmentAfter returns the bytes of one segment after the operations, and the
// offset at which each one's record ends.
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

// recoverFrom opens a store whose only segment holds data.
func recoverFrom(t testing.TB, data []byte) *Recovered {
	t.Helper()
	dir := t.TempDir()
	writeFile(t, firstSegment(dir), data)
	s, recovered := openUnsynced(t, dir, &fakeClock{epoch}, 0)
	closeStore(t, s)
	return recovered
}
