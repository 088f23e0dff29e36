package main

import (
	"fmt"
	"slices"
	"time"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/idempotency/journal"
)

// keysCmd reports what a folder of keys holds, as a new process would find it.
type keysCmd struct {
	Dir  string `arg:"" help:"The folder that serve --keys writes." type:"existingdir"`
	List bool   `help:"Name each key and what became of it."`
}

// Run implements the sub-command.
func (c *keysCmd) Run() error {
	contents, err := journal.Inspect(c.Dir, time.Now())
	if err != nil {
		return err
	}
	if until := contents.InDoubtUntil; !until.IsZero() {
		fmt.Printf("unknown keys in doubt until %s\n", until.Format(time.RFC3339))
	}
	if c.List {
		listKeys(contents.States)
	}
	countKeys(contents)
	if contents.TruncatedBytes > 0 {
		fmt.Printf("%d bytes of a write that never finished\n", contents.TruncatedBytes)
	}
	for _, loss := range contents.Losses {
		fmt.Printf("loss: %s\n", loss)
	}
	if len(contents.Losses) > 0 {
		return fmt.Errorf("%w: %d losses", errFound, len(contents.Losses))
	}
	return nil
}

// What became of a key, as the sub-command names it.
const (
	keyCompleted = "done"
	keyInDoubt   = "in doubt"
	keyFailed    = "failed"
	keyNotRun    = "not run"
)

// keyOutcome returns what became of a key.
func keyOutcome(state dispatch.KeyState) string {
	switch {
	case state.RanAttemptID == "":
		return keyNotRun
	case !state.Completed:
		return keyInDoubt
	case state.Result == nil:
		return keyFailed
	default:
		return keyCompleted
	}
}

// listKeys prints each key and what became of it, in order of the keys.
func listKeys(states []dispatch.KeyState) {
	lines := make([]string, len(states))
	for i, state := range states {
		lines[i] = fmt.Sprintf("%s\t%s\t%s\tuntil %s", state.Key, state.Class, keyOutcome(state), state.ExpiresAt.Format(time.RFC3339))
	}
	slices.Sort(lines)
	for _, line := range lines {
		fmt.Println(line)
	}
}

// countKeys prints how many keys there are of each outcome.
func countKeys(contents *journal.Contents) {
	counts := map[string]int{}
	for _, state := range contents.States {
		counts[keyOutcome(state)]++
	}
	unreadable := len(contents.UnreadableKeys)
	fmt.Printf("%d keys: %d done, %d in doubt, %d failed, %d not run, %d unreadable\n", len(contents.States)+unreadable,
		counts[keyCompleted], counts[keyInDoubt], counts[keyFailed], counts[keyNotRun], unreadable)
}
