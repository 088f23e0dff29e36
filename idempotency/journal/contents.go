package journal

import (
	"encoding/json"
	"strings"
	"time"

	"quincerail.example/quincerail/idempotency"
	"quincerail.example/quincerail/store"
)

// Names of the store's records. They must not change, because existing journals on disk
// contain them.
const (
	keyRecordPrefix = "key/"  // followed by the key; the value is the key's state
	doubtRecordName = "doubt" // keys without a record are in doubt until this record expires
)

// unreadableAttemptID replaces the ID of the attempt that ran a key if the state of the
// key cannot be decoded.
const unreadableAttemptID = "unreadable"

// Contents is the decoded contents of a journal's directory.
type Contents struct {
	States         []idempotency.KeyState // in no particular order; includes UnreadableKeys
	UnreadableKeys []string               // keys whose state cannot be decoded; they count as run
	UnknownRecords []string               // names of records that the journal does not write
	InDoubtUntil   time.Time              // keys without a record are in doubt until then; zero if they are not
	Losses         []store.Loss           // parts of segments that could not be read
	TruncatedBytes int64                  // size of an unfinished write
}

// Inspect reads a journal's directory as Open does but does not change it. The
// directory may be in use. Its errors are of type *OpenError.
func Inspect(dir string, now time.Time) (*Contents, error) {
	stored, err := store.Inspect(dir, now)
	if err != nil {
		return nil, &OpenError{Dir: dir, Err: err}
	}
	return decodeContents(stored), nil
}

// unreadableState returns the state of a key whose record cannot be decoded. The request
// may have run, so the key counts as completed without a result.
func unreadableState(key string, expiresAt time.Time) idempotency.KeyState {
	return idempotency.KeyState{Key: key, RanAttemptID: unreadableAttemptID, ExpiresAt: expiresAt, Completed: true}
}

// decodeContents decodes the records of a store according to their names.
func decodeContents(stored *store.RecoveredState) *Contents {
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
		state.Key = key // in the JSON, bytes that are not UTF-8 are replaced
		contents.States = append(contents.States, state)
	}
	return contents
}
