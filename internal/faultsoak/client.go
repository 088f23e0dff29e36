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

// ErrConnectionClosed is returned by Send if the connection is closed.
var ErrConnectionClosed = errors.New("faultsoak: the connection is closed")

// RequestSpec describes a request to send.
type RequestSpec struct {
	Class, Key, Body string
	Deadline         time.Duration
	Fields           map[string]string // additional fields; they override the default ones
	ArrivalOffset    time.Duration     // time by which the field door precedes the time of sending
	// Write writes message by calls of write. Nil means one call with the whole message.
	Write func(write func([]byte) error, message []byte) error
}

// Client is one connection of a balancer. A goroutine reads replies until the connection is
// closed.
type Client struct {
	conn    net.Conn
	history *History
	record  *ConnRecord
	done    chan struct{}

	writeMu sync.Mutex // held while a message is written; guards seq
	seq     int32

	mu        sync.Mutex
	open      map[int32]*Request
	cancelled map[int32]*Request // requests that Cancel cancelled, which may still be answered
	answered  *sync.Cond
	closed    bool // by Close or Reset
	expired   bool // clientTimeout has passed in awaitAnswersOrTimeout
}

// Dial opens a connection to a node.
func Dial(history *History, node, address string) (*Client, error) {
	dialer := net.Dialer{Timeout: clientDialTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("faultsoak: %w", err)
	}
	c := &Client{
		conn: conn, history: history, done: make(chan struct{}), open: map[int32]*Request{}, cancelled: map[int32]*Request{},
		record: &ConnRecord{Node: node, Opened: time.Now()},
	}
	c.answered = sync.NewCond(&c.mu)
	history.addConn(c.record)
	go c.read()
	return c, nil
}

// Send writes a request. It returns ErrConnectionClosed if the connection is closed. With
// any other error the request was not written completely, and is returned too.
func (c *Client) Send(spec RequestSpec) (*Request, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	select {
	case <-c.done:
		return nil, ErrConnectionClosed
	default:
	}
	c.seq++
	arrival := time.Now().Add(-spec.ArrivalOffset)
	r := &Request{
		Node: c.record.Node, ID: fakes.NewID(), Conn: c.record, Seq: c.seq, Class: spec.Class, Key: spec.Key, Body: spec.Body,
		Deadline: spec.Deadline, Arrival: arrival,
	}
	c.mu.Lock()
	c.open[c.seq] = r
	c.mu.Unlock()
	c.history.addRequest(r)
	message := c.message(spec, r.ID, arrival)
	var began time.Time
	write := func(p []byte) error {
		began = time.Now()
		_, err := c.conn.Write(p)
		return err
	}
	var err error
	if spec.Write != nil {
		err = spec.Write(write, message)
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

// message encodes a request.
func (c *Client) message(spec RequestSpec, id string, arrival time.Time) []byte {
	fields := map[string]string{
		"verb": spec.Class, "txn": id, "lb": "1", "ram": "20", "standing": "0.5",
	}
	if spec.Key != "" {
		fields["unique"] = spec.Key
	}
	maps.Copy(fields, spec.Fields)
	fields["door"] = strconv.FormatInt(arrival.UnixMilli(), 10)
	return fakes.AppendExecuteFields(nil, c.seq, fields, []byte(spec.Body))
}

// Cancel cancels a request with the message interrupt.
func (c *Client) Cancel(r *Request) {
	c.history.update(func() { r.Cancelled = true })
	c.mu.Lock()
	if c.open[r.Seq] != nil {
		c.cancelled[r.Seq] = r
		delete(c.open, r.Seq)
		c.answered.Broadcast()
	}
	c.mu.Unlock()
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, _ = c.conn.Write(fakes.AppendInterrupt(nil, r.Seq)) // an error means that the connection is closed
}

// Leaving reports whether the node has sent the message leaving, which asks for no new
// requests on the connection.
func (c *Client) Leaving() (leaving bool) {
	c.history.update(func() { leaving = !c.record.LeavingAt.IsZero() })
	return leaving
}

// Done returns a channel that is closed when the connection is closed.
func (c *Client) Done() <-chan struct{} { return c.done }

// AwaitAnswers waits until no request is open or the connection is closed.
func (c *Client) AwaitAnswers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.open) > 0 {
		c.answered.Wait()
	}
}

// awaitAnswersOrTimeout is like AwaitAnswers, but waits for at most clientTimeout.
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

// Open returns the number of requests that are neither answered nor cancelled.
func (c *Client) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// Close closes the connection as a balancer does, and waits until reading has ended.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.conn.Close()
	<-c.done
}

// Reset closes the connection with a TCP reset, even if requests are open.
func (c *Client) Reset() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	reset(c.conn)
	<-c.done
}

// CloseWrite shuts down the writing side of the connection.
func (c *Client) CloseWrite() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // an error means that the connection is closed
	}
}

// WriteRaw writes bytes that aren't recorded as a request.
func (c *Client) WriteRaw(p []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if _, err := c.conn.Write(p); err != nil {
		return fmt.Errorf("faultsoak: %w", err)
	}
	return nil
}

// NextSeq returns the sequence number of the next call. If take is set, it reserves the
// number for a call that the caller writes with WriteRaw.
func (c *Client) NextSeq(take bool) int32 {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	next := c.seq + 1
	if take {
		c.seq = next
	}
	return next
}

// forget removes a request from the open ones.
func (c *Client) forget(seq int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, seq)
	c.answered.Broadcast()
}

// read reads replies until the connection is closed.
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

// answer records an answer in its request. If no such request is open, it records a new
// request with an answer of kind kindUnexpected, which the oracle reports.
func (c *Client) answer(reply fakes.Reply) {
	outcome := reply.Outcome()
	answer := Answer{Kind: outcome.Kind, Body: outcome.Body, At: time.Now()}
	c.mu.Lock()
	request := c.open[reply.Seq]
	if cancelled := c.cancelled[reply.Seq]; cancelled != nil {
		request = cancelled
		delete(c.cancelled, reply.Seq)
	}
	c.mu.Unlock()
	if request == nil {
		request = &Request{Node: c.record.Node, Conn: c.record, Seq: reply.Seq, Body: "answered twice or never sent"}
		c.history.addRequest(request)
		answer.Kind = kindUnexpected
	}
	c.history.update(func() { request.Answers = append(request.Answers, answer) })
	c.forget(reply.Seq)
}

// end records how the connection was closed.
func (c *Client) end(err error) {
	at := time.Now()
	kind := ResetByNode
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		kind = ClosedByNode
	}
	c.mu.Lock()
	if c.closed {
		kind = ClosedByClient
	}
	clear(c.open)
	c.answered.Broadcast()
	c.mu.Unlock()
	c.history.update(func() { c.record.End, c.record.ClosedAt, c.record.Err = kind, at, err })
	_ = c.conn.Close()
}
