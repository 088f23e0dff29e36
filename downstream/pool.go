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
	// maxExclusiveConns is up to how many connections a call gets one to itself; with more
	// calls in flight they are shared.
	maxExclusiveConns = 24

	// maxIdle is how long an unused connection may still get a call: the dependency was
	// seen to forget a connection after 108 ms.
	maxIdle = 50 * time.Millisecond

	// dialTimeout bounds how long opening a connection may take.
	dialTimeout = time.Second
)

// CallObserver is told how calls ended; *dispatch.Core is one.
type CallObserver interface {
	CallCompleted(id string, number int, end dispatch.CallOutcome, reply []byte)
}

// Pool makes calls to the shared dependency. It implements dispatch.Dependency, and reports
// every call that was not abandoned exactly once. It does not bound the calls in flight;
// QuotaLimiter does. Up to maxExclusiveConns calls in flight have a connection each: of the
// calls on a connection that breaks or falls silent, nobody knows whether they ran.
type Pool struct {
	core    CallObserver
	connect func(address string) (net.Conn, error)

	mu      sync.Mutex
	address string
	conns   []*poolConn          // that may get calls; the last used last
	connOf  map[string]*poolConn // by the id of a call in flight
}

// poolCall is a call in flight.
type poolCall struct {
	number int    // tells the calls of one run apart
	post   []byte // as it is sent
}

// NewPool makes a pool of connections to an address. Attach must be called before the first
// call.
func NewPool(address string) *Pool {
	return &Pool{address: address, connOf: make(map[string]*poolConn), connect: connect}
}

// connect opens a connection to an address.
func connect(address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(context.Background(), "tcp", address)
}

// Attach sets who is told how calls end. It must be called before the first call.
func (p *Pool) Attach(core CallObserver) { p.core = core }

// SetAddress changes the address for future calls. Those in flight are waited for on their
// connections.
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
	c := p.pickLocked(id)
	for c != nil && c.conn != nil && !c.conn.Send(post) { // it has just ended
		p.retireLocked(c)
		c = p.pickLocked(id)
	}
	if c == nil {
		c = &poolConn{calls: make(map[string]poolCall)}
		p.conns = append(p.conns, c)
		go p.open(c)
	}
	c.lastID = id
	c.calls[id] = poolCall{number, post}
	p.connOf[id] = c
}

// Abandon implements dispatch.Dependency. A connection on which a call was abandoned may
// have fallen silent for good, so it is retired.
func (p *Pool) Abandon(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.connOf[id]
	if c == nil {
		return
	}
	delete(c.calls, id)
	delete(p.connOf, id)
	if c.conn != nil {
		c.conn.Send(ledger.AppendCancel(nil, id))
	}
	p.retireLocked(c)
}

// pickLocked chooses a connection for a call: the one with the fewest calls in flight, and
// of several the one used last, which the dependency is least likely to have forgotten. It
// returns nil if a new one is to be opened. It excludes the one that the run's last call
// went over, so that a late or duplicate reply can't be taken for the reply to this call.
// The lock is held.
func (p *Pool) pickLocked(id string) *poolConn {
	p.closeIdleLocked()
	var least *poolConn
	for _, c := range slices.Backward(p.conns) {
		if c.lastID != id && (least == nil || len(c.calls) < len(least.calls)) {
			least = c
		}
	}
	if least != nil && len(least.calls) > 0 && len(p.conns) < maxExclusiveConns {
		return nil
	}
	return least
}

// closeIdleLocked closes the connections that have idled for so long that the dependency
// may have forgotten them: a call would be lost. The lock is held.
func (p *Pool) closeIdleLocked() {
	p.conns = slices.DeleteFunc(p.conns, func(c *poolConn) bool {
		stale := len(c.calls) == 0 && time.Since(c.conn.LastActive()) > maxIdle
		if stale {
			c.conn.Close()
		}
		return stale
	})
}

// retireLocked excludes a connection from future calls, and closes it after its last one.
// The lock is held.
func (p *Pool) retireLocked(c *poolConn) {
	c.retired = true
	p.conns = slices.DeleteFunc(p.conns, func(o *poolConn) bool { return o == c })
	c.closeIfUnusedLocked()
}

// receive handles a reply. One to a call that was abandoned, a duplicate, or one to an
// unknown call is ignored.
func (p *Pool) receive(c *poolConn, reply ledger.Reply) {
	p.mu.Lock()
	call, ok := c.calls[reply.ID]
	if ok {
		delete(c.calls, reply.ID)
		delete(p.connOf, reply.ID)
		c.closeIfUnusedLocked()
		if i := slices.Index(p.conns, c); i >= 0 {
			p.conns = append(slices.Delete(p.conns, i, i+1), c)
		}
	}
	p.mu.Unlock()
	if ok {
		p.core.CallCompleted(reply.ID, call.number, outcome(reply.Status), reply.Body)
	}
}

// connEnded reports the calls on a connection that has ended.
func (p *Pool) connEnded(c *poolConn, end dispatch.CallOutcome) {
	p.mu.Lock()
	p.retireLocked(c)
	calls := c.calls
	c.calls = make(map[string]poolCall)
	for id := range calls {
		delete(p.connOf, id)
	}
	p.mu.Unlock()
	for id, call := range calls {
		p.core.CallCompleted(id, call.number, end, nil)
	}
}

// outcome translates the status of a reply.
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
