package idempotency

import (
	"fmt"
	"testing"
	"time"
)

// testWindow is the window of the tests' keys.
const testWindow = 20 * time.Second

// TestResultsBounded stores more results than the table's bound allows: it is never
// exceeded, the oldest result is evicted, and what says that its key has run stays.
func TestResultsBounded(t *testing.T) {
	table := NewTable(10 * EntryOverheadBytes)
	var first *Entry
	for i := range 8 {
		a := Attempt{ID: fmt.Sprint(i), Key: fmt.Sprint("k", i)}
		e, _ := table.Register(a)
		table.Claim(e, a, testWindow)
		table.StoreResult(e, Payload{Body: make([]byte, EntryOverheadBytes)})
		if i == 0 {
			first = e
		}
		table.Unregister(e, a.ID)
		if table.bytes > table.maxBytes {
			t.Fatalf("%d bytes kept, %d at most", table.bytes, table.maxBytes)
		}
	}
	if first.Result() != nil || first.RanAttemptID() != "0" {
		t.Errorf("the oldest entry has result %v and ran %q; its result had to go, and its mark to stay", first.Result(), first.RanAttemptID())
	}
	table.Expire(testWindow + time.Second)
	if len(table.entries) != 0 || table.bytes != 0 {
		t.Errorf("%d entries and %d bytes after the window", len(table.entries), table.bytes)
	}
}
