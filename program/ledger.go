package program

import (
	"bufio"
	"hash/fnv"
	"net"
	"sync"
	"time"

	"quincerail.example/quincerail/policy"
	"quincerail.example/quincerail/protocol/ledger"
	"quincerail.example/quincerail/routing"
	"quincerail.example/quincerail/transport"
)

const (
	ledgerConns  = 4
	ledgerIdle   = 8 * time.Second // the ledger closes after 10; a call must not cross that
	ledgerDialIn = time.Second
)

// ledgerPool makes the calls, over connections that each carry many. The calls
// of one run go over one after the other of them, by their numbers, so that the
// late reply to a call that was given up can't be taken for the next one's.
type ledgerPool struct {
	core *routing.Core

	mu      sync.Mutex
	address string
	slots   [ledgerConns]*ledgerConn
	where   map[string]*ledgerConn // of the call that is out
}

// ledgerConn is one connection, which may still be dialled.
type ledgerConn struct {
	conn  *transport.Conn // nil until it is open
	ended bool
	left  bool // the ledger has moved: it ends with its last call
	calls map[string]*ledgerCall
}

type ledgerCall struct {
	number int
	wait   time.Duration
	body   []byte
}

func newLedgerPool(address string) *ledgerPool {
	return &ledgerPool{address: address, where: make(map[string]*ledgerConn)}
}

// Call implements routing.Dependency.
func (l *ledgerPool) Call(id string, number int, wait time.Duration, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := fnv.New32a()
	h.Write([]byte(id))
	slot := &l.slots[(int(h.Sum32()%ledgerConns)+number)%ledgerConns]
	k := *slot
	if k != nil && k.conn != nil && len(k.calls) == 0 && time.Since(k.conn.IdleSince()) > ledgerIdle {
		k.conn.Close()
		k = nil
	}
	if k == nil || k.ended {
		k = &ledgerConn{calls: make(map[string]*ledgerCall)}
		*slot = k
		go l.open(k)
	}
	k.calls[id] = &ledgerCall{number, wait, body}
	l.where[id] = k
	if k.conn != nil {
		k.conn.Send(ledger.AppendPost(nil, id, wait, body))
	}
}

// move has calls go to another address. Those that are out are waited for where
// they were made.
func (l *ledgerPool) move(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address == l.address {
		return
	}
	l.address = address
	for i, k := range l.slots {
		if k != nil {
			k.left = true
			k.closeLeft()
			l.slots[i] = nil
		}
	}
}

// closeLeft ends a connection to an address that was left, once nothing is out
// on it. The lock is held.
func (k *ledgerConn) closeLeft() {
	if k.left && k.conn != nil && len(k.calls) == 0 {
		k.conn.Close()
	}
}

// Abandon implements routing.Dependency.
func (l *ledgerPool) Abandon(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.where[id]
	if k == nil || k.calls[id] == nil {
		return
	}
	delete(k.calls, id)
	delete(l.where, id)
	if k.conn != nil {
		k.conn.Send(ledger.AppendAbandon(nil, id))
	}
	k.closeLeft()
}

// open dials a connection and works it until it ends. Calls that never left
// for a refused connection never ran; of those on one that broke nothing is known.
func (l *ledgerPool) open(k *ledgerConn) {
	nc, err := l.dial()
	if err != nil {
		l.end(k, policy.ConnectFailed)
		return
	}
	l.mu.Lock()
	k.conn = transport.NewConn(nc)
	for id, call := range k.calls {
		k.conn.Send(ledger.AppendPost(nil, id, call.wait, call.body))
	}
	k.closeLeft()
	l.mu.Unlock()
	k.conn.Serve(func(r *bufio.Reader) error {
		reply, err := ledger.Read(r)
		if err != nil {
			return err
		}
		l.take(k, reply)
		return nil
	})
	l.end(k, policy.Reset)
}

// dial opens a connection to the ledger, wherever it moves meanwhile.
func (l *ledgerPool) dial() (net.Conn, error) {
	for {
		l.mu.Lock()
		address := l.address
		l.mu.Unlock()
		nc, err := net.DialTimeout("tcp", address, ledgerDialIn)
		l.mu.Lock()
		moved := address != l.address
		l.mu.Unlock()
		if err == nil || !moved {
			return nc, err
		}
	}
}

func (l *ledgerPool) take(k *ledgerConn, reply ledger.Reply) {
	l.mu.Lock()
	call := k.calls[reply.ID]
	if call != nil {
		delete(k.calls, reply.ID)
		if l.where[reply.ID] == k {
			delete(l.where, reply.ID)
		}
	}
	k.closeLeft()
	l.mu.Unlock()
	if call == nil { // to a call that was given up
		return
	}
	end := map[ledger.Status]routing.CallEnd{ledger.Posted: policy.OK, ledger.QueueFull: policy.Full,
		ledger.Errored: policy.Errored, ledger.Expired: policy.TimedOut, ledger.Moot: policy.Moot}[reply.Status]
	l.core.Called(reply.ID, call.number, end, reply.Body)
}

func (l *ledgerPool) end(k *ledgerConn, end routing.CallEnd) {
	l.mu.Lock()
	k.ended = true
	calls := k.calls
	k.calls = make(map[string]*ledgerCall)
	for id := range calls {
		if l.where[id] == k {
			delete(l.where, id)
		}
	}
	l.mu.Unlock()
	for id, call := range calls {
		l.core.Called(id, call.number, end, nil)
	}
}
