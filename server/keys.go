package server

import (
	"log/slog"

	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/idempotency/journal"
	"quincerail.example/quincerail/store"
)

// keysSyncNever is the value of Config.KeysSync that leaves syncing to the
// operating system.
const keysSyncNever = "never"

// openJournal opens the journal of idempotency keys in the configuration's
// directory, and has the core start with what it recovered and record in it.
func openJournal(c *config.Config, options *dispatch.Options, logger *slog.Logger) (*journal.Journal, error) {
	policy := store.SyncAlways
	if c.KeysSync == keysSyncNever {
		policy = store.SyncNever
	}
	keys, recovered, err := journal.Open(journal.Options{
		Dir:           c.KeysDir,
		Sync:          policy,
		LongestWindow: longestWindow(c.Settings),
		Logger:        logger,
	})
	if err != nil {
		return nil, err
	}
	options.Journal = keys
	options.RecoveredKeys = recovered.States
	options.InDoubtUntil = recovered.InDoubtUntil
	return keys, nil
}
