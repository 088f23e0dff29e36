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

// Answer is a final answer that a client read.
type Answer struct {
	Kind string // served, refused, failed or rejected, as standin.Outcome
	Body string
	At   time.Time
}

// Request is one try of a request as its client saw it.
type Request struct {
	Node     string
	ID       string // its field txn
	Conn     *ConnRecord
	Seq      int32
	Class    string
	Key      string // of a keyed class, the same for all tries
	Body     string
	Deadline time.Duration // of its class, from Door
	Door     time.Time     // its field door
	// The last write began and returned at these times. Zero: never written whole.
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
	Node string
	Kind EventKind
	At   time.Time
	Till time.Time // of a pause; zero else
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
	Restarted    EventKind = "restarted"    // it listens again
	Upgraded     EventKind = "upgraded"     // a new process is started beside, the old one is stopped
	SentAway     EventKind = "sent_away"    // drain-on was answered
	FetchedBack  EventKind = "fetched_back" // drain-off was answered
	ProcessorBad EventKind = "processor"
	LedgerBad    EventKind = "ledger"
	AnnounceBad  EventKind = "announce"
	Reloaded     EventKind = "reload"
	Crowded      EventKind = "crowd"
	Signalled    EventKind = "signals" // in a series
	SystemBad    EventKind = "system"
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

// recent gives the id of a request that came not long ago; "" before there is one.
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
