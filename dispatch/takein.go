package dispatch

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"quincerail.example/quincerail/decision"
)

// maxKeyBytes bounds a key: the table counts on it, and peers are told of it.
const maxKeyBytes = 256

// NewID makes an id for a request that has none from its caller.
func NewID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Take in: a request comes from a front.

// Submit hands in a request. An error means that it was not taken, and that
// its sink hears nothing.
func (c *Core) Submit(r Request) error {
	tuned := c.currentSettings.Load()
	class, ok := tuned.classes.indexOf[r.Class]
	if !ok {
		return fmt.Errorf("class %q is not known", r.Class)
	}
	keyed := tuned.classes.items[class].Effect == decision.Keyed
	if keyed && r.Key == "" {
		return fmt.Errorf("class %q needs a key", r.Class)
	}
	if keyed && len(r.Key) > maxKeyBytes {
		return fmt.Errorf("a key of %d bytes, %d at most", len(r.Key), maxKeyBytes)
	}
	tenant, ok := tuned.tenant(r.Tenant)
	if !ok {
		return fmt.Errorf("tenant %q is not known", r.Tenant)
	}
	if r.ID == "" || !(r.ReservedKB > 0) {
		return fmt.Errorf("id %q, memory %v: both are needed", r.ID, r.ReservedKB)
	}
	return c.enqueue(func() { c.receive(r, class, tenant) })
}

func (c *Core) receive(r Request, class, tenant int) {
	if c.attempts[r.ID] != nil { // ids never return
		r.Responder.Respond(r.ID, Outcome{Kind: Rejected})
		return
	}
	// New settings may have come since it was handed in: it comes under those in force
	// now, and under its old ones where its class is there no more.
	kind := c.settings.Classes[class]
	if kind.Effect != decision.Keyed {
		r.Key = ""
	} else if r.Key == "" || len(r.Key) > maxKeyBytes {
		r.Responder.Respond(r.ID, Outcome{Kind: Rejected})
		return
	}
	a := &attempt{
		Request: r, classIndex: class, tenantIndex: tenant, classSettings: kind, arrivedAt: c.clock.Received(r.ArrivedAt), readBefore: c.now,
		backend: r.Backend,
	}
	// A caller's clock ahead of ours can't have made it come after now.
	a.arrivedAt = min(a.arrivedAt, c.now)
	if a.readAfter = a.arrivedAt; !r.ReadAfter.IsZero() { // by its parts it may have come after the grace of a drain
		a.readAfter = min(max(a.arrivedAt, c.clock.At(r.ReadAfter)), c.now)
	}
	if !r.ReadBy.IsZero() {
		a.readBefore = min(c.clock.At(r.ReadBy), c.now)
	}
	a.deadline = a.arrivedAt + a.classSettings.Deadline
	if !r.Deadline.IsZero() {
		a.deadline = min(a.deadline, a.arrivedAt+r.Deadline.Sub(r.ArrivedAt))
	}
	if a.backend == nil {
		a.backend = c.options.Backend
	}
	c.attempts[r.ID] = a
	c.inFlight.Add(1)
	// The module takes how long a request has waited for how late reads are, and a
	// server whose reads are late for sick. A door that makes no sense must not.
	if c.now > a.deadline {
		c.respond(a, Outcome{Kind: TimedOut})
		return
	}
	e := c.keys.Lookup(a.Key)
	switch {
	case c.module == nil && e != nil && e.RanInWindow(a.arrivedAt): // another process told of its run
		c.respond(a, c.failure(a))
		return
	case c.module == nil, // nothing can run yet, or ever
		a.Key != "" && e == nil && c.keys.Full(): // it could run, but not be kept from running again
		c.respond(a, Outcome{Kind: Shed, RetryAfter: c.settings.MaxRetryAfter})
		return
	}
	if a.Key != "" && e == nil && c.now < c.inDoubtUntil {
		c.respond(a, c.failure(a)) // a lost record may have told of its run
		return
	}
	c.admit(a)
}
