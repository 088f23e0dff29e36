package program

import (
	"encoding/json"
	"fmt"
	"log"
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
func openKeys(dir string, window time.Duration) (*store.Store, []routing.KeyState, time.Time, error) {
	s, rec, err := store.Open(store.Options{Dir: dir, Sync: store.SyncAlways})
	if err != nil {
		return nil, nil, time.Time{}, fmt.Errorf("keys: %w", err)
	}
	var states []routing.KeyState
	var doubt time.Time
	for name, v := range rec.Values {
		if name == doubtKey {
			doubt = v.Expires
			continue
		}
		var k routing.KeyState
		if err := json.Unmarshal(v.Bytes, &k); err != nil || !strings.HasPrefix(name, keyPrefix) {
			log.Printf("event=keys_unreadable key=%q", name)
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
		log.Printf("event=keys_lost losses=%q in_doubt_until=%s", strings.Join(losses, "; "), doubt.Format(time.RFC3339Nano))
		done := make(chan error, 1)
		s.Put(doubtKey, nil, doubt, func(err error) { done <- err })
		if err := <-done; err != nil {
			s.Close()
			return nil, nil, time.Time{}, fmt.Errorf("keys: %w", err)
		}
	}
	log.Printf("event=keys_recovered keys=%d truncated=%d", len(states), rec.Truncated)
	return s, states, doubt, nil
}
