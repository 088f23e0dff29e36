package faultsoak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"strconv"
	"sync"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

const clientDialTimeout = time.Second

// ErrEnded is returned by Send if the connection has ended.
var ErrEnded = errors.New("faultsoak: the connection has ended")

// Ask is a request to send.
type Ask struct {
	Class, Key, Body string
	Deadline         time.Duration
	Fields           map[string]string // further fields, or others
	DoorEarly        time.Duration     // how much earlier than now the field door says that it reached the machine
	// Write cuts the message into pieces and writes them; nil writes it at once.
	Write func(write func([]byte) error, message []byte) error
}

// Client is one connection of a balancer. Its reads are done by a goroutine of its
// own until the connection ends.
type Client struct {
	conn    net.Conn
	history *History
	record  *ConnRecord
	done    chan struct{}

	writing sync.Mutex // one message at a time
	seq     int32

	mu       sync.Mutex
	open     map[int32]*Request
	givenUp  map[int32]*Request // by GiveUp: they may be answered or not
	answered *sync.Cond
	closed   bool // by the client
	expired  bool // the wait for answers has lasted long enough
}

// Dial opens a connection to a node.
func Dial(history *History, node, address string) (*Client, error) {
	dialer := net.Dialer{Timeout: clientDialTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("faultsoak: %w", err)
	}
	c := &Client{
		conn: conn, history: history, done: make(chan struct{}), open: map[int32]*Request{}, givenUp: map[int32]*Request{},
		record: &ConnRecord{Node: node, Opened: time.Now()},
	}
	c.answered = sync.NewCond(&c.mu)
	history.addConn(c.record)
	go c.read()
	return c, nil
}

// Send writes a request. The error is ErrEnded if the connection has ended; another means
// that the request was not written whole, and the request is returned too.
func (c *Client) Send(a Ask) (*Request, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	select {
	case <-c.done:
		return nil, ErrEnded
	default:
	}
	c.seq++
	door := time.Now().Add(-a.DoorEarly)
	r := &Request{
		Node: c.record.Node, ID: fakes.NewID(), Conn: c.record, Seq: c.seq, Class: a.Class, Key: a.Key, Body: a.Body,
		Deadline: a.Deadline, Door: door,
	}
	c.mu.Lock()
	c.open[c.seq] = r
	c.mu.Unlock()
	c.history.addRequest(r)
	message := c.message(a, r.ID, door)
	var began time.Time
	write := func(p []byte) error {
		began = time.Now()
		_, err := c.conn.Write(p)
		return err
	}
	var err error
	if a.Write != nil {
		err = a.Write(write, message)
	} else {
		err = write(message)
	}
	if err != nil {
		c.forget(c.seq)
		return r, fmt.Errorf("faultsoak: %w", err)
	}
	ended := time.Now()
	c.history.update(func() { r.LastWriteBegan, r.Written = began, ended })
	return r, nil
}

// message returns the bytes of a request.
func (c *Client) message(a Ask, id string, door time.Time) []byte {
	fields := map[string]string{
		"verb": a.Class, "txn": id, "lb": "1", "ram": "20", "standing": "0.5",
	}
	if a.Key != "" {
		fields["unique"] = a.Key
	}
	maps.Copy(fields, a.Fields)
	fields["door"] = strconv.FormatInt(door.UnixMilli(), 10)
	return fakes.AppendExecuteFields(nil, c.seq, fields, []byte(a.Body))
}

// GiveUp tells the node that nobody waits for a request any more, by an interrupt.
func (c *Client) GiveUp(r *Request) {
	c.history.update(func() { r.GivenUp = true })
	c.mu.Lock()
	if c.open[r.Seq] != nil {
		c.givenUp[r.Seq] = r
		delete(c.open, r.Seq)
		c.answered.Broadcast()
	}
	c.mu.Unlock()
	c.writing.Lock()
	defer c.writing.Unlock()
	_, _ = c.conn.Write(fakes.AppendInterrupt(nil, r.Seq)) // the connection may have ended
}

// Leaving reports whether the node has asked that nothing new is sent.
func (c *Client) Leaving() (leaving bool) {
	c.history.update(func() { leaving = !c.record.LeavingAt.IsZero() })
	return leaving
}

// Done is closed when the connection has ended.
func (c *Client) Done() <-chan struct{} { return c.done }

// AwaitAnswers waits until nothing is open on the connection, or it has ended.
func (c *Client) AwaitAnswers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.open) > 0 {
		c.answered.Wait()
	}
}

// awaitAnswersOrTimeout is AwaitAnswers for at most clientTimeout.
func (c *Client) awaitAnswersOrTimeout() {
	stop := time.AfterFunc(clientTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.expired = true
		c.answered.Broadcast()
	})
	defer stop.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.open) > 0 && !c.expired {
		c.answered.Wait()
	}
	c.expired = false
}

// Open returns how many requests are open: not answered and not given up.
func (c *Client) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// Close ends the connection as a balancer does.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.conn.Close()
	<-c.done
}

// Reset ends the connection at once, with what is open on it.
func (c *Client) Reset() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	reset(c.conn)
	<-c.done
}

// CloseWrite shuts the writing side only.
func (c *Client) CloseWrite() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the connection may have ended
	}
}

// WriteRaw writes bytes that belong to no request.
func (c *Client) WriteRaw(p []byte) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if _, err := c.conn.Write(p); err != nil {
		return fmt.Errorf("faultsoak: %w", err)
	}
	return nil
}

// NextSeq returns the sequence number of the next call. If take is set, the number is taken,
// for a call that is to be written by WriteRaw.
func (c *Client) NextSeq(take bool) int32 {
	c.writing.Lock()
	defer c.writing.Unlock()
	next := c.seq + 1
	if take {
		c.seq = next
	}
	return next
}

// forget has a request count as open no more.
func (c *Client) forget(seq int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, seq)
	c.answered.Broadcast()
}

// read reads replies until the connection ends.
func (c *Client) read() {
	defer close(c.done)
	r := bufio.NewReader(c.conn)
	for {
		reply, err := fakes.ReadReply(r)
		if err != nil {
			c.end(err)
			return
		}
		switch reply.Name {
		case "leaving":
			c.history.update(func() { c.record.LeavingAt = time.Now() })
		case "execute":
			c.answer(reply)
		}
	}
}

// answer records an answer with its request, or with a new one if there is none.
func (c *Client) answer(reply fakes.Reply) {
	outcome := reply.Outcome()
	answer := Answer{Kind: outcome.Kind, Body: outcome.Body, At: time.Now()}
	c.mu.Lock()
	request := c.open[reply.Seq]
	if givenUp := c.givenUp[reply.Seq]; givenUp != nil {
		request = givenUp
		delete(c.givenUp, reply.Seq)
	}
	c.mu.Unlock()
	if request == nil {
		request = &Request{Node: c.record.Node, Conn: c.record, Seq: reply.Seq, Body: "answered twice or never asked"}
		c.history.addRequest(request)
		answer.Kind = kindUnasked
	}
	c.history.update(func() { request.Answers = append(request.Answers, answer) })
	c.forget(reply.Seq)
}

// end records how the connection ended.
func (c *Client) end(err error) {
	at := time.Now()
	kind := ResetByNode
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		kind = EndedByNode
	}
	c.mu.Lock()
	if c.closed {
		kind = EndedByClient
	}
	clear(c.open)
	c.answered.Broadcast()
	c.mu.Unlock()
	c.history.update(func() { c.record.End, c.record.EndedAt, c.record.Err = kind, at, err })
	_ = c.conn.Close()
}
