package store

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// sealedOperations fill three sealed segments: values that are overwritten, one
// that is deleted, one overwritten by a value that expires earlier, one that
// expires.
var sealedOperations = [][]operation{
	{{"a", "a1", time.Hour}, {"d", "to be deleted", time.Hour}, {"s", "long", time.Hour}, {"e", "expires", time.Second}},
	{{"a", "a2", time.Hour}, {"b", "b1", time.Hour}},
	{{"d", "", 0}, {"s", "short", 2 * time.Second}, {"b", "b2", time.Hour}, {"c", "c1", time.Hour}},
}

// directoryState is the content of a store's files by name.
type directoryState map[string][]byte

// TestCompactionCrash recovers from a power loss at every moment of a
// compaction: while the new file is written (truncated at every byte), after it
// replaced the last sealed segment, and while the others are removed. Each time
// the store holds what it held before: no deleted key comes back, nor an older
// value of one overwritten by a value that expires earlier.
func TestCompactionCrash(t *testing.T) {
	dir, clock := t.TempDir(), &fakeClock{epoch}
	s, _ := openUnsynced(t, dir, clock, 1<<30)
	operations := fillSealedSegments(t, s)
	clock.now = epoch.Add(2500 * time.Millisecond) // "e" and "short" have expired, "long" would not have
	before := readDirectory(t, dir)
	compactSealedSegments(t, s)
	closeStore(t, s)
	after := readDirectory(t, dir)

	compacted := after[segmentName(3)]
	sizeBefore := len(before[segmentName(3)]) + len(before[segmentName(2)])
	if _, ok := after[segmentName(1)]; ok || len(compacted) >= sizeBefore {
		t.Fatalf("the compaction left %d files, %d bytes in the last", len(after), len(compacted))
	}
	want := expectedValues(operations, clock.now)
	for name, state := range crashStates(before, after) {
		restored := t.TempDir()
		writeDirectory(t, restored, state)
		s, recovered := openUnsynced(t, restored, clock, 1<<30)
		closeStore(t, s)
		if got := recoveredValues(recovered); !maps.Equal(got, want) || len(recovered.Losses) > 0 {
			t.Errorf("%s: got %v, losses %v\nwant %v", name, got, recovered.Losses, want)
		}
	}
}

// fillSealedSegments performs sealedOperations, one segment each, and returns
// all of them in order.
func fillSealedSegments(t *testing.T, s *Store) (all []operation) {
	t.Helper()
	for _, operations := range sealedOperations {
		perform(t, s, operations)
		all = append(all, operations...)
		if err := s.startSegment(); err != nil { // the writer is idle: all operations were acknowledged
			t.Fatal(err)
		}
	}
	return all
}

func compactSealedSegments(t *testing.T, s *Store) {
	t.Helper()
	s.indexMu.Lock()
	defer s.indexMu.Unlock()
	if err := s.compact(s.sealedSegments()); err != nil {
		t.Fatal(err)
	}
}

// crashStates are the directory's possible states after a crash in the
// compaction of three segments, by the moment of the crash.
func crashStates(before, after directoryState) map[string]directoryState {
	compacted := after[segmentName(3)]
	states := map[string]directoryState{"after": after}
	for size := 0; size <= len(compacted); size++ {
		state := maps.Clone(before)
		state[segmentName(3)+temporarySuffix] = compacted[:size]
		states[fmt.Sprintf("writing, %d bytes", size)] = state
	}
	renamed := maps.Clone(before)
	renamed[segmentName(3)] = compacted
	states["renamed"] = renamed
	removing := maps.Clone(renamed)
	delete(removing, segmentName(1))
	states["removing"] = removing
	return states
}

func readDirectory(t *testing.T, dir string) directoryState {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	state := directoryState{}
	for _, entry := range entries {
		state[entry.Name()] = readFile(t, filepath.Join(dir, entry.Name()))
	}
	return state
}

func writeDirectory(t *testing.T, dir string, state directoryState) {
	t.Helper()
	for name, data := range state {
		writeFile(t, filepath.Join(dir, name), data)
	}
}
