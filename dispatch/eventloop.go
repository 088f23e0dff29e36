package dispatch

import (
	"context"
	"errors"
)

// mailboxCapacity is how many events may wait. Whoever leaves more is blocked, and with it
// the connection that the event came from.
const mailboxCapacity = 1024

// ErrStopped is returned for what comes after the core has ended.
var ErrStopped = errors.New("stopped")

// event is something that has happened. Run's goroutine applies it to the core.
type event interface {
	apply(c *Core)
}

// eventLoop is what Run takes events from.
type eventLoop struct {
	events chan event
	done   chan struct{} // closed when Run ends
	// deferred events are brought about by the module's own actions. They are applied
	// right after its decision, as it must not be called in the middle of one.
	deferred []event
}

func newEventLoop() eventLoop {
	return eventLoop{events: make(chan event, mailboxCapacity), done: make(chan struct{})}
}

// Run applies events until ctx ends. All that are ready form one batch, after which the
// module decides once.
func (c *Core) Run(ctx context.Context) {
	defer close(c.loop.done)
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.loop.events:
			c.advanceClock()
			e.apply(c)
		}
		c.applyReady()
		c.decide()
	}
}

// Done is closed when Run has ended.
func (c *Core) Done() <-chan struct{} { return c.loop.done }

// applyReady applies the events that are there already.
func (c *Core) applyReady() {
	for {
		select {
		case e := <-c.loop.events:
			e.apply(c)
		default:
			return
		}
	}
}

// decide lets the module decide on the batch, and again on the events that its own
// actions bring about.
func (c *Core) decide() {
	for c.module != nil {
		c.module.Decide(c.now)
		if len(c.loop.deferred) == 0 {
			break
		}
		c.applyDeferred()
	}
	c.keys.Expire(c.now)
	c.notifyIdle()
}

func (c *Core) applyDeferred() {
	events := c.loop.deferred
	c.loop.deferred = nil
	for _, e := range events {
		e.apply(c)
	}
}

// deferEvent has an event applied after the module's present decision, or its next one.
func (c *Core) deferEvent(e event) {
	c.loop.deferred = append(c.loop.deferred, e)
}

// enqueue leaves an event for Run, and waits while the mailbox is full.
func (c *Core) enqueue(e event) error {
	select {
	case <-c.loop.done: // even if there is room: nobody would take it
		return ErrStopped
	default:
	}
	select {
	case c.loop.events <- e:
		return nil
	case <-c.loop.done:
		return ErrStopped
	}
}

// notify leaves an event whose sender need not know if the core has ended.
func (c *Core) notify(e event) {
	_ = c.enqueue(e)
}
