package thrift

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
)

// BadMessageError is returned for bytes that are not a message, and that were skipped or
// are about to be. The messages that follow can be read.
type BadMessageError struct {
	Head *Head // of the message, if it has one that can be read; else nil
	Err  error // wraps ErrMalformed
}

// Error implements error.
func (e *BadMessageError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *BadMessageError) Unwrap() error { return e.Err }

// Reader reads the messages of one connection. Its zero value is ready. What is not a
// message is skipped as a whole frame; where the frame makes no sense either, bytes are
// skipped until some are found with which a message begins.
type Reader struct {
	bytesToSkip  int  // of a frame that is skipped
	scanning     bool // it is unknown where the next message begins
	bytesScanned int  // skipped since then
}

// Scanned returns how many bytes were skipped since it is unknown where the next message
// begins; 0 while that is known.
func (r *Reader) Scanned() int { return r.bytesScanned }

// Read reads the next message. Nothing of a message is consumed before its whole frame has
// arrived, so Read may be called again after a read that was interrupted. It may also be
// called again after a *BadMessageError; any other error is the connection's.
func (r *Reader) Read(b *bufio.Reader) (*Message, error) {
	if err := r.skipRest(b); err != nil {
		return nil, err
	}
	if err := r.scan(b); err != nil {
		return nil, err
	}
	sizeBytes, err := b.Peek(frameSizeLength)
	if err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(sizeBytes)
	if size > maxPlausibleFrame { // before anything of that size is waited for
		return nil, r.startScanning(tooLarge(int(size)))
	}
	if err := checkPrefix(b, int(size)); errors.Is(err, ErrMalformed) {
		return nil, r.startScanning(err)
	} else if err != nil {
		return nil, err
	}
	if size > maxFrame {
		return nil, r.skipFrame(b, int(size))
	}
	return r.readFrame(b, int(size))
}

// readFrame reads a frame of a size. If it can't be parsed, it is skipped.
func (r *Reader) readFrame(b *bufio.Reader, size int) (*Message, error) {
	frame, err := b.Peek(frameSizeLength + size)
	if err != nil {
		return nil, err
	}
	m, headRead, err := parse(append([]byte(nil), frame[frameSizeLength:]...))
	if err == nil {
		_, _ = b.Discard(len(frame)) // it is buffered
		return m, nil
	}
	bad := &BadMessageError{Err: err}
	end := frameEnd(frame)
	r.scanning = end < len(frame)
	if headRead && !r.scanning {
		bad.Head = &m.Head
	}
	_, _ = b.Discard(end) // it is buffered
	return nil, bad
}

// checkPrefix checks that a frame begins as a message does, before the rest is waited for.
// The error wraps ErrMalformed if it does not, else it is the connection's.
func checkPrefix(b *bufio.Reader, size int) error {
	if size < prefixSize-frameSizeLength {
		return fmt.Errorf("%w: a frame of %d bytes", ErrMalformed, size)
	}
	start, err := b.Peek(prefixSize)
	if err != nil {
		return err
	}
	if version := binary.BigEndian.Uint32(start[frameSizeLength:]); version&versionMask != strictVersion {
		return fmt.Errorf("%w: version %#x", ErrMalformed, version)
	}
	return nil
}

// tooLarge is the error for a frame of a size.
func tooLarge(size int) error {
	return fmt.Errorf("%w: a frame of %d bytes, %d at most", ErrMalformed, size, maxFrame)
}

// skipFrame starts to skip a frame that is too large. Its head is read if it is there.
func (r *Reader) skipFrame(b *bufio.Reader, size int) error {
	const enough = 64 // for the head of any method
	start, err := b.Peek(frameSizeLength + min(size, enough))
	if err != nil {
		return err
	}
	bad := &BadMessageError{Err: tooLarge(size)}
	d := &decoder{rest: start[frameSizeLength:]}
	if head, err := d.readHead(); err == nil {
		bad.Head = &head
	}
	r.bytesToSkip = frameSizeLength + size
	return bad
}

// skipRest skips what has arrived of a frame that is skipped, until its end.
func (r *Reader) skipRest(b *bufio.Reader) error {
	for r.bytesToSkip > 0 {
		if _, err := b.Peek(1); err != nil {
			return err
		}
		n, _ := b.Discard(min(r.bytesToSkip, b.Buffered())) // it is buffered
		r.bytesToSkip -= n
	}
	return nil
}

// parse parses a frame. headRead reports whether the message's head could be read, whatever
// the error.
func parse(frame []byte) (m *Message, headRead bool, err error) {
	d := &decoder{rest: frame}
	head, err := d.readHead()
	m = &Message{Head: head}
	if err != nil {
		return m, false, err
	}
	if m.Type != Call && m.Type != Oneway {
		return m, true, fmt.Errorf("%w: message type %d", ErrMalformed, m.Type)
	}
	d.readStruct(m.argumentReader(d), 0)
	if d.err != nil {
		return m, true, d.err
	}
	if len(d.rest) > 0 {
		return m, true, fmt.Errorf("%w: %d bytes after the arguments", ErrMalformed, len(d.rest))
	}
	switch {
	case m.Name == methodExecute && m.Fields == nil && m.Err == nil:
		m.Err = errors.New("execute without fields")
	case m.Name == methodExecute && len(m.Body) > MaxBody:
		m.Err = fmt.Errorf("a body of %d bytes, %d at most", len(m.Body), MaxBody)
	}
	return m, true, nil
}

// argumentReader returns a function that reads an argument of the message's method, and
// reports whether it is one.
func (m *Message) argumentReader(d *decoder) func(id int16, kind byte) bool {
	return func(id int16, kind byte) bool {
		switch {
		case m.Name == methodExecute && id == 1 && kind == typeMap:
			m.Fields = d.readStringMap(m)
		case m.Name == methodExecute && id == 2 && kind == typeString:
			m.Body = d.bytes()
		case m.Name == methodInterrupt && id == 1 && kind == typeI32:
			m.CanceledSeq = int32(d.u32())
		case m.Name == methodCheck && id == 1 && kind == typeBool:
			m.Probe = d.u8() != 0
		default:
			return false
		}
		return true
	}
}
