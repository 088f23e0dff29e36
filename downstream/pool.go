// Package downstream makes the calls that runs ask for: over connections to the shared
// ledger, and within what the whole fleet may have in hand there.
package downstream

import (
	"bufio"
	"net"
	"slices"
	"sync"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/protocol/ledger"
	"quincerail.example/quincerail/transport"
)

const (
	ledgerConns  = 24                    // that a call has to itself; with more in hand they are shared
	ledgerIdle   = 50 * time.Millisecond // the ledger was seen to forget a connection after 108 ms
	ledgerDialIn = time.Second
)

// Pool makes the calls. Each has a connection to itself while there are
// not too many, because one that breaks or falls silent takes all calls on it
// along, and nobody knows what became of them.
type Pool struct {
	core    CallObserver
	connect func(address string) (net.Conn, error)

	mu      sync.Mutex
	address string
	conns   []*ledgerConn          // that calls may go over, the last used last
	where   map[string]*ledgerConn // of the call that is out
}

// ledgerConn is one connection, which may still be dialled.
type ledgerConn struct {
	conn  *transport.Conn // nil until it is open
	calls map[string]*ledgerCall
	last  string // whose call it had last: a second copy of its reply may still come
	spent bool   // it ends with its last call
}

type ledgerCall struct {
	number int
	post   []byte
}

// NewPool makes one that calls a ledger at an address; Attach has to follow.
func NewPool(address string) *Pool {
	return &Pool{
		address: address, where: make(map[string]*ledgerConn),
		connect: func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, ledgerDialIn) },
	}
}

// Attach sets who hears how calls end; it goes before the first.
func (l *Pool) Attach(core CallObserver) { l.core = core }

// Call implements dispatch.Dependency.
func (l *Pool) Call(id string, number int, wait time.Duration, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	post := ledger.AppendPost(nil, id, wait, body)
	k := l.pick(id)
	for k != nil && k.conn != nil && !k.conn.Send(post) { // it has just ended
		l.spend(k)
		k = l.pick(id)
	}
	if k == nil {
		k = &ledgerConn{calls: make(map[string]*ledgerCall)}
		l.conns = append(l.conns, k)
		go l.open(k)
	}
	k.last = id
	k.calls[id] = &ledgerCall{number, post}
	l.where[id] = k
}

// pick chooses a connection for a call, nil for a new one. It passes over the
// one that the run called over before, so that a late or second reply can't be
// taken for that to this call. The lock is held.
func (l *Pool) pick(id string) *ledgerConn {
	l.conns = slices.DeleteFunc(l.conns, func(k *ledgerConn) bool {
		stale := len(k.calls) == 0 && time.Since(k.conn.IdleSince()) > ledgerIdle
		if stale { // the ledger may have forgotten it: a call would be lost
			k.conn.Close()
		}
		return stale
	})
	var least *ledgerConn
	for _, k := range slices.Backward(l.conns) {
		if k.last != id && (least == nil || len(k.calls) < len(least.calls)) {
			least = k
		}
	}
	if least != nil && len(least.calls) > 0 && len(l.conns) < ledgerConns {
		return nil
	}
	return least
}

// spend has a connection take no more calls, and end with its last one. The lock
// is held.
func (l *Pool) spend(k *ledgerConn) {
	k.spent = true
	l.conns = slices.DeleteFunc(l.conns, func(o *ledgerConn) bool { return o == k })
	k.settle()
}

// settle ends a spent connection once nothing is out on it. The lock is held.
func (k *ledgerConn) settle() {
	if k.spent && k.conn != nil && len(k.calls) == 0 {
		k.conn.Close()
	}
}

// SetAddress has calls go to another address. Those that are out are waited for where
// they were made.
func (l *Pool) SetAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address == l.address {
		return
	}
	l.address = address
	for _, k := range slices.Clone(l.conns) {
		l.spend(k)
	}
}

// Abandon implements dispatch.Dependency. A connection on which a call was given
// up may have fallen silent for good, so it is spent.
func (l *Pool) Abandon(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.where[id]
	if k == nil {
		return
	}
	delete(k.calls, id)
	delete(l.where, id)
	if k.conn != nil {
		k.conn.Send(ledger.AppendAbandon(nil, id))
	}
	l.spend(k)
}

// open dials a connection and works it until it ends. Calls that never left
// for a refused connection never ran; of those on one that broke nothing is known.
func (l *Pool) open(k *ledgerConn) {
	nc, err := l.dial()
	if err != nil {
		l.end(k, decision.ConnectFailed)
		return
	}
	l.mu.Lock()
	k.conn = transport.NewConn(nc)
	for _, call := range k.calls {
		k.conn.Send(call.post)
	}
	k.settle()
	l.mu.Unlock()
	k.conn.Serve(func(r *bufio.Reader) error {
		reply, err := ledger.Read(r)
		if err != nil {
			return err
		}
		l.take(k, reply)
		return nil
	})
	l.end(k, decision.ConnectionReset)
}

// dial opens a connection to the ledger, wherever it moves meanwhile.
func (l *Pool) dial() (net.Conn, error) {
	for {
		l.mu.Lock()
		address := l.address
		l.mu.Unlock()
		nc, err := l.connect(address)
		l.mu.Lock()
		moved := address != l.address
		l.mu.Unlock()
		if err == nil || !moved {
			return nc, err
		}
	}
}

func (l *Pool) take(k *ledgerConn, reply ledger.Reply) {
	l.mu.Lock()
	call := k.calls[reply.ID]
	if call != nil {
		delete(k.calls, reply.ID)
		delete(l.where, reply.ID)
		k.settle()
		if i := slices.Index(l.conns, k); i >= 0 {
			l.conns = append(slices.Delete(l.conns, i, i+1), k)
		}
	}
	l.mu.Unlock()
	if call == nil { // to a call that was given up, a second copy, or to nobody's
		return
	}
	end := map[ledger.Status]dispatch.CallOutcome{
		ledger.Succeeded: decision.Succeeded, ledger.Rejected: decision.Rejected,
		ledger.Failed: decision.Failed, ledger.TimedOut: decision.TimedOut, ledger.NotStarted: decision.NotStarted,
	}[reply.Status]
	l.core.CallCompleted(reply.ID, call.number, end, reply.Body)
}

func (l *Pool) end(k *ledgerConn, end dispatch.CallOutcome) {
	l.mu.Lock()
	l.spend(k)
	calls := k.calls
	k.calls = make(map[string]*ledgerCall)
	for id := range calls {
		delete(l.where, id)
	}
	l.mu.Unlock()
	for id, call := range calls {
		l.core.CallCompleted(id, call.number, end, nil)
	}
}
