package idempotency

import (
	"slices"
	"time"
)

const (
	// WindowTolerance is added to the end of each window to allow for clock differences and
	// rounding.
	WindowTolerance = 100 * time.Millisecond
	// EntryOverheadBytes is the size that is counted for each entry in addition to its
	// result.
	EntryOverheadBytes = 512

	expireInterval = 250 * time.Millisecond // minimum time between two passes of Expire
)

// Table maps idempotency keys to their entries. It must be used by one goroutine.
type Table struct {
	entries     map[string]*Entry
	withResult  []*Entry      // entries with a result, the oldest result first
	bytes       int           // size of all entries and results
	maxBytes    int           // 0 for no bound
	expiredAt   time.Duration // time of the last pass of Expire
	maxLateness time.Duration // longest time from an attempt's arrival to Register
}

// NewTable returns an empty table that is bounded to maxBytes; 0 is no bound.
func NewTable(maxBytes int) *Table {
	return &Table{entries: make(map[string]*Entry), maxBytes: maxBytes}
}

// AllowLateness sets the longest time from an attempt's arrival to Register, unless a longer one
// is set already. Entries are kept for this time after the end of their window.
func (t *Table) AllowLateness(lateness time.Duration) {
	t.maxLateness = max(t.maxLateness, lateness)
}

// Full reports whether the entries exceed the bound even without their results.
func (t *Table) Full() bool {
	return t.maxBytes > 0 && len(t.entries)*EntryOverheadBytes > t.maxBytes
}

// Lookup returns the entry of a key, or nil if there is none.
func (t *Table) Lookup(key string) *Entry { return t.entries[key] }

// Entries returns all entries, in no particular order.
func (t *Table) Entries() []*Entry {
	entries := make([]*Entry, 0, len(t.entries))
	for _, e := range t.entries {
		entries = append(entries, e)
	}
	return entries
}

// Matches decides whether an attempt may be registered with its key.
//
// Inputs: the entry of the key, the attempt's body hash and class, and sameRequest, which
// reports whether attempts of one request may arrive in both classes. Rule: the key is
// unused, or the body and class match those of the entry. Reason: all attempts of a request
// have the same body and class, and another request must not get its result.
func (t *Table) Matches(a Attempt, sameRequest func(classA, classB string) bool) bool {
	e := t.entries[a.Key]
	return e == nil || e.unused(a.ArrivedAt) ||
		e.bodyHash == a.BodyHash && sameRequest(e.class, a.Class)
}

// Register registers an attempt with its key until Unregister. duplicateOf is the id of the
// attempt that it duplicates: the one that has run, if this attempt arrived within the
// window, or else the owner of the key, if that has not ended. If there is neither, the
// attempt becomes the owner, and duplicateOf is "".
func (t *Table) Register(a Attempt) (e *Entry, duplicateOf string) {
	e = t.lookupOrAdd(a.Key)
	if e.unused(a.ArrivedAt) {
		e.class = a.Class
	}
	e.bodyHash = a.BodyHash
	e.openAttempts++
	if e.RanInWindow(a.ArrivedAt) {
		return e, e.ranAttemptID
	}
	if !e.completed {
		return e, e.owner
	}
	e.owner, e.completed = a.ID, false
	return e, ""
}

// TakeOwnership makes an attempt the owner of its key, unless the key has run and the attempt
// arrived within its window, or the owner has not ended. It does not claim the key.
func (t *Table) TakeOwnership(e *Entry, a Attempt) {
	if !e.RanInWindow(a.ArrivedAt) && e.completed {
		e.owner, e.completed = a.ID, false
	}
}

// Claim makes an attempt the owner of its key and the one that runs, removes the result of an
// earlier run, and sets the key's window, which counts from the attempt's arrival. The caller
// must have checked that the attempt did not arrive within the window of another run
// (guard.MayStart).
func (t *Table) Claim(e *Entry, a Attempt, window time.Duration) {
	t.evictResult(e)
	e.owner, e.ranAttemptID, e.completed, e.remote = a.ID, a.ID, false, false
	e.expiresAt = a.ArrivedAt + window + WindowTolerance
}

// ReleaseClaim undoes the claim of an attempt that is proven not to have run. It does nothing
// if the attempt has no claim.
func (t *Table) ReleaseClaim(e *Entry, attemptID string) {
	if e.ranAttemptID == attemptID {
		e.ranAttemptID = ""
	}
}

// Unregister ends the registration of an attempt that has ended. If the attempt owns the key,
// it returns the ids of the duplicates that wait for it.
func (t *Table) Unregister(e *Entry, attemptID string) (waiting []string) {
	e.openAttempts--
	e.stopWaiting(attemptID)
	if e.owner == attemptID && !e.completed {
		waiting = e.complete()
	}
	if e.removable() {
		t.remove(e)
	}
	return waiting
}

// Apply replaces the state of a key with one from a peer or the journal; expiresAt is the end of
// its window on this process's timeline. A state without RanAttemptID releases the claim. If
// the run has ended or the claim is released, Apply returns the ids of the duplicates that wait
// for the owner.
func (t *Table) Apply(state KeyState, expiresAt time.Duration) (e *Entry, waiting []string) {
	e = t.lookupOrAdd(state.Key)
	t.evictResult(e)
	e.class, e.bodyHash = state.Class, state.BodyHash
	e.owner, e.ranAttemptID, e.expiresAt = state.RanAttemptID, state.RanAttemptID, expiresAt
	e.completed = state.Completed || state.RanAttemptID == ""
	e.remote = !e.completed
	if state.Result != nil {
		t.StoreResult(e, *state.Result)
	}
	if e.completed {
		waiting = e.complete()
	}
	if e.removable() {
		t.remove(e)
	}
	return e, waiting
}

// StoreResult stores the result of a successful run. If the table then exceeds its bound, it
// evicts the oldest results first, and this one last.
func (t *Table) StoreResult(e *Entry, result Payload) {
	e.result, e.resultBytes = &result, result.sizeBytes()
	t.bytes += e.resultBytes
	t.withResult = append(t.withResult, e)
	for t.maxBytes > 0 && t.bytes > t.maxBytes && len(t.withResult) > 0 {
		t.evictResult(t.withResult[0])
	}
}

// Expire removes the entries without a registered attempt whose window is over for all
// attempts. An attempt that arrived within the window may be registered later
// (AllowLateness). A call within expireInterval of the last pass does nothing.
func (t *Table) Expire(now time.Duration) {
	if now < t.expiredAt+expireInterval {
		return
	}
	t.expiredAt = now
	for _, e := range t.entries {
		if e.openAttempts == 0 && now >= e.expiresAt+t.maxLateness {
			t.remove(e)
		}
	}
}

// lookupOrAdd returns the entry of a key, and adds one if there is none.
func (t *Table) lookupOrAdd(key string) *Entry {
	e := t.entries[key]
	if e == nil {
		e = &Entry{key: key, completed: true}
		t.entries[key] = e
		t.bytes += EntryOverheadBytes
	}
	return e
}

// evictResult removes the result of an entry, if it has one.
func (t *Table) evictResult(e *Entry) {
	if e.result == nil {
		return
	}
	e.result = nil
	t.bytes -= e.resultBytes
	if i := slices.Index(t.withResult, e); i >= 0 {
		t.withResult = slices.Delete(t.withResult, i, i+1)
	}
}

func (t *Table) remove(e *Entry) {
	t.evictResult(e)
	delete(t.entries, e.key)
	t.bytes -= EntryOverheadBytes
}
