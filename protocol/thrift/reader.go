package thrift

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
)

// versionEnd is where the version of a message ends, from the beginning of its frame.
const versionEnd = 8

// BadMessageError is given for bytes that are no message, and were passed over. The
// messages behind them can be read: they begin at the next frame, or where one is found.
type BadMessageError struct {
	Head *Head // of the message, as far as it has one; nil if not
	Err  error // wraps ErrBroken
}

// Error implements error.
func (e *BadMessageError) Error() string { return e.Err.Error() }

// Unwrap gives the cause.
func (e *BadMessageError) Unwrap() error { return e.Err }

// Head is what every message begins with.
type Head struct {
	Type MessageType
	Name string
	Seq  int32
}

// Reader reads the messages of one connection. Its zero value is ready. What is no message
// is passed over by its frame; where the frame makes no sense either, bytes are passed over
// until something begins as a message does.
type Reader struct {
	skip     int  // bytes to come of a frame that is passed over
	scanning bool // it is unknown where the next message begins
	scanned  int  // bytes passed over since then
}

// Scanned gives how many bytes were passed over since it is unknown where the next message
// begins; 0 while that is known.
func (r *Reader) Scanned() int { return r.scanned }

// Read reads the next message. It consumes nothing of a message until the whole frame has
// come, so it may be called again after an interrupted read. After a *BadMessageError it
// may be called again too.
func (r *Reader) Read(b *bufio.Reader) (*Message, error) {
	if err := r.passOver(b); err != nil {
		return nil, err
	}
	if err := r.scan(b); err != nil {
		return nil, err
	}
	head, err := b.Peek(4)
	if err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head)
	if size > maxSkip { // before anything of that size is waited for
		return nil, r.lose(fmt.Errorf("%w: a frame of %d bytes, %d at most", ErrMalformed, size, maxFrame))
	}
	if err := checkVersion(b, int(size)); errors.Is(err, ErrMalformed) {
		return nil, r.lose(err)
	} else if err != nil {
		return nil, err
	}
	if size > maxFrame {
		return nil, r.skipFrame(b, int(size))
	}
	frame, err := b.Peek(4 + int(size))
	if err != nil {
		return nil, err
	}
	m, headRead, err := parse(append([]byte(nil), frame[4:]...))
	if err != nil {
		bad := &BadMessageError{Err: err}
		end := cutAt(frame)
		r.scanning = end < len(frame)
		if headRead && !r.scanning {
			bad.Head = &m.Head
		}
		_, _ = b.Discard(end) // it is buffered
		return nil, bad
	}
	_, _ = b.Discard(len(frame)) // likewise
	return m, nil
}

// cutAt tells where a frame that can't be read ends: where bytes in it begin as a message
// does, as far as to its version, it was cut off there.
func cutAt(frame []byte) (end int) {
	after, _ := findMessage(frame[1:])
	if end = 1 + after; len(frame)-end < versionEnd {
		return len(frame)
	}
	return end
}

// checkVersion sees that a frame begins as a message does, before the rest is waited for.
func checkVersion(b *bufio.Reader, size int) error {
	if size < versionEnd-4 {
		return fmt.Errorf("%w: a frame of %d bytes", ErrMalformed, size)
	}
	start, err := b.Peek(versionEnd)
	if err != nil {
		return err
	}
	if version := binary.BigEndian.Uint32(start[4:]); version&versionMask != strictVersion {
		return fmt.Errorf("%w: version %#x", ErrMalformed, version)
	}
	return nil
}

// lose takes in that it is unknown where the next message begins.
func (r *Reader) lose(why error) error {
	r.scanning = true
	return &BadMessageError{Err: why}
}

// skipFrame passes over a frame that is too large. Its head is read if it is there.
func (r *Reader) skipFrame(b *bufio.Reader, size int) error {
	const enough = 64 // for the head of any method
	start, err := b.Peek(4 + min(size, enough))
	if err != nil {
		return err
	}
	bad := &BadMessageError{Err: fmt.Errorf("%w: a frame of %d bytes, %d at most", ErrMalformed, size, maxFrame)}
	d := &decoder{rest: start[4:]}
	if head, err := d.head(); err == nil {
		bad.Head = &head
	}
	r.skip = 4 + size
	return bad
}

// passOver drops what has come of a frame that is passed over, until its end.
func (r *Reader) passOver(b *bufio.Reader) error {
	for r.skip > 0 {
		if _, err := b.Peek(1); err != nil {
			return err
		}
		n, _ := b.Discard(min(r.skip, b.Buffered())) // it is buffered
		r.skip -= n
	}
	return nil
}

// scan drops bytes until something begins as a message does.
func (r *Reader) scan(b *bufio.Reader) error {
	for r.scanning {
		if _, err := b.Peek(1); err != nil {
			return err
		}
		buffered, _ := b.Peek(b.Buffered()) // they are there
		drop, found := findMessage(buffered)
		_, _ = b.Discard(drop) // likewise
		r.scanned += drop
		if found {
			r.scanning, r.scanned = false, 0
			return nil
		}
		if left := len(buffered) - drop; left > 0 { // more must come to tell
			if _, err := b.Peek(left + 1); err != nil {
				return err
			}
		}
	}
	return nil
}

// beginnings are the first bytes of messages behind the frame's size, up to the version's
// type of message and the method's name.
var beginnings = func() (all [][]byte) {
	for _, name := range []string{"execute", "check", "interrupt"} {
		for _, kind := range []MessageType{Call, Oneway} {
			all = append(all, appendBytes([]byte{strictVersion >> 24, strictVersion >> 16 & 0xff, 0, byte(kind)}, []byte(name)))
		}
	}
	return all
}()

// sizeBytes is how many bytes a frame's size has.
const sizeBytes = 4

// findMessage looks for the first bytes that begin as a message does. It returns how many
// bytes before them can be dropped, and whether all of that beginning is there.
func findMessage(p []byte) (drop int, found bool) {
	version := beginnings[0][:3] // the same for all
	for from := sizeBytes; from < len(p); {
		i := bytes.Index(p[from:], version)
		if i < 0 {
			break
		}
		at := from + i - sizeBytes
		if whole, begins := beginsMessage(p[at:]); begins {
			return at, whole
		}
		from += i + 1
	}
	for at := max(0, len(p)-sizeBytes-len(version)+1); at < len(p); at++ { // the version may be yet to come
		if whole, begins := beginsMessage(p[at:]); begins {
			return at, whole
		}
	}
	return len(p), false
}

// beginsMessage tells whether bytes begin as a message does, as far as they go, and whether
// they go far enough to tell.
func beginsMessage(p []byte) (whole, begins bool) {
	var size [sizeBytes]byte
	copy(size[:], p)
	if binary.BigEndian.Uint32(size[:]) > maxFrame {
		return false, false
	}
	behind := p[min(sizeBytes, len(p)):]
	for _, beginning := range beginnings {
		if bytes.HasPrefix(behind, beginning) {
			return true, true
		}
		if bytes.HasPrefix(beginning, behind) {
			return false, true
		}
	}
	return false, false
}

// parse reads a frame. headRead tells whether the message's head was there, whatever the
// error.
func parse(frame []byte) (m *Message, headRead bool, err error) {
	d := &decoder{rest: frame}
	head, err := d.head()
	m = &Message{Head: head}
	if err != nil {
		return m, false, err
	}
	if m.Type != Call && m.Type != Oneway {
		return m, true, fmt.Errorf("%w: message type %d", ErrMalformed, m.Type)
	}
	d.structure(m.argument(d), 0)
	if d.err != nil {
		return m, true, d.err
	}
	if len(d.rest) > 0 {
		return m, true, fmt.Errorf("%w: %d bytes after the arguments", ErrMalformed, len(d.rest))
	}
	switch {
	case m.Name == "execute" && m.Fields == nil && m.Err == nil:
		m.Err = errors.New("execute without fields")
	case m.Name == "execute" && len(m.Body) > MaxBody:
		m.Err = fmt.Errorf("a body of %d bytes, %d at most", len(m.Body), MaxBody)
	}
	return m, true, nil
}

// argument gives a function that reads an argument of the message's method, and tells
// whether it is one.
func (m *Message) argument(d *decoder) func(id int16, kind byte) bool {
	return func(id int16, kind byte) bool {
		switch {
		case m.Name == "execute" && id == 1 && kind == typeMap:
			m.Fields = d.stringMap(m)
		case m.Name == "execute" && id == 2 && kind == typeString:
			m.Body = d.bytes()
		case m.Name == "interrupt" && id == 1 && kind == typeI32:
			m.CanceledSeq = int32(d.u32())
		case m.Name == "check" && id == 1 && kind == typeBool:
			m.Probe = d.u8() != 0
		default:
			return false
		}
		return true
	}
}
