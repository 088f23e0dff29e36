package journal

import (
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"time"

	"quincerail.example/quincerail/idempotency"
	"quincerail.example/quincerail/store"
)

// Log event messages.
const (
	eventKeysUnreadable    = "keys_unreadable"
	eventKeysLost          = "keys_lost"
	eventKeysRecovered     = "keys_recovered"
	eventKeysDegraded      = "keys_degraded"
	eventKeysHealthy       = "keys_healthy"
	eventMaintenanceFailed = "keys_maintenance_failed"
)

// Options configure a Journal. Dir and LongestWindow are required.
type Options struct {
	Dir           string
	Sync          store.SyncPolicy
	LongestWindow time.Duration    // longest window of any key; keys without a record are in doubt this long after a loss
	Now           func() time.Time // nil for time.Now
	Logger        *slog.Logger     // nil for slog.Default()
}

func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	return o
}

// RecoveredState is the state that Open found in the directory.
type RecoveredState struct {
	States         []idempotency.KeyState // in no particular order
	InDoubtUntil   time.Time              // keys without a record are in doubt until then; zero if they are not
	TruncatedBytes int64                  // size of an unfinished write that Open removed
}

// Journal stores the states of idempotency keys durably. Its methods are safe for concurrent
// use.
type Journal struct{ store *store.Store }

var _ idempotency.Journal = (*Journal)(nil)

// Open opens the journal in Options.Dir and recovers its contents. It creates the directory
// if it does not exist. Its errors are of type *OpenError.
func Open(options Options) (*Journal, RecoveredState, error) {
	options = options.withDefaults()
	s, stored, err := store.Open(store.Options{
		Dir: options.Dir, Sync: options.Sync, Now: options.Now,
		OnHealth: func(err error) { logHealth(options.Logger, err) },
		OnMaintenanceError: func(err error) {
			options.Logger.Warn(eventMaintenanceFailed, "error", err.Error())
		},
	})
	if err != nil {
		return nil, RecoveredState{}, &OpenError{Dir: options.Dir, Err: err}
	}
	j := &Journal{store: s}
	contents := decodeContents(stored)
	logUnreadable(options.Logger, contents)
	if len(contents.Losses) > 0 {
		contents.InDoubtUntil = options.Now().Add(options.LongestWindow)
		logLosses(options.Logger, contents)
		if err := j.recordDoubt(contents.InDoubtUntil); err != nil {
			return nil, RecoveredState{}, &OpenError{Dir: options.Dir, Err: errors.Join(err, j.Close())}
		}
	}
	options.Logger.Info(eventKeysRecovered, "keys", len(contents.States), "truncated", contents.TruncatedBytes)
	return j, RecoveredState{
		States:         contents.States,
		InDoubtUntil:   contents.InDoubtUntil,
		TruncatedBytes: contents.TruncatedBytes,
	}, nil
}

// Record implements idempotency.Journal. The state is kept until the key's window ends.
// Record calls done with nil or with a *RecordError.
func (j *Journal) Record(state idempotency.KeyState, done func(error)) {
	value, err := json.Marshal(state)
	if err != nil {
		done(&RecordError{Key: state.Key, Err: err})
		return
	}
	j.store.Put(keyRecordPrefix+state.Key, value, state.ExpiresAt, func(err error) {
		if err != nil {
			err = &RecordError{Key: state.Key, Err: err}
		}
		done(err)
	})
}

// recordDoubt records that keys without a record are in doubt until the given time, and
// waits until that is durable.
func (j *Journal) recordDoubt(until time.Time) error {
	durable := make(chan error, 1)
	j.store.Put(doubtRecordName, nil, until, func(err error) { durable <- err })
	return <-durable
}

// Close waits until all recorded states are written and closes the journal.
func (j *Journal) Close() error { return j.store.Close() }

// logHealth logs that records cannot be made durable, or that the store is healthy again.
func logHealth(logger *slog.Logger, err error) {
	if err != nil {
		logger.Error(eventKeysDegraded, "error", err.Error())
		return
	}
	logger.Info(eventKeysHealthy)
}

func logUnreadable(logger *slog.Logger, contents *Contents) {
	for _, key := range contents.UnreadableKeys {
		logger.Warn(eventKeysUnreadable, "key", keyRecordPrefix+key)
	}
	for _, name := range contents.UnknownRecords {
		logger.Warn(eventKeysUnreadable, "key", name)
	}
}

func logLosses(logger *slog.Logger, contents *Contents) {
	losses := make([]string, len(contents.Losses))
	for i, loss := range contents.Losses {
		losses[i] = loss.String()
	}
	logger.Error(eventKeysLost, "losses", strings.Join(losses, "; "),
		"in_doubt_until", contents.InDoubtUntil.Format(time.RFC3339Nano))
}
