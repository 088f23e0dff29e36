package downstream

import (
	"bufio"
	"net"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/protocol/ledger"
	"quincerail.example/quincerail/transport"
)

// poolConn is a connection of a Pool. The pool's mutex guards it.
type poolConn struct {
	conn    *transport.Conn     // nil while it is being dialled
	calls   map[string]poolCall // calls in flight, by run ID
	lastID  string              // run ID of the last call, for which a late or duplicate reply may still arrive
	retired bool                // it gets no more calls and closes after its last one
}

// closeIfDoneLocked closes a retired connection if no call is in flight on it. The pool's
// mutex is held.
func (c *poolConn) closeIfDoneLocked() {
	if c.retired && c.conn != nil && len(c.calls) == 0 {
		c.conn.Close()
	}
}

// open dials a connection and serves it until it closes. If the dial fails, its calls end
// with ConnectFailed: they never ran. If the connection breaks, its calls end with
// ConnectionReset: it is unknown whether they ran.
func (p *Pool) open(c *poolConn) {
	nc, err := p.dial()
	if err != nil {
		p.connClosed(c, decision.ConnectFailed)
		return
	}
	p.mu.Lock()
	c.conn = transport.NewConn(nc)
	for _, call := range c.calls {
		c.conn.Send(call.post)
	}
	c.closeIfDoneLocked()
	p.mu.Unlock()
	_ = c.conn.Serve(func(r *bufio.Reader) error { // the error does not matter: the calls on it are lost in any case
		reply, err := ledger.Read(r)
		if err != nil {
			return err
		}
		p.handleReply(c, reply)
		return nil
	})
	p.connClosed(c, decision.ConnectionReset)
}

// dial opens a connection. If the dial fails and the address has changed in the meantime, it
// dials the new address.
func (p *Pool) dial() (net.Conn, error) {
	for {
		p.mu.Lock()
		address := p.address
		p.mu.Unlock()
		nc, err := p.connect(address)
		p.mu.Lock()
		addressChanged := address != p.address
		p.mu.Unlock()
		if err == nil || !addressChanged {
			return nc, err
		}
	}
}
