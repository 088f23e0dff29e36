package transport

import (
	"bufio"
	"errors"
	"sync"
	"time"

	"quincerail.example/quincerail/guard"
)

// ErrInputBudget ends reading of a message for which the InputBudget has no bytes left.
var ErrInputBudget = errors.New("no memory is left for messages that have not arrived completely")

const (
	// minInputBytes is what each connection may use beside the budget: its first read buffer, and
	// as much for what the handler keeps of a small message. The limits of connections bound it.
	minInputBytes = 2 * initialReadBufferSize

	// reclaimedInputDivisor bounds the bytes of connections that are being reclaimed, as a
	// fraction of the capacity: they are still in memory, but no longer count as used.
	reclaimedInputDivisor = 4

	// maxInputWait is how long a connection waits for the bytes of connections that are being
	// reclaimed, and inputWaitInterval how often it tries.
	maxInputWait      = 100 * time.Millisecond
	inputWaitInterval = 2 * time.Millisecond
)

// InputStats counts the bytes of an InputBudget.
type InputStats struct {
	Used      int // bytes that are reserved
	Capacity  int
	Reclaimed int // connections that were closed so far to give their bytes to others
	Rejected  int // messages that were not read any further so far
}

// InputBudget bounds the memory of what all connections of a process have read and not yet
// passed on, beyond minInputBytes for each: read buffers that have grown, incomplete messages,
// and what decoding makes of them. If it is used up, it closes the connections whose messages have been incomplete for the longest time,
// so that peers that send their messages whole are read as before. Its methods may be called
// from any goroutine.
type InputBudget struct {
	mu           sync.Mutex
	stats        InputStats
	reclaimed    int // bytes of connections that are being reclaimed
	reservations map[*Conn]*reservation
}

// reservation is what a connection has reserved.
type reservation struct {
	bytes       int
	isReclaimed bool // the connection is being closed, and its bytes do not count as used
}

// NewInputBudget returns a budget of capacity bytes.
func NewInputBudget(capacity int) *InputBudget {
	return &InputBudget{stats: InputStats{Capacity: capacity}, reservations: make(map[*Conn]*reservation)}
}

// Stats returns the current counts.
func (b *InputBudget) Stats() InputStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// add adds a connection, which has reserved nothing.
func (b *InputBudget) add(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reservations[c] = &reservation{}
}

// remove removes a connection that has closed.
func (b *InputBudget) remove(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addLocked(b.reservations[c], -b.reservations[c].bytes)
	delete(b.reservations, c)
}

// keep ends the reclaiming of a connection that has given back all bytes: its message was
// complete before the connection could be closed.
func (b *InputBudget) keep(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.reservations[c]; r.bytes == 0 {
		r.isReclaimed = false
	}
}

// addLocked adds bytes to a reservation. The caller holds mu.
func (b *InputBudget) addLocked(r *reservation, bytes int) {
	r.bytes += bytes
	if r.isReclaimed {
		b.reclaimed += bytes
	} else {
		b.stats.Used += bytes
	}
}

// reserve sets the bytes that a connection uses, of which it reserves those above minInputBytes.
// If the budget has too few left, it reclaims connections whose messages began earlier. The error is ErrInputBudget if there are
// none.
func (b *InputBudget) reserve(c *Conn, bytes int) error {
	startedAt, deadline := c.source.messageStartedAt.get(), time.Now().Add(maxInputWait)
	for !b.tryReserve(c, max(0, bytes-minInputBytes)) {
		if b.reclaimOldest(c, startedAt) {
			continue
		}
		if !b.isReclaiming() || !time.Now().Before(deadline) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.stats.Rejected++
			return ErrInputBudget
		}
		time.Sleep(inputWaitInterval)
	}
	return nil
}

// isReclaiming reports whether connections are being reclaimed.
func (b *InputBudget) isReclaiming() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reclaimed > 0
}

// tryReserve is reserve without reclaiming. A connection can always give bytes back.
func (b *InputBudget) tryReserve(c *Conn, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.reservations[c]
	more := bytes - r.bytes
	if more > 0 && (r.isReclaimed || b.stats.Used+more > b.stats.Capacity) {
		return false
	}
	b.addLocked(r, more)
	return true
}

// reclaimOldest closes the connection whose message has been incomplete for the longest time,
// if that message began before startedAt. It returns false if there is none other than
// requester, or if too many bytes are being reclaimed already.
func (b *InputBudget) reclaimOldest(requester *Conn, startedAt time.Time) bool {
	oldest := (*Conn)(nil)
	for _, c := range b.holders(requester) {
		since, incomplete := c.incompleteSince()
		if incomplete && since.Before(startedAt) {
			oldest, startedAt = c, since
		}
	}
	return oldest != nil && b.reclaim(oldest)
}

// holders returns the connections other than requester that have reserved bytes and are not
// being reclaimed.
func (b *InputBudget) holders(requester *Conn) (holders []*Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reclaimed > b.stats.Capacity/reclaimedInputDivisor {
		return nil
	}
	for c, r := range b.reservations {
		if c != requester && !r.isReclaimed && r.bytes > 0 {
			holders = append(holders, c)
		}
	}
	return holders
}

// reclaim starts to close a connection, whose bytes no longer count as used. It returns false
// if the connection has closed.
func (b *InputBudget) reclaim(c *Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.reservations[c]
	if r == nil || r.isReclaimed {
		return false
	}
	b.stats.Used -= r.bytes
	r.isReclaimed = true
	b.reclaimed += r.bytes
	b.stats.Reclaimed++
	c.reclaim(guard.RestWithheld)
	return true
}

// incompleteSince returns when the first byte of the current message arrived. It returns false
// if no message is incomplete, or if the connection may not be closed because responses are
// pending.
func (c *Conn) incompleteSince() (since time.Time, incomplete bool) {
	if !c.isServing() || c.hasResponsesPending() {
		return time.Time{}, false
	}
	since = c.source.messageStartedAt.get()
	return since, !since.IsZero()
}

// ReserveInput sets the bytes that the handler keeps of the current message, and of what it has
// decoded, beside the read buffer. The error is ErrInputBudget if the process has no memory left
// for them; the handler must then not read the message any further. The bytes are given back
// when the connection closes. ReserveInput may only be called by the handler, or by the function
// of OnClose to give bytes back.
func (c *Conn) ReserveInput(bytes int) error {
	if c.inputBudget == nil {
		return nil
	}
	c.handlerBytes = bytes
	return c.inputBudget.reserve(c, c.handlerBytes+c.reader.Size())
}

// needsLargerBuffer reports whether the handler has returned err because a message does not fit
// into a read buffer that may grow.
func (c *Conn) needsLargerBuffer(err error) bool {
	return errors.Is(err, bufio.ErrBufferFull) && c.inputBudget != nil && c.reader.Size() < readBufferSize
}

// growReader replaces the read buffer by one for messages of the maximum size. The error is
// ErrInputBudget if the process has no memory left for it.
func (c *Conn) growReader() error {
	if err := c.inputBudget.reserve(c, c.handlerBytes+readBufferSize); err != nil {
		return err
	}
	c.resizeReader(readBufferSize)
	return nil
}

// shrinkReader replaces a read buffer that has grown by a small one, if it is empty.
func (c *Conn) shrinkReader() {
	if c.inputBudget == nil || c.reader.Size() <= initialReadBufferSize || c.reader.Buffered() > 0 {
		return
	}
	c.resizeReader(initialReadBufferSize)
	_ = c.ReserveInput(c.handlerBytes) // gives bytes back, which never fails
}

// resizeReader replaces the read buffer by one of another size with the same bytes.
func (c *Conn) resizeReader(size int) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // already buffered
	c.source.unread = append([]byte(nil), buffered...)
	c.reader = bufio.NewReaderSize(c.source, size)
	_, _ = c.reader.Peek(len(buffered)) // reads source.unread, which never fails
}
