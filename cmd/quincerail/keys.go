package main

import (
	"fmt"
	"slices"
	"time"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/idempotency/journal"
)

// keysCmd prints the contents of a folder of idempotency keys, as a new process would load
// them. It changes nothing in the folder.
type keysCmd struct {
	Dir  string `arg:"" help:"Folder that serve --keys writes to." type:"existingdir"`
	List bool   `help:"Also print each key with its outcome."`
}

// Run prints the contents, and returns an error that wraps errProblemsFound if stored data
// was lost.
func (c *keysCmd) Run() error {
	contents, err := journal.Inspect(c.Dir, time.Now())
	if err != nil {
		return err
	}
	if until := contents.InDoubtUntil; !until.IsZero() {
		fmt.Printf("unknown keys in doubt until %s\n", until.Format(time.RFC3339))
	}
	if c.List {
		printKeys(contents.States)
	}
	printKeyCounts(contents)
	if contents.TruncatedBytes > 0 {
		fmt.Printf("%d bytes of an incomplete write\n", contents.TruncatedBytes)
	}
	for _, loss := range contents.Losses {
		fmt.Printf("loss: %s\n", loss)
	}
	if len(contents.Losses) > 0 {
		return fmt.Errorf("%w: %d losses", errProblemsFound, len(contents.Losses))
	}
	return nil
}

// The outcomes of a key, as keysCmd prints them.
const (
	keyCompleted = "done"
	keyInDoubt   = "in doubt"
	keyFailed    = "failed"
	keyNotRun    = "not run"
)

// keyOutcome returns the outcome of a key's request. A request that started and has no
// recorded end is in doubt.
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

// printKeys prints each key with its class, outcome and expiry, sorted by key.
func printKeys(states []dispatch.KeyState) {
	lines := make([]string, len(states))
	for i, state := range states {
		lines[i] = fmt.Sprintf("%s\t%s\t%s\tuntil %s", state.Key, state.Class, keyOutcome(state), state.ExpiresAt.Format(time.RFC3339))
	}
	slices.Sort(lines)
	for _, line := range lines {
		fmt.Println(line)
	}
}

// printKeyCounts prints the number of keys in total and of each outcome.
func printKeyCounts(contents *journal.Contents) {
	counts := map[string]int{}
	for _, state := range contents.States {
		counts[keyOutcome(state)]++
	}
	unreadable := len(contents.UnreadableKeys)
	fmt.Printf("%d keys: %d done, %d in doubt, %d failed, %d not run, %d unreadable\n", len(contents.States)+unreadable,
		counts[keyCompleted], counts[keyInDoubt], counts[keyFailed], counts[keyNotRun], unreadable)
}
