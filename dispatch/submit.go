package dispatch

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"quincerail.example/quincerail/decision"
)

// maxKeyBytes bounds the length of an idempotency key, because the key table counts a fixed
// size for each entry (idempotency.EntryOverheadBytes) and keys are sent to peers.
const maxKeyBytes = 256

// NewID returns a random id for a request whose caller has set none.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return hex.EncodeToString(b[:])
}

// Submit submits a request, whose Responder then gets exactly one answer unless its caller
// cancels it or disconnects. It returns ErrStopped, or an error that names the invalid field;
// then there is no answer. It blocks while the mailbox is full.
func (c *Core) Submit(r Request) error {
	current := c.currentSettings.Load()
	class, ok := current.classes.indexOf[r.Class]
	if !ok {
		return fmt.Errorf("class %.64q is not known", r.Class)
	}
	if err := r.checkKey(current.classes.items[class].Idempotency); err != nil {
		return err
	}
	tenant, ok := current.tenantIndex(r.Tenant)
	if !ok {
		return fmt.Errorf("tenant %.64q is not known", r.Tenant)
	}
	if r.ID == "" || !(r.ReservedKB > 0) {
		return fmt.Errorf("id %.64q, memory %v: both are needed", r.ID, r.ReservedKB)
	}
	return c.enqueue(requestReceived{r, class, tenant})
}

// checkKey returns an error if effect, which is that of the request's class, is Keyed and the
// request has no key or one that is too long.
func (r *Request) checkKey(effect decision.Idempotency) error {
	if effect != decision.Keyed {
		return nil
	}
	if r.Key == "" {
		return fmt.Errorf("class %q needs a key", r.Class)
	}
	if len(r.Key) > maxKeyBytes {
		return fmt.Errorf("a key of %d bytes, %d at most", len(r.Key), maxKeyBytes)
	}
	return nil
}

// requestReceived is a submitted request with the indexes of its class and tenant, which
// stay valid when the settings change.
type requestReceived struct {
	request     Request
	classIndex  int
	tenantIndex int
}

func (e requestReceived) apply(c *Core) {
	r := e.request
	// The settings may have changed since Submit. The current ones apply; a class that was
	// removed keeps its last settings.
	class := c.settings.Classes[e.classIndex]
	if class.Idempotency != decision.Keyed {
		r.Key = ""
	}
	if c.attempts[r.ID] != nil || r.checkKey(class.Idempotency) != nil {
		r.Responder.Respond(r.ID, Outcome{Kind: Rejected})
		return
	}
	a := c.newAttempt(r, e.classIndex, e.tenantIndex)
	c.attempts[a.ID] = a
	c.inFlight.Add(1)
	if o, final := c.outcomeAtArrival(a); final {
		c.respond(a, o)
		return
	}
	c.admit(a)
}

// newAttempt creates the attempt for a request, with its times on the clock's timeline.
func (c *Core) newAttempt(r Request, classIndex, tenantIndex int) *attempt {
	class := c.settings.Classes[classIndex]
	a := &attempt{
		Request: r, classIndex: classIndex, tenantIndex: tenantIndex, classSettings: class,
		arrivedAt:  min(c.clock.FromPeerTime(r.ArrivedAt), c.now), // the caller's clock may be ahead
		readBefore: c.now, backend: r.Backend,
	}
	a.readAfter = a.arrivedAt
	if !r.ReadAfter.IsZero() {
		a.readAfter = min(max(a.arrivedAt, c.clock.FromTime(r.ReadAfter)), c.now)
	}
	if !r.ReadBy.IsZero() {
		a.readBefore = min(c.clock.FromTime(r.ReadBy), c.now)
	}
	a.deadline = a.arrivedAt + class.Deadline
	if !r.Deadline.IsZero() {
		a.deadline = min(a.deadline, a.arrivedAt+r.Deadline.Sub(r.ArrivedAt))
	}
	if a.backend == nil {
		a.backend = c.options.Backend
	}
	return a
}

// outcomeAtArrival returns the answer to an attempt that is not passed to the module; final
// is false if the module decides about it.
func (c *Core) outcomeAtArrival(a *attempt) (o Outcome, final bool) {
	shed := Outcome{Kind: Shed, RetryAfter: c.settings.MaxRetryAfter}
	entry := c.keys.Lookup(a.Key)
	newKey := a.Key != "" && entry == nil
	switch {
	case c.now > a.deadline:
		// The module counts the time since the arrival as read lag, and a long lag as a sign
		// of an unhealthy server. One wrong arrival time must not have that effect.
		return Outcome{Kind: TimedOut}, true
	case c.module == nil && entry != nil && entry.RanInWindow(a.arrivedAt):
		return c.failureOutcome(a), true // the key has run in another process
	case c.module == nil: // the backend is not ready
		return shed, true
	case newKey && c.keys.Full(): // without an entry, a retry would run the request again
		return shed, true
	case newKey && c.now < c.replication.inDoubtUntil: // the key may have run: its record may be lost
		return c.failureOutcome(a), true
	case a.OverLimit && entry == nil:
		return shed, true
	case a.OverLimit && entry.Result() == nil: // the key may be running, or may have run
		return c.failureOutcome(a), true
	}
	return Outcome{}, false
}
