package downstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/protocol/ledger"
)

// The limits of the pool.
const (
	// maxExclusiveConns is the number of connections below which the pool opens a new one
	// rather than share one between calls in flight.
	maxExclusiveConns = 24

	// maxIdle is how long a connection without calls may idle and still get a call. The
	// dependency was seen to drop an idle connection after 108 ms.
	maxIdle = 50 * time.Millisecond

	// dialTimeout bounds the dial of a connection.
	dialTimeout = time.Second
)

// CallObserver receives the outcomes of calls; *dispatch.Core implements it.
type CallObserver interface {
	CallCompleted(id string, number int, outcome dispatch.CallOutcome, reply []byte)
}

// Pool makes calls to the shared dependency. It implements dispatch.Dependency. It reports
// every call that is not abandoned exactly once. It does not limit the calls in flight;
// QuotaLimiter does. Up to maxExclusiveConns calls in flight have a connection each, because
// a connection that breaks or stalls leaves unknown whether the calls on it ran.
type Pool struct {
	observer CallObserver
	connect  func(address string) (net.Conn, error)

	mu       sync.Mutex
	address  string
	conns    []*poolConn          // connections that may get calls, the most recently used last
	connByID map[string]*poolConn // connections of the calls in flight, by run ID
}

// poolCall is a call in flight.
type poolCall struct {
	number int    // distinguishes the calls of one run
	post   []byte // the encoded message
}

// NewPool returns a pool of connections to address. Attach must be called before the first
// call.
func NewPool(address string) *Pool {
	return &Pool{address: address, connByID: make(map[string]*poolConn), connect: connect}
}

// connect dials an address. dialTimeout bounds the dial.
func connect(address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(context.Background(), "tcp", address)
}

// Attach sets the observer of the calls' outcomes. It must be called before the first call.
func (p *Pool) Attach(observer CallObserver) { p.observer = observer }

// SetAddress changes the address for future calls. Calls in flight finish on their
// connections, which then close.
func (p *Pool) SetAddress(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if address == p.address {
		return
	}
	p.address = address
	for _, c := range slices.Clone(p.conns) {
		p.retireLocked(c)
	}
}

// Call implements dispatch.Dependency.
func (p *Pool) Call(id string, number int, wait time.Duration, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	post := ledger.AppendCall(nil, id, wait, body)
	c := p.chooseConnLocked(id)
	for c != nil && c.conn != nil && !c.conn.Send(post) { // it is closing
		p.retireLocked(c)
		c = p.chooseConnLocked(id)
	}
	if c == nil {
		c = &poolConn{calls: make(map[string]poolCall)}
		p.conns = append(p.conns, c)
		go p.open(c)
	}
	c.lastID = id
	c.calls[id] = poolCall{number, post}
	p.connByID[id] = c
}

// Abandon implements dispatch.Dependency. It retires the call's connection, because the
// connection may never deliver a reply again.
func (p *Pool) Abandon(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.connByID[id]
	if c == nil {
		return
	}
	delete(c.calls, id)
	delete(p.connByID, id)
	if c.conn != nil {
		c.conn.Send(ledger.AppendCancel(nil, id))
	}
	p.retireLocked(c)
}

// chooseConnLocked chooses a connection for a call of the run id: the one with the fewest calls
// in flight and, among equals, the most recently used one, which the dependency is least
// likely to have dropped. It excludes a connection whose last call was of the same run, so
// that a late or duplicate reply can't be mistaken for the reply to the new call. It returns
// nil if a new connection must be opened. p.mu is held.
func (p *Pool) chooseConnLocked(id string) *poolConn {
	p.closeIdleLocked()
	var leastLoaded *poolConn
	for _, c := range slices.Backward(p.conns) {
		if c.lastID != id && (leastLoaded == nil || len(c.calls) < len(leastLoaded.calls)) {
			leastLoaded = c
		}
	}
	if leastLoaded != nil && len(leastLoaded.calls) > 0 && len(p.conns) < maxExclusiveConns {
		return nil
	}
	return leastLoaded
}

// closeIdleLocked closes connections that have idled for longer than maxIdle. The dependency
// may have dropped them, and a call on one would be lost. p.mu is held.
func (p *Pool) closeIdleLocked() {
	p.conns = slices.DeleteFunc(p.conns, func(c *poolConn) bool {
		expired := len(c.calls) == 0 && time.Since(c.conn.LastActive()) > maxIdle
		if expired {
			c.conn.Close()
		}
		return expired
	})
}

// retireLocked excludes a connection from future calls and closes it after its last call in
// flight. p.mu is held.
func (p *Pool) retireLocked(c *poolConn) {
	c.retired = true
	p.conns = slices.DeleteFunc(p.conns, func(other *poolConn) bool { return other == c })
	c.closeIfDoneLocked()
}

// handleReply reports the outcome of a call. It ignores duplicate replies and replies to
// abandoned or unknown calls.
func (p *Pool) handleReply(c *poolConn, reply ledger.Reply) {
	p.mu.Lock()
	call, ok := c.calls[reply.ID]
	if ok {
		delete(c.calls, reply.ID)
		delete(p.connByID, reply.ID)
		c.closeIfDoneLocked()
		if i := slices.Index(p.conns, c); i >= 0 {
			p.conns = append(slices.Delete(p.conns, i, i+1), c)
		}
	}
	p.mu.Unlock()
	if ok {
		p.observer.CallCompleted(reply.ID, call.number, outcome(reply.Status), reply.Body)
	}
}

// connClosed retires a closed connection and reports o as the outcome of the calls on it.
func (p *Pool) connClosed(c *poolConn, o dispatch.CallOutcome) {
	p.mu.Lock()
	p.retireLocked(c)
	calls := c.calls
	c.calls = make(map[string]poolCall)
	for id := range calls {
		delete(p.connByID, id)
	}
	p.mu.Unlock()
	for id, call := range calls {
		p.observer.CallCompleted(id, call.number, o, nil)
	}
}

// outcome returns the outcome of a call whose reply has status s.
func outcome(s ledger.Status) dispatch.CallOutcome {
	switch s {
	case ledger.Succeeded:
		return decision.Succeeded
	case ledger.Rejected:
		return decision.Rejected
	case ledger.TimedOut:
		return decision.TimedOut
	case ledger.NotStarted:
		return decision.NotStarted
	}
	return decision.Failed
}
