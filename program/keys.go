package program

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"quincerail.example/quincerail/routing"
	"quincerail.example/quincerail/store"
)

// What the store of keys holds: the state of each key under "key/" and its
// name, and, after a loss, until when keys it does not know are in doubt.
const (
	keyPrefix = "key/"
	doubtKey  = "doubt"
)

// keyJournal keeps the table of keys in a store, so that a new process knows
// which gifts ran: routing.Journal over store.Store.
type keyJournal struct{ store *store.Store }

// Record implements routing.Journal. A state is kept until its window ends.
func (j keyJournal) Record(k routing.KeyState, done func(error)) {
	b, err := json.Marshal(k)
	if err != nil {
		done(fmt.Errorf("keys: %w", err))
		return
	}
	j.store.Put(keyPrefix+k.Key, b, k.Till, done)
}

// openKeys opens the store of keys in a folder and gives what it held. Where
// records were lost, every key that it does not know is in doubt for the
// longest window from now; that is recorded too, so that it holds through a
// further restart.
func openKeys(dir, sync string, window time.Duration, log *slog.Logger) (*store.Store, []routing.KeyState, time.Time, error) {
	policy := store.SyncAlways
	if sync == "never" {
		policy = store.SyncNever
	}
	s, rec, err := store.Open(store.Options{Dir: dir, Sync: policy})
	if err != nil {
		return nil, nil, time.Time{}, fmt.Errorf("keys: %w", err)
	}
	var states []routing.KeyState
	var doubt time.Time
	for name, v := range rec.Values {
		if name == doubtKey {
			doubt = v.ExpiresAt
			continue
		}
		var k routing.KeyState
		if err := json.Unmarshal(v.Bytes, &k); err != nil || !strings.HasPrefix(name, keyPrefix) {
			log.Warn("keys_unreadable", "key", name)
			continue
		}
		states = append(states, k)
	}
	if len(rec.Losses) > 0 {
		losses := make([]string, len(rec.Losses))
		for i, l := range rec.Losses {
			losses[i] = l.String()
		}
		doubt = time.Now().Add(window)
		log.Error("keys_lost", "losses", strings.Join(losses, "; "), "in_doubt_until", doubt.Format(time.RFC3339Nano))
		done := make(chan error, 1)
		s.Put(doubtKey, nil, doubt, func(err error) { done <- err })
		if err := <-done; err != nil {
			s.Close()
			return nil, nil, time.Time{}, fmt.Errorf("keys: %w", err)
		}
	}
	log.Info("keys_recovered", "keys", len(states), "truncated", rec.TruncatedBytes)
	return s, states, doubt, nil
}
