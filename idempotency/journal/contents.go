package journal

import (
	"encoding/json"
	"strings"
	"time"

	"quincerail.example/quincerail/idempotency"
	"quincerail.example/quincerail/store"
)

// Names of the store's records. They are on operators' disks: they must not
// change.
const (
	keyRecordPrefix = "key/"  // followed by the key: its state
	doubtRecordName = "doubt" // expires when unknown keys are no longer in doubt
)

// unreadableAttemptID stands for the id of the attempt that ran a key whose state can't
// be decoded.
const unreadableAttemptID = "unreadable"

// Contents is what a journal's directory holds.
type Contents struct {
	States         []idempotency.KeyState // in no particular order; with those of UnreadableKeys
	UnreadableKeys []string               // keys whose state could not be decoded: they count as run
	UnknownRecords []string               // names of records that are not the journal's
	InDoubtUntil   time.Time              // until when unknown keys are in doubt; zero if they are not
	Losses         []store.Loss           // of records that could not be read
	TruncatedBytes int64                  // of writes that never finished
}

// Inspect reads a journal's directory as Open would, and changes nothing in it.
// The directory may be in use.
func Inspect(dir string, now time.Time) (*Contents, error) {
	stored, err := store.Inspect(dir, now)
	if err != nil {
		return nil, &OpenError{Dir: dir, Err: err}
	}
	return decodeContents(stored), nil
}

// unreadableState is the state of a key whose record can't be decoded: it may have run,
// so it counts as run without a result.
func unreadableState(key string, expiresAt time.Time) idempotency.KeyState {
	return idempotency.KeyState{Key: key, RanAttemptID: unreadableAttemptID, ExpiresAt: expiresAt, Completed: true}
}

// decodeContents decodes a store's records by their names.
func decodeContents(stored *store.Recovered) *Contents {
	contents := &Contents{Losses: stored.Losses, TruncatedBytes: stored.TruncatedBytes}
	for name, value := range stored.Values {
		if name == doubtRecordName {
			contents.InDoubtUntil = value.ExpiresAt
			continue
		}
		key, ok := strings.CutPrefix(name, keyRecordPrefix)
		if !ok {
			contents.UnknownRecords = append(contents.UnknownRecords, name)
			continue
		}
		var state idempotency.KeyState
		if err := json.Unmarshal(value.Bytes, &state); err != nil {
			contents.UnreadableKeys = append(contents.UnreadableKeys, key)
			state = unreadableState(key, value.ExpiresAt)
		}
		contents.States = append(contents.States, state)
	}
	return contents
}
