package store

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// epoch is the tests' clock, which they move by hand.
var epoch = time.Unix(1_800_000_000, 0)

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// step is one write of a test, and the model of what the store must then hold.
type step struct {
	key, value string
	ttl        time.Duration // 0 deletes
}

// model applies steps to a map, as the store must.
func model(steps []step, now time.Time) map[string]string {
	m := map[string]string{}
	for _, st := range steps {
		if st.ttl == 0 || !epoch.Add(st.ttl).After(now) {
			delete(m, st.key)
		} else {
			m[st.key] = st.value
		}
	}
	return m
}

func open(t testing.TB, dir string, c *clock, segment int64) (*Store, *Recovered) {
	t.Helper()
	s, rec, err := Open(Options{Dir: dir, Now: c.Now, SegmentBytes: segment, Sync: SyncNever})
	if err != nil {
		t.Fatal(err)
	}
	return s, rec
}

func apply(t testing.TB, s *Store, steps []step) {
	t.Helper()
	for _, st := range steps {
		errs := make(chan error, 1)
		if st.ttl == 0 {
			s.Delete(st.key, func(err error) { errs <- err })
		} else {
			s.Put(st.key, []byte(st.value), epoch.Add(st.ttl), func(err error) { errs <- err })
		}
		if err := <-errs; err != nil {
			t.Fatal(err)
		}
	}
}

func values(rec *Recovered) map[string]string {
	m := map[string]string{}
	for k, v := range rec.Values {
		m[k] = string(v.Bytes)
	}
	return m
}

// someSteps writes, overwrites, deletes and lets expire.
var someSteps = []step{
	{"gava-1", "intent", time.Minute}, {"gava-2", "intent", time.Minute}, {"gava-1", "done: 10 kr", time.Minute},
	{"kort", "expires soon", time.Second}, {"gava-3", "intent", time.Minute}, {"gava-2", "", 0},
	{"gava-4", "intent", time.Minute}, {"gava-3", "done: 30 kr", time.Minute},
}

func TestRecover(t *testing.T) {
	dir, c := t.TempDir(), &clock{epoch}
	s, _ := open(t, dir, c, 0)
	apply(t, s, someSteps)
	if v, ok, err := s.Get("gava-1"); err != nil || !ok || string(v.Bytes) != "done: 10 kr" {
		t.Errorf("get: %q %t %v", v.Bytes, ok, err)
	}
	s.Close()
	c.now = epoch.Add(2 * time.Second) // "kort" has expired
	s, rec := open(t, dir, c, 0)
	defer s.Close()
	if got, want := values(rec), model(someSteps, c.now); !maps.Equal(got, want) || len(rec.Losses) > 0 {
		t.Errorf("got %v, losses %v\nwant %v", got, rec.Losses, want)
	}
	if s.Len() != 4 { // and the deletion of gava-2, while the value that it hides could come back
		t.Errorf("the index holds %d keys, want 4", s.Len())
	}
}

// written gives the bytes of one segment after the steps, and where each
// record ends in it.
func written(t *testing.T, steps []step) ([]byte, []int) {
	t.Helper()
	dir, c := t.TempDir(), &clock{epoch}
	s, _ := open(t, dir, c, 0)
	var ends []int
	for _, st := range steps {
		apply(t, s, []step{st})
		info, err := os.Stat(filepath.Join(dir, segmentName(1)))
		if err != nil {
			t.Fatal(err)
		}
		ends = append(ends, int(info.Size()))
	}
	s.Close()
	b, err := os.ReadFile(filepath.Join(dir, segmentName(1)))
	if err != nil {
		t.Fatal(err)
	}
	return b, ends
}

// recoverFrom opens a store whose one segment holds b.
func recoverFrom(t *testing.T, b []byte) *Recovered {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, segmentName(1)), b, 0o600); err != nil {
		t.Fatal(err)
	}
	s, rec := open(t, dir, &clock{epoch}, 0)
	s.Close()
	return rec
}

// TestCutAtEveryByte cuts the store's file at every byte offset and restarts:
// each time the state is that of the records that are whole, and the cut part
// is counted as a write that never finished.
func TestCutAtEveryByte(t *testing.T) {
	b, ends := written(t, someSteps)
	for cut := 0; cut <= len(b); cut++ {
		complete := 0
		for complete < len(ends) && ends[complete] <= cut {
			complete++
		}
		rec := recoverFrom(t, b[:cut])
		want, last := model(someSteps[:complete], epoch), 0
		if complete > 0 {
			last = ends[complete-1]
		}
		if got := values(rec); !maps.Equal(got, want) || len(rec.Losses) > 0 || rec.TruncatedBytes != int64(cut-last) {
			t.Fatalf("cut at %d: got %v, losses %v, truncated %d\nwant %v, truncated %d",
				cut, got, rec.Losses, rec.TruncatedBytes, want, cut-last)
		}
	}
}

// TestFlipEveryByte flips each byte of the store's file in turn and restarts:
// each time the loss is reported where the damaged record begins, and what is
// given is exactly what the records before it say, never a value that was not
// written.
func TestFlipEveryByte(t *testing.T) {
	b, ends := written(t, someSteps)
	for at := range b {
		damaged := 0
		for ends[damaged] <= at {
			damaged++
		}
		start := 0
		if damaged > 0 {
			start = ends[damaged-1]
		}
		spoilt := slices.Clone(b)
		spoilt[at] ^= 0xff
		rec := recoverFrom(t, spoilt)
		want := model(someSteps[:damaged], epoch)
		if got := values(rec); !maps.Equal(got, want) || len(rec.Losses) != 1 || rec.Losses[0].Offset != int64(start) {
			t.Fatalf("byte %d flipped: got %v, losses %v\nwant %v, a loss at %d", at, got, rec.Losses, want, start)
		}
	}
}

// TestLossIsReportedOnce has a damaged segment recovered twice: the second time
// the loss is not reported again, and what was written after the first is read.
func TestLossIsReportedOnce(t *testing.T) {
	b, ends := written(t, someSteps)
	b[ends[2]+5] ^= 1
	dir, c := t.TempDir(), &clock{epoch}
	if err := os.WriteFile(filepath.Join(dir, segmentName(1)), b, 0o600); err != nil {
		t.Fatal(err)
	}
	s, rec := open(t, dir, c, 0)
	if len(rec.Losses) != 1 {
		t.Fatalf("losses %v", rec.Losses)
	}
	apply(t, s, []step{{"efter", "written after the loss", time.Minute}})
	s.Close()
	s, rec = open(t, dir, c, 0)
	defer s.Close()
	if len(rec.Losses) != 0 || string(rec.Values["efter"].Bytes) != "written after the loss" {
		t.Errorf("the second time: %v, %v", rec.Losses, values(rec))
	}
}

// crashSteps fill three sealed segments: values that are overwritten, one
// deleted, one overwritten with a shorter life, one that expires.
var crashSteps = [][]step{
	{{"a", "a1", time.Hour}, {"d", "to be deleted", time.Hour}, {"s", "long", time.Hour}, {"e", "expires", time.Second}},
	{{"a", "a2", time.Hour}, {"b", "b1", time.Hour}},
	{{"d", "", 0}, {"s", "short", 2 * time.Second}, {"b", "b2", time.Hour}, {"c", "c1", time.Hour}},
}

// TestCompactionCrash plays a power loss at every moment of a compaction: while
// the new file is written (cut at every byte), after it took the place of the
// last sealed segment, and while the others are removed. Each time the store
// holds what it held before: no deleted key comes back, nor an older value of
// one overwritten with a shorter life.
func TestCompactionCrash(t *testing.T) {
	dir, c := t.TempDir(), &clock{epoch}
	s, _ := open(t, dir, c, 1<<30)
	var all []step
	for _, part := range crashSteps {
		apply(t, s, part)
		all = append(all, part...)
		if err := s.startSegment(); err != nil { // the writer waits: all that was put is done
			t.Fatal(err)
		}
	}
	c.now = epoch.Add(2500 * time.Millisecond) // "e" and "short" have expired, "long" would not have
	want := model(all, c.now)
	before := snapshot(t, dir)
	s.indexMu.Lock()
	if err := s.compact(s.segments[:3]); err != nil {
		t.Fatal(err)
	}
	s.indexMu.Unlock()
	s.Close()
	after := snapshot(t, dir)
	compacted := after[segmentName(3)]
	if _, ok := after[segmentName(1)]; ok || len(compacted) >= len(before[segmentName(3)])+len(before[segmentName(2)]) {
		t.Fatalf("the compaction left %d files, %d bytes in the last", len(after), len(compacted))
	}
	states := map[string]map[string][]byte{"after": after}
	for cut := 0; cut <= len(compacted); cut++ {
		state := maps.Clone(before)
		state[segmentName(3)+".tmp"] = compacted[:cut]
		states[fmt.Sprintf("writing, %d bytes", cut)] = state
	}
	renamed := maps.Clone(before)
	renamed[segmentName(3)] = compacted
	states["renamed"] = renamed
	removing := maps.Clone(renamed)
	delete(removing, segmentName(1))
	states["removing"] = removing
	for name, state := range states {
		restored := t.TempDir()
		for file, b := range state {
			if err := os.WriteFile(filepath.Join(restored, file), b, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		s, rec := open(t, restored, c, 1<<30)
		s.Close()
		if got := values(rec); !maps.Equal(got, want) || len(rec.Losses) > 0 {
			t.Errorf("%s: got %v, losses %v\nwant %v", name, got, rec.Losses, want)
		}
	}
}

func snapshot(t *testing.T, dir string) map[string][]byte {
	t.Helper()
	files := map[string][]byte{}
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		b, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			t.Fatal(err)
		}
		files[e.Name()] = b
	}
	return files
}

// TestFull fills the store: a write beyond its bound is refused, and what it
// holds stays; once values expire and are compacted away there is room again.
func TestFull(t *testing.T) {
	dir, c := t.TempDir(), &clock{epoch}
	s, _, err := Open(Options{Dir: dir, Now: c.Now, MaxBytes: 1000, SegmentBytes: 400, Sync: SyncNever})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	put := func(key string, ttl time.Duration) error {
		errs := make(chan error, 1)
		s.Put(key, make([]byte, 80), epoch.Add(ttl), func(err error) { errs <- err })
		return <-errs
	}
	n := 0
	for ; put(fmt.Sprint("k", n), time.Second) == nil; n++ {
	}
	if err := put("more", time.Hour); !errors.Is(err, ErrFull) || n == 0 || s.LiveBytes() > 1000 {
		t.Fatalf("after %d puts: %v, %d bytes live", n, err, s.LiveBytes())
	}
	c.now = epoch.Add(2 * time.Second)
	for i := 0; put(fmt.Sprint("later", i), time.Hour) == nil; i++ {
		if i > 2*n {
			return // expired values were compacted away to make room
		}
	}
	if s.LiveBytes() > 1000 {
		t.Errorf("%d bytes live", s.LiveBytes())
	}
}

// TestInspect reads a damaged store without changing it: twice the same.
func TestInspect(t *testing.T) {
	b, ends := written(t, someSteps)
	b[ends[3]+2] ^= 1
	dir := t.TempDir()
	path := filepath.Join(dir, segmentName(1))
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		rec, err := Inspect(dir, epoch)
		if err != nil || len(rec.Losses) != 1 || !maps.Equal(values(rec), model(someSteps[:4], epoch)) {
			t.Fatalf("%v, %v, %v", err, rec.Losses, values(rec))
		}
	}
	if after, _ := os.ReadFile(path); !slices.Equal(after, b) {
		t.Error("Inspect changed the file")
	}
}
