package journal

import (
	"reflect"
	"testing"
	"time"

	"quincerail.example/quincerail/idempotency"
	"quincerail.example/quincerail/internal/golden"
)

// goldenExpiry is the expiry time of all states in the golden journal.
var goldenExpiry = time.Date(2200, 1, 2, 3, 4, 5, 678_900_000, time.UTC)

// goldenDoubt is the time until which keys without a record in the golden journal are in
// doubt.
var goldenDoubt = goldenExpiry.Add(-time.Hour)

// goldenStates returns the states that were recorded in the golden journal, in order. The
// first key has two.
func goldenStates() []idempotency.KeyState {
	running := idempotency.KeyState{Key: "gåva/1", Class: "ny-gava", BodyHash: 1<<64 - 1, RanAttemptID: "9b1f03aa5c7e2d41", ExpiresAt: goldenExpiry}
	succeeded, failed, notRun, inDoubt := running, running, running, running
	succeeded.Completed = true
	succeeded.Result = &idempotency.Payload{
		Fields: []idempotency.Field{{Name: ":status", Value: "201"}},
		Body:   []byte("tack\x00\xff"),
	}
	failed.Key, failed.Completed = "gava-2", true
	notRun.Key, notRun.RanAttemptID, notRun.Completed = "gava-3", "", true
	inDoubt.Key = "gava-4"
	return []idempotency.KeyState{running, succeeded, failed, notRun, inDoubt}
}

// TestGoldenJournal_IsWrittenByteForByte records the states and the doubt of the golden
// journal. The segment written must be identical to the golden one.
func TestGoldenJournal_IsWrittenByteForByte(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, now)
	j.record(t, goldenStates()...)
	if err := j.recordDoubt(goldenDoubt); err != nil {
		t.Fatal(err)
	}
	j.close(t)
	golden.EqualFolder(t, "keys", dir)
}

// TestGoldenJournal_IsRead opens the golden journal and recovers the latest state of each
// key and the doubt.
func TestGoldenJournal_IsRead(t *testing.T) {
	j := openJournal(t, golden.CopyFolder(t, "keys"), now)
	defer j.close(t)
	if !j.recovered.InDoubtUntil.Equal(goldenDoubt) {
		t.Errorf("InDoubtUntil = %v, want %v", j.recovered.InDoubtUntil, goldenDoubt)
	}
	all := goldenStates()
	want := []idempotency.KeyState{all[2], all[3], all[4], all[1]}
	if got := sortedByKey(j.recovered.States); !reflect.DeepEqual(got, want) {
		t.Errorf("recovered states %+v\nwant %+v", got, want)
	}
}
