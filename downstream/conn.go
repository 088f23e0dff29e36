package downstream

import (
	"bufio"
	"net"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/protocol/ledger"
	"quincerail.example/quincerail/transport"
)

// poolConn is a connection of a Pool, whose lock guards it. It may still be dialled.
type poolConn struct {
	conn    *transport.Conn     // nil until it is open
	calls   map[string]poolCall // in flight, by id
	lastID  string              // of its last call, of which a duplicate reply may still come
	retired bool                // it gets no more calls, and closes after its last one
}

// closeIfUnusedLocked closes a retired connection once no call is in flight on it. The pool's
// lock is held.
func (c *poolConn) closeIfUnusedLocked() {
	if c.retired && c.conn != nil && len(c.calls) == 0 {
		c.conn.Close()
	}
}

// open dials a connection and serves it until it ends. If the dial fails, its calls never
// ran; if the connection breaks, nobody knows whether they did.
func (p *Pool) open(c *poolConn) {
	nc, err := p.dial()
	if err != nil {
		p.connEnded(c, decision.ConnectFailed)
		return
	}
	p.mu.Lock()
	c.conn = transport.NewConn(nc)
	for _, call := range c.calls {
		c.conn.Send(call.post)
	}
	c.closeIfUnusedLocked()
	p.mu.Unlock()
	_ = c.conn.Serve(func(r *bufio.Reader) error { // whatever ends it, the calls on it are lost
		reply, err := ledger.Read(r)
		if err != nil {
			return err
		}
		p.receive(c, reply)
		return nil
	})
	p.connEnded(c, decision.ConnectionReset)
}

// dial opens a connection. If dialling fails and the address has changed meanwhile, it dials
// the new address.
func (p *Pool) dial() (net.Conn, error) {
	for {
		p.mu.Lock()
		address := p.address
		p.mu.Unlock()
		nc, err := p.connect(address)
		p.mu.Lock()
		moved := address != p.address
		p.mu.Unlock()
		if err == nil || !moved {
			return nc, err
		}
	}
}
