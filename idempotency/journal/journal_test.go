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
	recordHeaderSize = 12 // size of the header of a store record
)

// now is the current time in most tests.
var now = time.Unix(1_800_000_000, 0)

// testJournal is an open journal with the state that it recovered and its log output.
type testJournal struct {
	*Journal
	recovered RecoveredState
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
		t.Errorf("event %s was not logged; log:\n%s", event, j.log)
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

// putRaw writes a record directly to the store in a journal's directory.
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

// TestOpen_RecoversLatestStates reopens a journal after the window of one key has ended. Open
// must recover the latest state of each other key, and no state of that key.
func TestOpen_RecoversLatestStates(t *testing.T) {
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
		t.Errorf("Open recovered %+v\nwant states %+v, no doubt, nothing truncated", j.recovered, want)
	}
}

// sameState compares states by value. It compares times with Equal, because a time that
// was decoded from JSON has another location.
func sameState(a, b idempotency.KeyState) bool {
	if !a.ExpiresAt.Equal(b.ExpiresAt) || !a.ArrivedAt.Equal(b.ArrivedAt) {
		return false
	}
	a.ExpiresAt, a.ArrivedAt = b.ExpiresAt, b.ArrivedAt
	return reflect.DeepEqual(a, b)
}

// TestOpen_LossPutsUnknownKeysInDoubt corrupts the first record. Keys without a record must
// be in doubt for the longest window, also after the journal is opened once more.
func TestOpen_LossPutsUnknownKeysInDoubt(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, now)
	j.record(t, claimed("lost"))
	j.close(t)
	corruptFirstRecord(t, dir)

	until := now.Add(longestWindow)
	j = openJournal(t, dir, now)
	j.wantEvent(t, "keys_lost")
	if got := j.recovered; len(got.States) != 0 || !got.InDoubtUntil.Equal(until) {
		t.Errorf("first Open after the loss recovered %+v, want no states and unknown keys in doubt until %v", got, until)
	}
	j.close(t)

	j = openJournal(t, dir, now.Add(time.Second))
	defer j.close(t)
	if strings.Contains(j.log.String(), "keys_lost") || !j.recovered.InDoubtUntil.Equal(until) {
		t.Errorf("second Open recovered %+v, want no further loss and unknown keys in doubt until %v; log:\n%s", j.recovered, until, j.log)
	}
}

// TestOpen_CountsBytesOfUnfinishedWrite truncates the last record. Open must count its
// bytes and recover the record before it.
func TestOpen_CountsBytesOfUnfinishedWrite(t *testing.T) {
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
		t.Errorf("Open recovered %+v, want one state, no doubt and %d bytes truncated", got, remaining)
	}
}

// TestOpen_ReportsUnreadableRecords opens and inspects a directory with records that the
// journal did not write. These must be reported, and the other record recovered. A key whose
// state cannot be decoded counts as run.
func TestOpen_ReportsUnreadableRecords(t *testing.T) {
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
		t.Errorf("Inspect() = %+v, want unreadable key b and unknown record other", contents)
	}
	j = openJournal(t, dir, now)
	defer j.close(t)
	ran := map[string]string{}
	for _, state := range j.recovered.States {
		ran[state.Key] = state.RanAttemptID
	}
	if len(ran) != 2 || ran["a"] == "" || ran["b"] == "" {
		t.Errorf("Open recovered %+v, want keys a and b, both with a RanAttemptID", j.recovered)
	}
	for _, name := range []string{"key/b", "other"} {
		j.wantEvent(t, "keys_unreadable key="+name)
	}
}

// TestInspect_OpenJournal inspects the directory of an open journal twice. Both calls must
// return its state and its doubt.
func TestInspect_OpenJournal(t *testing.T) {
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
			t.Errorf("Inspect() = %+v, want key a completed, unknown keys in doubt until %v and no losses",
				contents, now.Add(longestWindow))
		}
	}
}

// TestRecord_AfterCloseReturnsRecordError records a state in a closed journal. The error
// must contain the key and wrap store.ErrClosed.
func TestRecord_AfterCloseReturnsRecordError(t *testing.T) {
	j := openJournal(t, t.TempDir(), now)
	j.close(t)
	result := make(chan error, 1)
	j.Record(claimed("a"), func(err error) { result <- err })
	err := <-result
	var recordError *RecordError
	if !errors.As(err, &recordError) || recordError.Key != "a" || !errors.Is(err, store.ErrClosed) {
		t.Errorf("Record called done with %v, want a *RecordError for key a that wraps %v", err, store.ErrClosed)
	}
}

// TestOpen_PathIsAFileReturnsOpenError opens a journal at the path of a regular file. The
// error must contain the path.
func TestOpen_PathIsAFileReturnsOpenError(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	_, _, err := Open(Options{Dir: file})
	var openError *OpenError
	if !errors.As(err, &openError) || openError.Dir != file {
		t.Errorf("Open() = %v, want an *OpenError for %s", err, file)
	}
}
