package main

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// try is one try of a request.
type try struct {
	id, class, key, body string
	// loseAnswer makes the balancer's side reset the connection just as the answer comes. The try
	// has a connection of its own.
	loseAnswer bool

	door      time.Time // as sent, in whole milliseconds
	writtenAt time.Time // when its last byte was written
	seq       int32
	conn      *balancerConn

	done     chan struct{} // closed with the answer, or with the end of the connection
	once     sync.Once
	outcome  string // served, refused, failed, exception, noAnswer or lostAnswer
	result   string
	answerAt time.Time
}

// Outcomes of a try without an answer.
const (
	noAnswer   = "no answer"   // its connection ended
	lostAnswer = "lost answer" // the balancer's side reset the connection just as the answer came
)

func (t *try) finish(outcome, result string) {
	t.once.Do(func() {
		t.outcome, t.result, t.answerAt = outcome, result, time.Now()
		close(t.done)
	})
}

// wait waits for the end of a try, and reports whether it came in time.
func (t *try) wait(d time.Duration) bool {
	select {
	case <-t.done:
		return true
	default:
	}
	select {
	case <-t.done:
		return true
	case <-time.After(d):
		return false
	}
}

func hexID(bytes int) string {
	b := make([]byte, bytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// balancerConn is a connection of a balancer.
type balancerConn struct {
	conn   net.Conn
	record *record
	number int

	mu      sync.Mutex
	lastSeq int32
	open    map[int32]*try
	leaving bool // the app server has sent leaving: no new request
	closed  bool
}

var connCount struct {
	sync.Mutex
	n int
}

func dialBalancer(address string, rec *record) (*balancerConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	connCount.Lock()
	connCount.n++
	c := &balancerConn{conn: conn, record: rec, number: connCount.n, open: make(map[int32]*try)}
	connCount.Unlock()
	go c.read()
	return c, nil
}

// usable reports whether a new request may be sent on the connection.
func (c *balancerConn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.leaving && !c.closed && len(c.open) < maxOpen
}

var errNotUsable = errors.New("the connection takes no new request")

// send sends a try.
func (c *balancerConn) send(t *try) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving || c.closed || len(c.open) >= maxOpen {
		return errNotUsable
	}
	c.lastSeq++
	t.seq, t.conn, t.done = c.lastSeq, c, make(chan struct{})
	t.door = time.UnixMilli(time.Now().UnixMilli())
	c.open[t.seq] = t
	c.record.line("balancer, connection %d: try %s %s key=%s body %q", c.number, t.id, t.class, t.key, shorten(t.body))
	if _, err := c.conn.Write(executeMessage(t.seq, t.fields(), t.body)); err != nil {
		delete(c.open, t.seq)
		return err
	}
	t.writtenAt = time.Now()
	return nil
}

// sendAll sends tries in one write.
func (c *balancerConn) sendAll(tries []*try) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var bytes []byte
	door := time.UnixMilli(time.Now().UnixMilli())
	for _, t := range tries {
		c.lastSeq++
		t.seq, t.conn, t.door, t.done = c.lastSeq, c, door, make(chan struct{})
		bytes = append(bytes, executeMessage(t.seq, t.fields(), t.body)...)
		c.open[t.seq] = t
	}
	if _, err := c.conn.Write(bytes); err != nil {
		return err
	}
	for _, t := range tries {
		t.writtenAt = time.Now()
		c.record.line("balancer, connection %d: try %s %s key=%s body %q", c.number, t.id, t.class, t.key, shorten(t.body))
	}
	return nil
}

// fields returns the fields of a try.
func (t *try) fields() map[string]string {
	fields := map[string]string{
		"verb": t.class, "txn": t.id, "door": strconv.FormatInt(t.door.UnixMilli(), 10), "lb": "1",
		"ram": "24.5", "standing": "0.6250",
	}
	if t.key != "" {
		fields["unique"] = t.key
	}
	return fields
}

func (c *balancerConn) close() { _ = c.conn.Close() }

// read reads the answers until the connection ends.
func (c *balancerConn) read() {
	r := bufio.NewReader(c.conn)
	for {
		name, seq, outcome, result, err := readMessage(r)
		c.mu.Lock()
		if err != nil {
			c.closed = true
			for seq, t := range c.open {
				delete(c.open, seq)
				c.record.line("balancer, connection %d: try %s got no answer: %v", c.number, t.id, err)
				t.finish(noAnswer, "")
			}
			c.mu.Unlock()
			_ = c.conn.Close()
			return
		}
		if name == "leaving" {
			c.leaving = true
			c.record.line("balancer, connection %d: leaving", c.number)
		} else if t := c.open[seq]; t != nil && t.loseAnswer {
			delete(c.open, seq)
			c.record.line("balancer, connection %d: reset just as the answer to try %s comes (%s)", c.number, t.id, outcome)
			t.finish(lostAnswer, "")
			_ = c.conn.(*net.TCPConn).SetLinger(0)
			_ = c.conn.Close()
		} else if t := c.open[seq]; t != nil {
			delete(c.open, seq)
			c.record.line("balancer, connection %d: answer to try %s: %s %q", c.number, t.id, outcome, shorten(result))
			t.finish(outcome, result)
		}
		idle := c.leaving && len(c.open) == 0
		c.mu.Unlock()
		if idle {
			time.AfterFunc(10*time.Millisecond, c.close) // all is answered: the balancer closes it
		}
	}
}

// The Thrift messages, in the strict binary protocol with framed transport.

func text(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

func message(kind byte, name string, seq int32, args []byte) []byte {
	m := text([]byte{0x80, 1, 0, kind}, name)
	m = binary.BigEndian.AppendUint32(m, uint32(seq))
	m = append(append(m, args...), 0)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(m))), m...)
}

func executeMessage(seq int32, fields map[string]string, body string) []byte {
	args := []byte{13, 0, 1, 11, 11}
	args = binary.BigEndian.AppendUint32(args, uint32(len(fields)))
	for name, value := range fields {
		args = text(text(args, name), value)
	}
	args = text(append(args, 11, 0, 2), body)
	return message(1, "execute", seq, args)
}

var errUnreadable = errors.New("unreadable answer")

// readMessage reads a message of the app server. outcome and result are those of an answer to
// execute.
func readMessage(r *bufio.Reader) (name string, seq int32, outcome, result string, err error) {
	var size [4]byte
	if _, err = io.ReadFull(r, size[:]); err != nil {
		return
	}
	frame := make([]byte, binary.BigEndian.Uint32(size[:]))
	if _, err = io.ReadFull(r, frame); err != nil {
		return
	}
	defer func() {
		if recover() != nil {
			err = errUnreadable
		}
	}()
	take := func(n int) []byte { b := frame[:n]; frame = frame[n:]; return b }
	number := func() int { return int(binary.BigEndian.Uint32(take(4))) }
	word := func() string { return string(take(number())) }
	kind := take(4)[3]
	name, seq = word(), int32(number())
	if kind == 3 {
		return name, seq, "exception", "", nil
	}
	if kind != 2 {
		return name, seq, "", "", nil
	}
	if take(1)[0] != 12 {
		return name, seq, "", "", errUnreadable
	}
	outcome = map[uint16]string{0: "served", 1: "refused", 2: "failed"}[binary.BigEndian.Uint16(take(2))]
	if outcome == "served" && take(1)[0] == 11 {
		take(2)
		result = word()
	}
	return name, seq, outcome, result, nil
}

// balancer sends tries, each over a usable connection, and opens connections as needed.
type balancer struct {
	address string
	record  *record

	mu    sync.Mutex
	conns []*balancerConn
}

func (b *balancer) send(t *try) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.conns {
		if !t.loseAnswer && c.usable() && c.send(t) == nil {
			return nil
		}
	}
	c, err := dialBalancer(b.address, b.record)
	if err != nil {
		return fmt.Errorf("connecting: %w", err)
	}
	if !t.loseAnswer {
		b.conns = append(b.conns, c)
	}
	return c.send(t)
}

func (b *balancer) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.conns {
		c.close()
	}
	b.conns = nil
}
