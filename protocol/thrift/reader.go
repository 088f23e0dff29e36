package thrift

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
)

// BadMessageError reports bytes that are not a valid message. The Reader has skipped them or
// skips them at the next Read; messages that follow can be read.
type BadMessageError struct {
	Header *Header // the message's header; nil if it could not be decoded
	Err    error   // wraps ErrMalformed
}

// Error returns the text of Err.
func (e *BadMessageError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *BadMessageError) Unwrap() error { return e.Err }

// Reader reads the messages of one connection. Its zero value is ready to use. It skips the
// frame of a message that can't be decoded. If the frame is not valid either, or another
// message starts within it, Reader resynchronizes: it skips bytes up to the next bytes that
// are the start of a message.
type Reader struct {
	bytesToSkip int  // bytes left of a frame that is being skipped
	resyncing   bool // the reader is resynchronizing: the start of the next message is unknown
	resyncBytes int  // bytes skipped by the current resynchronization
}

// ResyncBytes returns the number of bytes that the current resynchronization has skipped. It is
// 0 while the reader is synchronized.
func (r *Reader) ResyncBytes() int { return r.resyncBytes }

// Read reads the next message. It consumes nothing of a valid message until the whole frame
// has arrived, so callers may retry it after a read error such as a timeout. They may also
// call it again after a *BadMessageError. All other errors come from reading the connection.
func (r *Reader) Read(b *bufio.Reader) (*Message, error) {
	if err := r.skipRest(b); err != nil {
		return nil, err
	}
	if err := r.resync(b); err != nil {
		return nil, err
	}
	sizeBytes, err := b.Peek(frameSizeLength)
	if err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(sizeBytes)
	if size > maxPlausibleFrame { // don't wait for that many bytes
		return nil, r.startResync(tooLarge(int(size)))
	}
	if err := checkPrefix(b, int(size)); errors.Is(err, ErrMalformed) {
		return nil, r.startResync(err)
	} else if err != nil {
		return nil, err
	}
	if size > maxFrame {
		return nil, r.skipFrame(b, int(size))
	}
	return r.readFrame(b, int(size))
}

// IncompleteCall returns the header of the call that b holds the first bytes of. It returns
// false if they are not those of a call, or the header has not arrived completely.
func (r *Reader) IncompleteCall(b *bufio.Reader) (Header, bool) {
	start, err := b.Peek(b.Buffered())
	if err != nil || r.resyncing || r.bytesToSkip > 0 || len(start) < frameSizeLength {
		return Header{}, false
	}
	header, err := (&decoder{rest: start[frameSizeLength:]}).readHeader()
	return header, err == nil && header.Type == Call
}

// readFrame reads a frame of size bytes. If the message can't be decoded, readFrame skips the
// frame, or its bytes up to the start of another message (see frameEnd).
func (r *Reader) readFrame(b *bufio.Reader, size int) (*Message, error) {
	frame, err := b.Peek(frameSizeLength + size)
	if err != nil {
		return nil, err
	}
	m, headerRead, err := parse(append([]byte(nil), frame[frameSizeLength:]...))
	if err == nil {
		_, _ = b.Discard(len(frame)) // already buffered
		return m, nil
	}
	bad := &BadMessageError{Err: err}
	end := frameEnd(frame)
	r.resyncing = end < len(frame)
	if headerRead && !r.resyncing {
		bad.Header = &m.Header
	}
	_, _ = b.Discard(end) // already buffered
	return nil, bad
}

// checkPrefix checks that a frame starts with the version of a message, before the rest of the
// frame has arrived. The error wraps ErrMalformed if it does not. Other errors come from
// reading the connection.
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

// tooLarge returns the error for a frame of size bytes.
func tooLarge(size int) error {
	return fmt.Errorf("%w: a frame of %d bytes, %d at most", ErrMalformed, size, maxFrame)
}

// skipFrame starts to skip a frame that is too large, and returns the error for it. The error
// has the message's header if that can be decoded.
func (r *Reader) skipFrame(b *bufio.Reader, size int) error {
	const maxHeaderSize = 64 // enough for the header of any method
	start, err := b.Peek(frameSizeLength + min(size, maxHeaderSize))
	if err != nil {
		return err
	}
	bad := &BadMessageError{Err: tooLarge(size)}
	d := &decoder{rest: start[frameSizeLength:]}
	if header, err := d.readHeader(); err == nil {
		bad.Header = &header
	}
	r.bytesToSkip = frameSizeLength + size
	return bad
}

// skipRest skips the rest of a frame that is being skipped, as its bytes arrive.
func (r *Reader) skipRest(b *bufio.Reader) error {
	for r.bytesToSkip > 0 {
		if _, err := b.Peek(1); err != nil {
			return err
		}
		n, _ := b.Discard(min(r.bytesToSkip, b.Buffered())) // already buffered
		r.bytesToSkip -= n
	}
	return nil
}

// parse decodes the message in a frame. headerRead reports whether the message's header could
// be decoded, even if err is not nil.
func parse(frame []byte) (m *Message, headerRead bool, err error) {
	d := &decoder{rest: frame}
	header, err := d.readHeader()
	m = &Message{Header: header}
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
	case m.Name == methodExecute && len(m.Body) > MaxRequestBody:
		m.Err = fmt.Errorf("a body of %d bytes, %d at most", len(m.Body), MaxRequestBody)
	}
	return m, true, nil
}

// argumentReader returns a function that reads a field if it is an argument of the message's
// method, and reports whether it is one.
func (m *Message) argumentReader(d *decoder) func(id int16, typeID byte) bool {
	return func(id int16, typeID byte) bool {
		switch {
		case m.Name == methodExecute && id == 1 && typeID == typeMap:
			m.Fields = d.readStringMap(m)
		case m.Name == methodExecute && id == 2 && typeID == typeString:
			m.Body = d.bytes()
		case m.Name == methodInterrupt && id == 1 && typeID == typeI32:
			m.CanceledSeq = int32(d.u32())
		case m.Name == methodCheck && id == 1 && typeID == typeBool:
			m.Probe = d.u8() != 0
		default:
			return false
		}
		return true
	}
}
