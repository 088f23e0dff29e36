package faultsoak

import (
	"sync"
	"time"
)

// EndKind says who ended a connection.
type EndKind int

// The kinds.
const (
	StillOpen   EndKind = iota
	EndedByNode         // the client read the end of the stream
	ResetByNode         // a read or write failed
	EndedByClient
)

// String names a kind.
func (k EndKind) String() string {
	return [...]string{"open", "ended by the node", "reset by the node", "ended by the client"}[k]
}

// The kinds of answers that the oracle distinguishes. kindServed is that of fakes.Outcome.
const (
	kindServed  = "served"
	kindUnasked = "unasked" // to no open request: it was answered before, or never sent
)

// Answer is a final answer that a client read.
type Answer struct {
	Kind string // that of fakes.Outcome, or kindUnasked
	Body string
	At   time.Time
}

// Request is one attempt of a request as its client saw it.
type Request struct {
	Node     string
	ID       string // its field txn
	Conn     *ConnRecord
	Seq      int32
	Class    string
	Key      string // of a keyed class, the same for all attempts
	Body     string
	Deadline time.Duration // of its class, from Door
	Door     time.Time     // its field door: when it reached the machine
	// LastWriteBegan and Written are when the last write of the request began and
	// returned. They are zero if it was not written whole.
	LastWriteBegan, Written time.Time
	GivenUp                 bool // the client sent interrupt
	Answers                 []Answer
}

// ConnRecord is what became of one connection.
type ConnRecord struct {
	Node      string
	Opened    time.Time
	LeavingAt time.Time // when the message leaving was read; zero for never
	EndedAt   time.Time
	End       EndKind
	Err       error
}

// Event is a fault or a lifecycle step that was played on a node.
type Event struct {
	Node  string
	Kind  EventKind
	At    time.Time
	Until time.Time // when a pause ended; zero for other events
}

// EventKind names an event.
type EventKind string

// The events that the oracle takes into account. Others are only printed.
const (
	Paused       EventKind = "paused"       // SIGSTOP until SIGCONT
	Terminated   EventKind = "terminated"   // SIGTERM
	Killed       EventKind = "killed"       // SIGKILL that follows SIGTERM
	Crashed      EventKind = "crashed"      // SIGKILL without notice
	Exited       EventKind = "exited"       // the process ended by itself
	Restarted    EventKind = "restarted"    // a new process was started after the former one ended
	Upgraded     EventKind = "upgraded"     // a new process is started beside, the old one is stopped
	SentAway     EventKind = "sent_away"    // drain-on was answered: operators disabled traffic
	FetchedBack  EventKind = "fetched_back" // drain-off was answered: operators enabled it again
	ProcessorBad EventKind = "processor"    // a fault of the relay to the processor
	LedgerBad    EventKind = "ledger"       // a fault of the relay to the ledger
	AnnounceBad  EventKind = "announce"     // a fault of the relay to the announce service
	Reloaded     EventKind = "reload"       // SIGHUP
	Crowded      EventKind = "crowd"        // many connections at a time
	Signalled    EventKind = "signals"      // a series of signals
	SystemBad    EventKind = "system"       // failing system calls, or a step of Unix time
)

// History is all that clients saw and all that was played. It is safe for concurrent
// use.
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

// recent returns the id of the request that was sent back requests before the last; "" if
// there are not as many.
func (h *History) recent(back int) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.requests) <= back {
		return ""
	}
	return h.requests[len(h.requests)-1-back].ID
}

// update changes a record under the history's lock.
func (h *History) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}
