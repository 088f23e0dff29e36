package rafttransport

import (
	"bufio"
	"encoding/json"
	"net"
	"time"
)

// accept accepts connections and starts a receiver for each, until Close.
func (t *Transport) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			select {
			case <-t.ctx.Done():
				return
			case <-time.After(minBackoff): // the error may be temporary, such as too many open files
				continue
			}
		}
		if !t.trackInbound(conn) {
			t.closeQuietly(conn)
			continue
		}
		t.tasks.Go(func() {
			defer t.closeConn(conn)
			t.receive(conn)
		})
	}
}

// trackInbound is trackConn for an accepted connection. While there are too many connections, it
// closes the one that has been without a Hello for the longest time and waits until it has
// ended, so that clients that say nothing do not keep a voter out.
func (t *Transport) trackInbound(conn net.Conn) bool {
	for !t.trackConn(conn) {
		if t.ctx.Err() != nil {
			return false
		}
		t.closeOldestSilent()
		select {
		case <-t.connClosed:
		case <-time.After(minBackoff):
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.awaitingHello[conn] = time.Now()
	return true
}

// closeOldestSilent closes the connection that has been without a Hello for the longest time, if
// there is one.
func (t *Transport) closeOldestSilent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	var oldest net.Conn
	for conn, since := range t.awaitingHello {
		if oldest == nil || since.Before(t.awaitingHello[oldest]) {
			oldest = conn
		}
	}
	if oldest == nil {
		return
	}
	t.closeQuietly(oldest)
	delete(t.awaitingHello, oldest)
	t.log.Warn("fleet_connection_reclaimed", "connections", len(t.conns))
}

// helloReceived records that a connection is no longer closed in favour of others.
func (t *Transport) helloReceived(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.awaitingHello, conn)
}

// receive passes the messages of an inbound connection to Options.Receive until
// the connection is closed or fails.
func (t *Transport) receive(conn net.Conn) {
	reader := bufio.NewReader(conn)
	if !t.receiveHello(conn, reader) {
		return
	}
	for {
		message, err := ReadFrame(reader)
		if err != nil {
			return
		}
		t.options.Receive(message)
	}
}

// receiveHello reads a connection's first frame and reports whether it is a valid
// Hello. It logs an invalid Hello.
func (t *Transport) receiveHello(conn net.Conn, reader *bufio.Reader) bool {
	if err := conn.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return false
	}
	frame, err := readFrame(reader, maxHelloBytes)
	if err != nil {
		return false
	}
	var hello Hello
	if err := json.Unmarshal(frame, &hello); err != nil || !t.validHello(hello) {
		t.log.Warn("fleet_hello_refused", "fleet", hello.Fleet, "from", hello.From, "to", hello.To)
		return false
	}
	t.helloReceived(conn)
	return conn.SetReadDeadline(time.Time{}) == nil
}

// validHello reports whether a Hello is from a peer of the same fleet to this voter.
func (t *Transport) validHello(hello Hello) bool {
	if hello.Fleet != t.options.Fleet || hello.To != t.options.Self {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.peers[hello.From]
	return known
}
