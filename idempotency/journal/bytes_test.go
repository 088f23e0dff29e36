package journal

import (
	"reflect"
	"testing"

	"quincerail.example/quincerail/idempotency"
)

// TestRecord_KeepsBytesThatAreNotUTF8 guards against a key that runs again after a restart, because
// its record came back under another key: keys, and names and values of a result's fields, come back
// byte for byte, also if they are not UTF-8.
func TestRecord_KeepsBytesThatAreNotUTF8(t *testing.T) {
	claimed := idempotency.KeyState{Key: "g\xe5va-1", Class: "ny-gava", RanAttemptID: "9b1f03aa5c7e2d41", ExpiresAt: goldenExpiry}
	completed := claimed
	completed.Key, completed.Completed = "\xff\x00", true
	completed.Result = &idempotency.Payload{
		Fields: []idempotency.Field{{Name: "X-\xe5", Value: "g\xe5va"}, {Name: "X", Value: "\ufffd"}},
		Body:   []byte("\xe5"),
	}
	dir := t.TempDir()
	j := openJournal(t, dir, now)
	j.record(t, claimed, completed)
	j.close(t)
	j = openJournal(t, dir, now)
	defer j.close(t)
	want := []idempotency.KeyState{claimed, completed}
	if got := sortedByKey(j.recovered.States); !reflect.DeepEqual(got, want) {
		t.Errorf("recovered states %+v\nwant %+v", got, want)
	}
}
