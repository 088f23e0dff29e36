package dispatch

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"quincerail.example/quincerail/decision"
)

// maxKeyBytes bounds an idempotency key: the key table counts on it, and peers get it.
const maxKeyBytes = 256

// NewID makes an id for a request that has none from its caller.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it never fails: see crypto/rand
	return hex.EncodeToString(b[:])
}

// Submit hands in a request. It returns an error if the class or tenant is unknown, a needed
// key is missing or too long, or there is no id or memory; or ErrStopped. After an error its
// Responder hears nothing. It waits while the mailbox is full.
func (c *Core) Submit(r Request) error {
	current := c.currentSettings.Load()
	class, ok := current.classes.indexOf[r.Class]
	if !ok {
		return fmt.Errorf("class %q is not known", r.Class)
	}
	if err := r.checkKey(current.classes.items[class].Idempotency); err != nil {
		return err
	}
	tenant, ok := current.tenantIndex(r.Tenant)
	if !ok {
		return fmt.Errorf("tenant %q is not known", r.Tenant)
	}
	if r.ID == "" || !(r.ReservedKB > 0) {
		return fmt.Errorf("id %q, memory %v: both are needed", r.ID, r.ReservedKB)
	}
	return c.enqueue(requestReceived{r, class, tenant})
}

// checkKey returns an error if a request of a class with that effect needs a key and has
// none, or one that is too long.
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

// requestReceived is a request with the indexes of its class and tenant. These keep
// their meaning when the settings change.
type requestReceived struct {
	request     Request
	classIndex  int
	tenantIndex int
}

func (e requestReceived) apply(c *Core) {
	r := e.request
	// The settings may have changed since Submit: those in force now count, and the
	// former ones of its class where that has been removed.
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

// newAttempt makes the attempt of a request, with its times on the clock's timeline.
func (c *Core) newAttempt(r Request, classIndex, tenantIndex int) *attempt {
	class := c.settings.Classes[classIndex]
	a := &attempt{
		Request: r, classIndex: classIndex, tenantIndex: tenantIndex, classSettings: class,
		arrivedAt:  min(c.clock.Received(r.ArrivedAt), c.now), // the caller's clock may be ahead
		readBefore: c.now, backend: r.Backend,
	}
	a.readAfter = a.arrivedAt
	if !r.ReadAfter.IsZero() {
		a.readAfter = min(max(a.arrivedAt, c.clock.At(r.ReadAfter)), c.now)
	}
	if !r.ReadBy.IsZero() {
		a.readBefore = min(c.clock.At(r.ReadBy), c.now)
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

// outcomeAtArrival returns the answer of a request that the module does not hear of.
func (c *Core) outcomeAtArrival(a *attempt) (o Outcome, final bool) {
	shed := Outcome{Kind: Shed, RetryAfter: c.settings.MaxRetryAfter}
	entry := c.keys.Lookup(a.Key)
	newKey := a.Key != "" && entry == nil
	switch {
	case c.now > a.deadline:
		// The module would count the time since the arrival as read lag, and the server as
		// unhealthy if it is long: one wrong arrival time must not have that effect.
		return Outcome{Kind: TimedOut}, true
	case c.module == nil && entry != nil && entry.RanInWindow(a.arrivedAt):
		return c.failure(a), true // it ran in another process
	case c.module == nil: // nothing can run yet
		return shed, true
	case newKey && c.keys.Full(): // no entry would keep it from running again
		return shed, true
	case newKey && c.now < c.replication.inDoubtUntil: // it may have run, by a record that is lost
		return c.failure(a), true
	}
	return Outcome{}, false
}
