package journal

import (
	"bytes"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/idempotency"
	"quincerail.example/quincerail/store"
)

const (
	longestWindow    = time.Minute
	recordHeaderSize = 12 // of a record of the store
)

// now is the tests' time.
var now = time.Unix(1_800_000_000, 0)

// testJournal is an open journal and what it logged.
type testJournal struct {
	*Journal
	recovered Recovered
	log       *bytes.Buffer
}

func openJournal(t *testing.T, dir string, at time.Time) testJournal {
	t.Helper()
	log := &bytes.Buffer{}
	j, recovered, err := Open(Options{
		Dir:           dir,
		Sync:          store.SyncNever,
		LongestWindow: longestWindow,
		Now:           func() time.Time { return at },
		Logger:        slog.New(slog.NewTextHandler(log, nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	return testJournal{j, recovered, log}
}

func (j testJournal) close(t *testing.T) {
	t.Helper()
	if err := j.Close(); err != nil {
		t.Error(err)
	}
}

func (j testJournal) record(t *testing.T, states ...idempotency.KeyState) {
	t.Helper()
	for _, state := range states {
		durable := make(chan error, 1)
		j.Record(state, func(err error) { durable <- err })
		if err := <-durable; err != nil {
			t.Fatal(err)
		}
	}
}

func (j testJournal) wantEvent(t *testing.T, event string) {
	t.Helper()
	if !strings.Contains(j.log.String(), "msg="+event) {
		t.Errorf("no event %s was logged:\n%s", event, j.log)
	}
}

func claimed(key string) idempotency.KeyState {
	return idempotency.KeyState{Key: key, Class: "ny-gava", BodyHash: 7, RanAttemptID: "attempt-" + key, ExpiresAt: now.Add(longestWindow)}
}

func completed(state idempotency.KeyState) idempotency.KeyState {
	state.Completed = true
	return state
}

func sortedByKey(states []idempotency.KeyState) []idempotency.KeyState {
	return slices.SortedFunc(slices.Values(states), func(a, b idempotency.KeyState) int { return strings.Compare(a.Key, b.Key) })
}

// putRaw writes a record past the journal.
func putRaw(t *testing.T, dir, name, value string) {
	t.Helper()
	s, _, err := store.Open(store.Options{Dir: dir, Sync: store.SyncNever, Now: func() time.Time { return now }})
	if err != nil {
		t.Fatal(err)
	}
	durable := make(chan error, 1)
	s.Put(name, []byte(value), now.Add(longestWindow), func(err error) { durable <- err })
	if err := errors.Join(<-durable, s.Close()); err != nil {
		t.Fatal(err)
	}
}

// corruptFirstRecord damages the first record in a journal's directory.
func corruptFirstRecord(t *testing.T, dir string) {
	t.Helper()
	path := filepath.Join(dir, "00000001.log")
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data[recordHeaderSize] ^= 1
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestReopen recovers the last state of each key whose window has not ended.
func TestReopen(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, now)
	ended := claimed("ended")
	ended.ExpiresAt = now.Add(time.Second)
	j.record(t, claimed("a"), claimed("b"), ended, completed(claimed("a")))
	j.close(t)

	j = openJournal(t, dir, now.Add(2*time.Second))
	defer j.close(t)
	j.wantEvent(t, "keys_recovered")
	got, want := sortedByKey(j.recovered.States), []idempotency.KeyState{completed(claimed("a")), claimed("b")}
	if !slices.EqualFunc(got, want, sameState) || !j.recovered.InDoubtUntil.IsZero() || j.recovered.TruncatedBytes != 0 {
		t.Errorf("got %+v\nwant states %+v", j.recovered, want)
	}
}

// sameState compares states by value: a time that was read from JSON has another
// location.
func sameState(a, b idempotency.KeyState) bool {
	if !a.ExpiresAt.Equal(b.ExpiresAt) || !a.ArrivedAt.Equal(b.ArrivedAt) {
		return false
	}
	a.ExpiresAt, a.ArrivedAt = b.ExpiresAt, b.ArrivedAt
	return reflect.DeepEqual(a, b)
}

// TestLossPutsUnknownKeysInDoubt loses the first record: unknown keys are in
// doubt for the longest window, also after the journal is opened again.
func TestLossPutsUnknownKeysInDoubt(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, now)
	j.record(t, claimed("lost"))
	j.close(t)
	corruptFirstRecord(t, dir)

	until := now.Add(longestWindow)
	j = openJournal(t, dir, now)
	j.wantEvent(t, "keys_lost")
	if got := j.recovered; len(got.States) != 0 || !got.InDoubtUntil.Equal(until) {
		t.Errorf("after the loss: %+v, want unknown keys in doubt until %v", got, until)
	}
	j.close(t)

	j = openJournal(t, dir, now.Add(time.Second))
	defer j.close(t)
	if strings.Contains(j.log.String(), "keys_lost") || !j.recovered.InDoubtUntil.Equal(until) {
		t.Errorf("opened again: %+v, want no further loss and doubt until %v\n%s", j.recovered, until, j.log)
	}
}

// TestTruncatedWrite cuts the last record short: its bytes are counted, and the
// record before it is recovered.
func TestTruncatedWrite(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, now)
	j.record(t, claimed("a"))
	path := filepath.Join(dir, "00000001.log")
	before, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	j.record(t, claimed("b"))
	j.close(t)
	const remaining = 20
	if err := os.Truncate(path, before.Size()+remaining); err != nil {
		t.Fatal(err)
	}

	j = openJournal(t, dir, now)
	defer j.close(t)
	if got := j.recovered; len(got.States) != 1 || got.TruncatedBytes != remaining || !got.InDoubtUntil.IsZero() {
		t.Errorf("got %+v, want one state and %d bytes truncated", got, remaining)
	}
}

// TestUnreadableRecords opens and inspects a directory with records that the
// journal did not write: they are reported, and the others are recovered. A key whose
// state can't be read counts as run.
func TestUnreadableRecords(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, now)
	j.record(t, claimed("a"))
	j.close(t)
	putRaw(t, dir, "key/b", "no JSON")
	putRaw(t, dir, "other", "{}")

	contents, err := Inspect(dir, now)
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(contents.UnreadableKeys, []string{"b"}) || !slices.Equal(contents.UnknownRecords, []string{"other"}) {
		t.Errorf("inspected: %+v", contents)
	}
	j = openJournal(t, dir, now)
	defer j.close(t)
	ran := map[string]string{}
	for _, state := range j.recovered.States {
		ran[state.Key] = state.RanAttemptID
	}
	if len(ran) != 2 || ran["a"] == "" || ran["b"] == "" {
		t.Errorf("recovered %+v, want two keys that count as run", j.recovered)
	}
	for _, name := range []string{"key/b", "other"} {
		j.wantEvent(t, "keys_unreadable key="+name)
	}
}

// TestInspect reads an open journal, with its doubt, and changes nothing.
func TestInspect(t *testing.T) {
	dir := t.TempDir()
	putRaw(t, dir, "doubt", "")
	j := openJournal(t, dir, now)
	defer j.close(t)
	j.record(t, completed(claimed("a")))
	for range 2 {
		contents, err := Inspect(dir, now)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.EqualFunc(contents.States, []idempotency.KeyState{completed(claimed("a"))}, sameState) ||
			!contents.InDoubtUntil.Equal(now.Add(longestWindow)) || len(contents.Losses) != 0 {
			t.Errorf("got %+v", contents)
		}
	}
}

// TestRecordError records in a closed journal: the error names the key and the
// cause.
func TestRecordError(t *testing.T) {
	j := openJournal(t, t.TempDir(), now)
	j.close(t)
	result := make(chan error, 1)
	j.Record(claimed("a"), func(err error) { result <- err })
	err := <-result
	var recordError *RecordError
	if !errors.As(err, &recordError) || recordError.Key != "a" || !errors.Is(err, store.ErrClosed) {
		t.Errorf("got %v, want a *RecordError for key a, store closed", err)
	}
}

// TestOpenError opens a journal in a directory that cannot be: the error names it.
func TestOpenError(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	_, _, err := Open(Options{Dir: file})
	var openError *OpenError
	if !errors.As(err, &openError) || openError.Dir != file {
		t.Errorf("got %v, want an *OpenError for %s", err, file)
	}
}
