package dispatch

import "time"

// Bounds of the table of keys. An entry without a result only says that the
// key has run: it is what keeps it from running again, so it is never dropped
// early. Results are, the oldest first, and their repeats then fail.
const (
	windowSlack = 100 * time.Millisecond // over a window's end, for clocks' and rounding's sake
	entryBytes  = 512                    // taken for an entry beside its result
	expireEvery = 250 * time.Millisecond
)

// entry is what the table keeps of a key.
type entry struct {
	key    string
	class  string // of the request's first try
	body   uint64 // hash of what all tries of the request bring
	holder string // id of the try that is held or runs
	ran    string // id of the try that was run
	till   time.Duration
	over   bool     // what holds the key has ended
	remote bool     // it runs in a peer
	result *Payload // of the run, if it went well
	size   int
	joined []*attempt // repeats that wait for it to end
	live   int        // tries of the key that are not over
}

// ranFor tells whether a run stands in the way of a try that came at a time.
func (e *entry) ranFor(door time.Duration) bool { return e.ran != "" && door < e.till }

// keyTable links the tries of keyed requests, from all fronts alike.
type keyTable struct {
	entries map[string]*entry
	stored  []*entry // with a result, in order of storing
	bytes   int
	most    int // 0 for no bound
	swept   time.Duration
	late    time.Duration // how long after its arrival a try may still be taken in
}

func newKeyTable(most int) *keyTable {
	return &keyTable{entries: make(map[string]*entry), most: most}
}

// full tells whether there is no room for a further key, even without results.
func (t *keyTable) full() bool { return t.most > 0 && len(t.entries)*entryBytes > t.most }

// matches tells whether a try may go by its key: all tries of one
// request bring the same.
func (t *keyTable) matches(a *attempt, kin func(a, b string) bool) bool {
	e := t.entries[a.Key]
	return e == nil || e.unused(a.arrivedAt) || e.body == a.bodyHash && kin(e.class, a.Class)
}

// unused tells whether a try that came at a time may make the key its own.
func (e *entry) unused(door time.Duration) bool { return e.live == 0 && !e.ranFor(door) }

// enter links a new try to its key and names the try that it repeats: one that
// has run within the window, or one that is still held.
func (t *keyTable) enter(a *attempt) (earlier string) {
	e := t.entry(a.Key)
	if e.unused(a.arrivedAt) {
		e.class = a.Class
	}
	e.body = a.bodyHash
	a.entry = e
	e.live++
	if e.ranFor(a.arrivedAt) {
		return e.ran
	}
	if !e.over {
		return e.holder
	}
	e.holder, e.over = a.ID, false
	return ""
}

// entry gives a key's entry, a new one where there is none.
func (t *keyTable) entry(key string) *entry {
	e := t.entries[key]
	if e == nil {
		e = &entry{key: key, over: true}
		t.entries[key] = e
		t.bytes += entryBytes
	}
	return e
}

// state is what a peer is told of an entry.
func (c *Core) state(e *entry) KeyState {
	return KeyState{Key: e.key, Class: e.class, BodyHash: e.body, RanAttemptID: e.ran, ExpiresAt: c.clock.Unix(e.till), Completed: e.over, Result: e.result}
}

// learn takes over what a peer tells of a key, whose window ends at a time. It gives
// the repeats that waited for a run which has ended.
func (t *keyTable) learn(k KeyState, till time.Duration) (e *entry, joined []*attempt) {
	e = t.entry(k.Key)
	t.drop(e)
	e.class, e.body, e.holder, e.ran, e.till = k.Class, k.BodyHash, k.RanAttemptID, k.RanAttemptID, till
	e.over = k.Completed || k.RanAttemptID == ""
	e.remote = !e.over
	if k.Result != nil {
		t.store(e, *k.Result)
	}
	if e.over {
		joined, e.joined = e.joined, nil
	}
	if e.live == 0 && e.ran == "" {
		t.remove(e)
	}
	return e, joined
}

// keep makes a try the one that holds its key, where none that ran does.
func (t *keyTable) keep(a *attempt) {
	if e := a.entry; !e.ranFor(a.arrivedAt) && e.over {
		e.holder, e.over = a.ID, false
	}
}

// claim makes a try the one that runs. Package guard has allowed it: no other has run
// in whose window it came.
func (t *keyTable) claim(a *attempt, window time.Duration) {
	e := a.entry
	t.drop(e)
	e.holder, e.ran, e.over, e.remote = a.ID, a.ID, false, false
	e.till = a.arrivedAt + window + windowSlack
}

// unclaim takes back the claim of a try that is proven never to have run.
func (t *keyTable) unclaim(a *attempt) {
	if e := a.entry; e.ran == a.ID {
		e.ran = ""
	}
}

// leave tells that a try is over. It gives the repeats that waited for it.
func (t *keyTable) leave(a *attempt) (joined []*attempt) {
	e := a.entry
	e.live--
	if e.holder == a.ID && !e.over {
		e.over = true
		joined, e.joined = e.joined, nil
	}
	if e.live == 0 && e.ran == "" {
		t.remove(e)
	}
	return joined
}

// store keeps a result, within the bound on all.
func (t *keyTable) store(e *entry, result Payload) {
	e.result, e.size = &result, result.size()
	t.bytes += e.size
	t.stored = append(t.stored, e)
	for t.most > 0 && t.bytes > t.most && len(t.stored) > 0 {
		t.drop(t.stored[0])
	}
}

// drop lets go of an entry's result.
func (t *keyTable) drop(e *entry) {
	if e.result == nil {
		return
	}
	e.result = nil
	t.bytes -= e.size
	for i, s := range t.stored {
		if s == e {
			t.stored = append(t.stored[:i], t.stored[i+1:]...)
			break
		}
	}
}

func (t *keyTable) remove(e *entry) {
	t.drop(e)
	delete(t.entries, e.key)
	t.bytes -= entryBytes
}

// expire lets go of entries that no try holds and whose window is over for all
// tries: one that arrived within it may be read later, as long as its time lasts.
func (t *keyTable) expire(now time.Duration) {
	if now < t.swept+expireEvery {
		return
	}
	t.swept = now
	for _, e := range t.entries {
		if e.live == 0 && now >= e.till+t.late {
			t.remove(e)
		}
	}
}
