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

// Messages of the log events.
const (
	eventRecordUnreadable = "keys_unreadable"
	eventRecordsLost      = "keys_lost"
	eventRecovered        = "keys_recovered"
	eventDegraded         = "keys_degraded"
	eventHealthy          = "keys_healthy"
	eventMaintenance      = "keys_maintenance_failed"
)

// Options configure a Journal. Dir and LongestWindow are required.
type Options struct {
	Dir           string
	Sync          store.SyncPolicy
	LongestWindow time.Duration    // of all keys; after a loss, unknown keys are in doubt for it
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

// Recovered is what Open found in the directory.
type Recovered struct {
	States         []idempotency.KeyState // in no particular order
	InDoubtUntil   time.Time              // until when unknown keys are in doubt; zero if they are not
	TruncatedBytes int64                  // of writes that never finished, cut off
}

// Journal keeps states of keys durably. Its methods are safe for concurrent use.
type Journal struct{ store *store.Store }

var _ idempotency.Journal = (*Journal)(nil)

// Open opens the journal in a directory, which it creates if it does not exist,
// and recovers what it holds. Its errors are of type *OpenError.
func Open(options Options) (*Journal, Recovered, error) {
	options = options.withDefaults()
	s, stored, err := store.Open(store.Options{
		Dir: options.Dir, Sync: options.Sync, Now: options.Now,
		OnHealth: func(err error) { logHealth(options.Logger, err) },
		OnMaintenanceError: func(err error) {
			options.Logger.Warn(eventMaintenance, "error", err.Error())
		},
	})
	if err != nil {
		return nil, Recovered{}, &OpenError{Dir: options.Dir, Err: err}
	}
	j := &Journal{store: s}
	contents := decodeContents(stored)
	logUnreadable(options.Logger, contents)
	if len(contents.Losses) > 0 {
		contents.InDoubtUntil = options.Now().Add(options.LongestWindow)
		logLosses(options.Logger, contents)
		if err := j.recordDoubt(contents.InDoubtUntil); err != nil {
			return nil, Recovered{}, &OpenError{Dir: options.Dir, Err: errors.Join(err, j.Close())}
		}
	}
	options.Logger.Info(eventRecovered, "keys", len(contents.States), "truncated", contents.TruncatedBytes)
	return j, Recovered{
		States:         contents.States,
		InDoubtUntil:   contents.InDoubtUntil,
		TruncatedBytes: contents.TruncatedBytes,
	}, nil
}

// Record implements idempotency.Journal. It keeps the state until the key's window
// ends. The errors that done is given are of type *RecordError.
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

// recordDoubt records until when unknown keys are in doubt, and waits until that
// is durable.
func (j *Journal) recordDoubt(until time.Time) error {
	durable := make(chan error, 1)
	j.store.Put(doubtRecordName, nil, until, func(err error) { durable <- err })
	return <-durable
}

// Close waits for what was recorded and closes the journal.
func (j *Journal) Close() error { return j.store.Close() }

// logHealth logs that claims can't be made durable, or can be again.
func logHealth(logger *slog.Logger, err error) {
	if err != nil {
		logger.Error(eventDegraded, "error", err.Error())
		return
	}
	logger.Info(eventHealthy)
}

func logUnreadable(logger *slog.Logger, contents *Contents) {
	for _, key := range contents.UnreadableKeys {
		logger.Warn(eventRecordUnreadable, "key", keyRecordPrefix+key)
	}
	for _, name := range contents.UnknownRecords {
		logger.Warn(eventRecordUnreadable, "key", name)
	}
}

func logLosses(logger *slog.Logger, contents *Contents) {
	losses := make([]string, len(contents.Losses))
	for i, loss := range contents.Losses {
		losses[i] = loss.String()
	}
	logger.Error(eventRecordsLost, "losses", strings.Join(losses, "; "),
		"in_doubt_until", contents.InDoubtUntil.Format(time.RFC3339Nano))
}
