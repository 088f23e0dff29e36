package dispatch

import (
	"context"
	"errors"
)

// mailboxCapacity is the maximum number of queued events. While the mailbox is full, a sender
// blocks, and so does the connection that the sender serves.
const mailboxCapacity = 1024

// ErrStopped is returned by the methods of a core after Run has returned.
var ErrStopped = errors.New("stopped")

// event is an input of the core. It is applied on the goroutine of [Core.Run].
type event interface {
	apply(c *Core)
}

// eventLoop holds the events that Run has not applied yet.
type eventLoop struct {
	events chan event
	done   chan struct{} // closed when Run returns
	// deferred events follow from the module's own actions. They are applied right after
	// its decision, because an action must not call the module back.
	deferred []event
}

func newEventLoop() eventLoop {
	return eventLoop{events: make(chan event, mailboxCapacity), done: make(chan struct{})}
}

// Run applies events until ctx is done. All events that are queued form one batch, after
// which the module decides.
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
		c.applyQueued()
		c.decide()
	}
}

// Done returns a channel that is closed when Run returns.
func (c *Core) Done() <-chan struct{} { return c.loop.done }

// applyQueued applies the events that are in the mailbox, without waiting for more.
func (c *Core) applyQueued() {
	for {
		select {
		case e := <-c.loop.events:
			e.apply(c)
		default:
			return
		}
	}
}

// decide lets the module decide after a batch, and again after each round of deferred
// events, until there are none.
func (c *Core) decide() {
	for c.module != nil {
		c.module.Decide(c.now)
		if len(c.loop.deferred) == 0 {
			break
		}
		c.applyDeferred()
	}
	c.keys.Expire(c.now)
	c.closeIdle()
}

func (c *Core) applyDeferred() {
	events := c.loop.deferred
	c.loop.deferred = nil
	for _, e := range events {
		e.apply(c)
	}
}

// deferEvent schedules an event to be applied right after the module's current or next
// decision.
func (c *Core) deferEvent(e event) {
	c.loop.deferred = append(c.loop.deferred, e)
}

// enqueue puts an event into the mailbox, and blocks while that is full.
func (c *Core) enqueue(e event) error {
	select {
	case <-c.loop.done: // checked first: the mailbox may have room, but its events are no longer applied
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

// notify is enqueue for senders that need not know whether the core has stopped.
func (c *Core) notify(e event) {
	_ = c.enqueue(e)
}
