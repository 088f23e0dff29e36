package faultsoak

import (
	"sync"
	"time"
)

// EndKind states whether a connection was closed, by which side, and how.
type EndKind int

// The ways in which a connection ends.
const (
	StillOpen    EndKind = iota
	ClosedByNode         // the client read EOF
	ResetByNode          // a read or write failed
	ClosedByClient
)

func (k EndKind) String() string {
	return [...]string{"open", "closed by the node", "reset by the node", "closed by the client"}[k]
}

// Kinds of answers that the oracle treats separately. kindServed is a kind of fakes.Outcome.
const (
	kindServed     = "served"
	kindUnexpected = "unasked" // an answer to a request that was answered before or never sent
)

// Answer is a final answer that a client received.
type Answer struct {
	Kind string // kind of fakes.Outcome, or kindUnexpected
	Body string
	At   time.Time
}

// Request is the client's record of one attempt of a request.
type Request struct {
	Node     string
	ID       string // field txn
	Conn     *ConnRecord
	Seq      int32
	Class    string
	Key      string // idempotency key; "" if the class is not keyed
	Body     string
	Deadline time.Duration // counts from Arrival
	Arrival  time.Time     // field door: when the request reached the machine
	// LastWriteBegan and Written are the times at which the last write of the request
	// began and returned. They are zero if the request was not written completely.
	LastWriteBegan, Written time.Time
	Cancelled               bool // the client sent the message interrupt
	Answers                 []Answer
}

// ConnRecord records the lifetime of one connection.
type ConnRecord struct {
	Node      string
	Opened    time.Time
	LeavingAt time.Time // when the client received the message leaving; zero if it did not
	ClosedAt  time.Time
	End       EndKind
	Err       error
}

// Event is an injected fault or a lifecycle step of a node.
type Event struct {
	Node  string
	Kind  EventKind
	At    time.Time
	Until time.Time // when a pause ended; zero for other events
}

// EventKind names a kind of injected fault or lifecycle step. Reports contain the name.
type EventKind string

// The kinds of events. The oracle evaluates Paused, Terminated, Crashed and Restarted; the
// others are only printed.
const (
	Paused          EventKind = "paused"       // from SIGSTOP to SIGCONT
	Terminated      EventKind = "terminated"   // SIGTERM
	Killed          EventKind = "killed"       // SIGKILL after SIGTERM
	Crashed         EventKind = "crashed"      // SIGKILL without SIGTERM
	Exited          EventKind = "exited"       // the process exited after SIGTERM, before SIGKILL
	Restarted       EventKind = "restarted"    // a new process was started after the previous one had exited
	Upgraded        EventKind = "upgraded"     // a new process takes over from a running one, which is then stopped
	TrafficDisabled EventKind = "sent_away"    // operators disabled traffic with the command drain-on
	TrafficEnabled  EventKind = "fetched_back" // operators enabled traffic with the command drain-off
	ProcessorFault  EventKind = "processor"    // a fault of the relay to the processor
	DependencyFault EventKind = "ledger"       // a fault of the relay to the shared dependency
	DiscoveryFault  EventKind = "announce"     // a fault of the relay to the discovery service
	Reloaded        EventKind = "reload"       // SIGHUP
	ConnectionCrowd EventKind = "crowd"        // many connections were opened at a time
	SignalSeries    EventKind = "signals"      // further signals around a SIGTERM
	SystemFault     EventKind = "system"       // a new fault plan: failing system calls, or a step of the wall clock
)

// History records requests, connections and events. It is safe for concurrent use.
type History struct {
	mu       sync.Mutex
	requests []*Request
	conns    []*ConnRecord
	events   []Event
}

func (h *History) addRequest(r *Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
}

func (h *History) addConn(c *ConnRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns = append(h.conns, c)
}

// Add records an event.
func (h *History) Add(e Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
}

// recentID returns the ID of the recorded request that is followed by exactly back others, or
// "" if there is none. With back 0 this is the last one.
func (h *History) recentID(back int) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.requests) <= back {
		return ""
	}
	return h.requests[len(h.requests)-1-back].ID
}

// update calls change, which may read or write records, while holding the history's lock.
func (h *History) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}
