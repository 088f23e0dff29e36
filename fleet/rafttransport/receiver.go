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
		if !t.trackConn(conn) {
			t.closeQuietly(conn)
			continue
		}
		t.tasks.Go(func() {
			defer t.closeConn(conn)
			t.receive(conn)
		})
	}
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
	frame, err := ReadFrame(reader)
	if err != nil {
		return false
	}
	var hello Hello
	if err := json.Unmarshal(frame, &hello); err != nil || !t.validHello(hello) {
		t.log.Warn("fleet_hello_refused", "fleet", hello.Fleet, "from", hello.From, "to", hello.To)
		return false
	}
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
