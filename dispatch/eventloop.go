package dispatch

import (
	"context"
	"errors"
)

// defaultMailboxCapacity is the maximum number of queued events. While the mailbox is full, a
// sender blocks, and so does the connection that the sender serves.
const defaultMailboxCapacity = 1024

// maxBatchEvents bounds the events of one batch, so that senders that fill the mailbox again at
// once do not delay the module's decision.
const maxBatchEvents = 1024

// ErrStopped is returned by the methods of a core after Run has returned.
var ErrStopped = errors.New("stopped")

// event is an input of the core. It is applied on the goroutine of [Core.Run].
type event interface {
	apply(c *Core)
}

// eventLoop holds the events that Run has not applied yet.
//
// The goroutine of Run must never wait for itself, so it must not call enqueue or notify. What
// the core itself has started (a run, a call, a record, a timer, a reading) may end on any
// goroutine, also on that of Run; its end is reported by report, which never blocks.
type eventLoop struct {
	mailbox chan event    // from callers and peers
	reports *reportQueue  // of what the core has started
	done    chan struct{} // closed when Run returns
	// deferred events follow from the module's own actions. They are applied right after
	// its decision, because an action must not call the module back.
	deferred []event
}

func newEventLoop(mailboxCapacity int) eventLoop {
	switch {
	case mailboxCapacity == 0:
		mailboxCapacity = defaultMailboxCapacity
	case mailboxCapacity < 0:
		mailboxCapacity = 0
	}
	return eventLoop{
		mailbox: make(chan event, mailboxCapacity),
		reports: newReportQueue(),
		done:    make(chan struct{}),
	}
}

// Run applies events until ctx is done. The events that are queued form one batch, after which
// the module decides.
func (c *Core) Run(ctx context.Context) {
	defer close(c.loop.done)
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.loop.mailbox:
			c.advanceClock()
			c.applyAfterReports(e)
		case <-c.loop.reports.queued:
			c.advanceClock()
		}
		c.applyQueued()
		c.decide()
	}
}

// Done returns a channel that is closed when Run returns.
func (c *Core) Done() <-chan struct{} { return c.loop.done }

// applyQueued applies the reports and the events that are queued, without waiting for more.
func (c *Core) applyQueued() {
	c.applyReports()
	for range maxBatchEvents {
		select {
		case e := <-c.loop.mailbox:
			c.applyAfterReports(e)
		default:
			return
		}
	}
}

// applyAfterReports applies an event from the mailbox after all reports that its sender may
// have queued before it.
func (c *Core) applyAfterReports(e event) {
	c.applyReports()
	e.apply(c)
}

func (c *Core) applyReports() {
	for _, e := range c.loop.reports.take() {
		e.apply(c)
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

// enqueue puts an event into the mailbox, and blocks while that is full. It must not be called
// on the goroutine of Run.
func (c *Core) enqueue(e event) error {
	select {
	case <-c.loop.done: // checked first: the mailbox may have room, but its events are no longer applied
		return ErrStopped
	default:
	}
	select {
	case c.loop.mailbox <- e:
		return nil
	case <-c.loop.done:
		return ErrStopped
	}
}

// notify is enqueue for senders that need not know whether the core has stopped.
func (c *Core) notify(e event) {
	_ = c.enqueue(e)
}

// report queues an event about something that the core has started. It never blocks, and may be
// called on any goroutine, also on that of Run.
func (c *Core) report(e event) { c.loop.reports.add(e) }
