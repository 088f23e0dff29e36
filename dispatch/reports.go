package dispatch

import "sync"

// maxQueuedReports is the number of queued reports above which AwaitReports blocks.
const maxQueuedReports = 1024

// reportQueue holds the reports that Run has not applied yet. Adding to it never blocks. What
// the core has started bounds its length, except for a backend that reports more than it was
// asked for: see AwaitReports.
type reportQueue struct {
	queued chan struct{} // holds an element if the queue is not empty

	mu     sync.Mutex
	events []event
	taken  chan struct{} // closed when the queue is next taken
}

func newReportQueue() *reportQueue {
	return &reportQueue{queued: make(chan struct{}, 1), taken: make(chan struct{})}
}

// add appends a report.
func (q *reportQueue) add(e event) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.events = append(q.events, e)
	select {
	case q.queued <- struct{}{}:
	default: // Run has not received the element for earlier reports
	}
}

// take removes and returns all reports.
func (q *reportQueue) take() []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	if len(events) >= maxQueuedReports {
		close(q.taken)
		q.taken = make(chan struct{})
	}
	q.events = nil
	return events
}

// room returns nil if fewer than maxQueuedReports reports are queued, else a channel that is
// closed when they are taken.
func (q *reportQueue) room() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.events) < maxQueuedReports {
		return nil
	}
	return q.taken
}

// AwaitReports blocks while maxQueuedReports reports are queued. A goroutine that reads reports
// from a connection calls it between two of them, so that a peer that sends more than it was
// asked for is not read any further. It must not be called on the goroutine of Run.
func (c *Core) AwaitReports() {
	for {
		room := c.loop.reports.room()
		if room == nil {
			return
		}
		select {
		case <-room:
		case <-c.loop.done:
			return
		}
	}
}
