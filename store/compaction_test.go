package store

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// sealedOperations are the writes of three sealed segments. They overwrite values,
// delete one, let one expire, and overwrite one by a value that expires earlier.
var sealedOperations = [][]operation{
	{{"a", "a1", time.Hour}, {"d", "to be deleted", time.Hour}, {"s", "long", time.Hour}, {"e", "expires", time.Second}},
	{{"a", "a2", time.Hour}, {"b", "b1", time.Hour}},
	{{"d", "", 0}, {"s", "short", 2 * time.Second}, {"b", "b2", time.Hour}, {"c", "c1", time.Hour}},
}

// directoryState maps the names of a store's files to their contents.
type directoryState map[string][]byte

// TestCompaction_SurvivesCrashAtEveryStep recovers from a power loss at each step of a
// compaction: while the new file is written (truncated at every byte), after it
// replaced the last sealed segment, and while the others are removed. The store must
// hold the same values as before. It must restore neither a deleted key nor the older
// value of a key whose latest value has expired.
func TestCompaction_SurvivesCrashAtEveryStep(t *testing.T) {
	dir, clock := t.TempDir(), &fakeClock{epoch}
	s, _ := openUnsynced(t, dir, clock, 1<<30)
	operations := fillSealedSegments(t, s)
	clock.now = epoch.Add(2500 * time.Millisecond) // "expires" and "short" have expired; "long", which "short" replaced, would not have
	before := readDirectory(t, dir)
	compactSealedSegments(t, s)
	closeStore(t, s)
	after := readDirectory(t, dir)

	compacted := after[segmentName(3)]
	sizeBefore := len(before[segmentName(3)]) + len(before[segmentName(2)])
	if _, ok := after[segmentName(1)]; ok || len(compacted) >= sizeBefore {
		t.Fatalf("compaction left %d files and a last segment of %d bytes, want segment 1 removed and fewer than %d bytes",
			len(after), len(compacted), sizeBefore)
	}
	want := expectedValues(operations, clock.now)
	for name, state := range crashStates(before, after) {
		restored := t.TempDir()
		writeDirectory(t, restored, state)
		s, recovered := openUnsynced(t, restored, clock, 1<<30)
		closeStore(t, s)
		if got := recoveredValues(recovered); !maps.Equal(got, want) || len(recovered.Losses) > 0 {
			t.Errorf("crash %s: recovered %v with losses %v\nwant %v without losses", name, got, recovered.Losses, want)
		}
	}
}

// fillSealedSegments performs sealedOperations, each group in its own segment, and
// returns all operations in order.
func fillSealedSegments(t *testing.T, s *Store) (all []operation) {
	t.Helper()
	for _, operations := range sealedOperations {
		perform(t, s, operations)
		all = append(all, operations...)
		if err := s.startSegment(); err != nil { // safe: the writer is idle, since all operations were acknowledged
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

// crashStates returns the possible states of the directory after a crash during the
// compaction of three segments, keyed by the step at which the crash happens.
func crashStates(before, after directoryState) map[string]directoryState {
	compacted := after[segmentName(3)]
	states := map[string]directoryState{"after the last step": after}
	for size := 0; size <= len(compacted); size++ {
		state := maps.Clone(before)
		state[segmentName(3)+temporarySuffix] = compacted[:size]
		states[fmt.Sprintf("after %d bytes of the temporary file", size)] = state
	}
	renamed := maps.Clone(before)
	renamed[segmentName(3)] = compacted
	states["after the rename"] = renamed
	removing := maps.Clone(renamed)
	delete(removing, segmentName(1))
	states["between two removals"] = removing
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
