package idempotency

import (
	"slices"
	"time"
)

const (
	// WindowTolerance is added to the end of each window, for the difference of clocks
	// and for rounding.
	WindowTolerance = 100 * time.Millisecond
	// EntryOverheadBytes is counted for each entry beside its result.
	EntryOverheadBytes = 512

	expireInterval = 250 * time.Millisecond // between two passes of Expire
)

// Table links the attempts of keyed requests. It belongs to one goroutine.
type Table struct {
	entries     map[string]*Entry
	withResult  []*Entry      // in the order in which their results were stored
	bytes       int           // entries' overhead and results
	maxBytes    int           // 0 for no bound
	expiredAt   time.Duration // the last pass of Expire
	maxLateness time.Duration // how long after its arrival an attempt may still be registered
}

// NewTable makes a table of at most maxBytes; 0 for no bound.
func NewTable(maxBytes int) *Table {
	return &Table{entries: make(map[string]*Entry), maxBytes: maxBytes}
}

// AllowLateness raises how long after its arrival an attempt may still be registered:
// for so long entries are kept beyond their window.
func (t *Table) AllowLateness(lateness time.Duration) {
	t.maxLateness = max(t.maxLateness, lateness)
}

// Full reports whether there is no room for a further key, even without results.
func (t *Table) Full() bool {
	return t.maxBytes > 0 && len(t.entries)*EntryOverheadBytes > t.maxBytes
}

// Lookup returns a key's entry, or nil if there is none.
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
// Inputs: the key's entry, the attempt's body hash and class, and sameRequest, which tells
// whether attempts of one request may come in both classes. Rule: the key is unused, or body and class match those of the
// key. Reason: all attempts of one request carry the same; another request must not get
// its result.
func (t *Table) Matches(a Attempt, sameRequest func(classA, classB string) bool) bool {
	e := t.entries[a.Key]
	return e == nil || e.unused(a.ArrivedAt) ||
		e.bodyHash == a.BodyHash && sameRequest(e.class, a.Class)
}

// Register links an attempt to its key until Unregister. It returns the id of the
// attempt that it duplicates: the one that has run within the window, or else the owner of
// the key, if it has not ended. If there is neither, the attempt becomes the owner, and
// duplicateOf is "".
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

// TakeOwnership makes an attempt the owner of its key, unless the key has run within the
// window that the attempt arrived in, or the key's owner has not ended. It does not claim
// the key.
func (t *Table) TakeOwnership(e *Entry, a Attempt) {
	if !e.RanInWindow(a.ArrivedAt) && e.completed {
		e.owner, e.completed = a.ID, false
	}
}

// Claim makes an attempt the owner of its key and the one that runs, drops a result of an
// earlier run, and sets the key's window, which counts from the attempt's arrival. The
// caller has checked that the attempt did not arrive in the window of another one that has
// run (guard.MayStart).
func (t *Table) Claim(e *Entry, a Attempt, window time.Duration) {
	t.evictResult(e)
	e.owner, e.ranAttemptID, e.completed, e.remote = a.ID, a.ID, false, false
	e.expiresAt = a.ArrivedAt + window + WindowTolerance
}

// ReleaseClaim undoes the claim of an attempt that is proven never to have run. It does
// nothing if the attempt has no claim.
func (t *Table) ReleaseClaim(e *Entry, attemptID string) {
	if e.ranAttemptID == attemptID {
		e.ranAttemptID = ""
	}
}

// Unregister ends the link of an attempt to its key, of which nothing more is to come. If
// it owns the key, the ids of the duplicates that wait for it are returned.
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

// Apply replaces what is known of a key by the state that a peer or a journal has; its
// window ends at expiresAt. A state without RanAttemptID releases the claim. If the run has
// ended, the ids of the duplicates that waited are returned.
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

// StoreResult stores the result of a run that succeeded. If the table then exceeds its
// bound, the oldest results are evicted, this one last.
func (t *Table) StoreResult(e *Entry, result Payload) {
	e.result, e.resultBytes = &result, result.sizeBytes()
	t.bytes += e.resultBytes
	t.withResult = append(t.withResult, e)
	for t.maxBytes > 0 && t.bytes > t.maxBytes && len(t.withResult) > 0 {
		t.evictResult(t.withResult[0])
	}
}

// Expire removes the entries that no attempt refers to and whose window is over for all
// attempts: one that arrived within it may be read later, as long as its deadline allows.
// It does so at most once in expireInterval.
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

// lookupOrAdd returns a key's entry, a new one if there is none.
func (t *Table) lookupOrAdd(key string) *Entry {
	e := t.entries[key]
	if e == nil {
		e = &Entry{key: key, completed: true}
		t.entries[key] = e
		t.bytes += EntryOverheadBytes
	}
	return e
}

// evictResult drops an entry's result, if it has one.
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
