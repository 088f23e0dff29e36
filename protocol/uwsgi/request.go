package uwsgi

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
)

const (
	// headerSize is the bytes of a packet's header: the first modifier, the size of the
	// variables in little-endian order, and the second modifier.
	headerSize = 4

	// maxVarsSize bounds the variables of a packet, and the name or value of one.
	maxVarsSize = 0xffff

	// readChunk is how many bytes are read at a time: nothing of a claimed length is
	// allocated before its bytes have arrived.
	readChunk = 4 << 10

	contentLength = "CONTENT_LENGTH"
)

// Request is a packet with its body.
type Request struct {
	Modifier1, Modifier2 byte
	Vars                 []Var
	Body                 []byte
}

// Get returns the value of a variable, or "" where the request has none of the name.
func (r *Request) Get(name string) string {
	for _, v := range r.Vars {
		if v.Name == name {
			return v.Value
		}
	}
	return ""
}

// stage is the part of a request that is read next.
type stage int

const (
	readingHeader stage = iota
	readingVars
	readingBody
)

// Decoder reads one request. Read may be called again after a read that was interrupted:
// it keeps what has arrived.
type Decoder struct {
	MaxBody int // in bytes; a larger body is ErrTooLarge

	started bool
	stage   stage
	need    int // bytes of the part that is read
	buf     []byte
	req     Request
}

// Started reports whether a part of the request has arrived.
func (d *Decoder) Started() bool { return d.started }

// Read reads until the request is complete. The error is io.EOF where nothing arrived
// before the end of the input, and wraps io.ErrUnexpectedEOF where a part did; it wraps
// ErrMalformed or ErrTooLarge where the request can't be accepted.
func (d *Decoder) Read(r *bufio.Reader) (*Request, error) {
	if d.stage == readingHeader {
		if err := d.readHeader(r); err != nil {
			return nil, err
		}
	}
	if d.stage == readingVars {
		if err := d.fill(r); err != nil {
			return nil, err
		}
		if err := d.parseVars(); err != nil {
			return nil, err
		}
		d.buf, d.stage = nil, readingBody
	}
	if err := d.fill(r); err != nil {
		return nil, err
	}
	d.req.Body = d.buf
	return &d.req, nil
}

// readHeader reads a packet's header. A modifier that is not supported is ErrMalformed.
func (d *Decoder) readHeader(r *bufio.Reader) error {
	header, err := r.Peek(headerSize)
	d.started = len(header) > 0
	if err != nil {
		return readError(err, d.started)
	}
	d.req.Modifier1, d.req.Modifier2 = header[0], header[3]
	d.need = int(binary.LittleEndian.Uint16(header[1:]))
	if _, err := r.Discard(headerSize); err != nil {
		return err
	}
	d.stage = readingVars
	if m := d.req.Modifier1; m != ModifierRequest && m != ModifierPing {
		return fmt.Errorf("%w: modifier %d", ErrMalformed, m)
	}
	return nil
}

// fill reads until all bytes of the current part have arrived.
func (d *Decoder) fill(r *bufio.Reader) error {
	var chunk [readChunk]byte
	for len(d.buf) < d.need {
		n, err := r.Read(chunk[:min(readChunk, d.need-len(d.buf))])
		d.buf = append(d.buf, chunk[:n]...)
		if err != nil && len(d.buf) < d.need {
			return readError(err, true)
		}
	}
	return nil
}

// readError tells an end of the input inside a request from one before it.
func readError(err error, inside bool) error {
	if errors.Is(err, io.EOF) && inside {
		return fmt.Errorf("reading a request: %w", io.ErrUnexpectedEOF)
	}
	return err
}

// parseVars parses the variables, and finds in them how long the body is.
func (d *Decoder) parseVars() error {
	for rest := d.buf; len(rest) > 0; {
		name, afterName, ok := cutString(rest)
		value, afterValue, ok2 := cutString(afterName)
		if !ok || !ok2 || name == "" {
			return fmt.Errorf("%w: variables end inside one", ErrMalformed)
		}
		d.req.Vars = append(d.req.Vars, Var{name, value})
		rest = afterValue
	}
	d.need = 0
	if length := d.req.Get(contentLength); length != "" {
		n, err := strconv.ParseUint(length, 10, 63)
		if err != nil {
			return fmt.Errorf("%w: CONTENT_LENGTH %q", ErrMalformed, length)
		}
		if n > uint64(d.MaxBody) {
			return fmt.Errorf("%w: a body of %d bytes, %d at most", ErrTooLarge, n, d.MaxBody)
		}
		d.need = int(n)
	}
	return nil
}

// cutString cuts a string off that follows its length; ok is false where it is incomplete.
func cutString(b []byte) (s string, rest []byte, ok bool) {
	const lengthSize = 2
	if len(b) < lengthSize {
		return "", nil, false
	}
	end := lengthSize + int(binary.LittleEndian.Uint16(b))
	if len(b) < end {
		return "", nil, false
	}
	return string(b[lengthSize:end]), b[end:], true
}

// AppendRequest appends a packet and its body. CONTENT_LENGTH is set from the body, in
// place of a variable of that name. It is ErrTooLarge if the variables do not fit a packet.
func AppendRequest(to []byte, vars []Var, body []byte) ([]byte, error) {
	start := len(to)
	to = append(to, ModifierRequest, 0, 0, 0)
	to, err := appendVar(to, Var{contentLength, strconv.Itoa(len(body))})
	for _, v := range vars {
		if v.Name != contentLength {
			var e error
			to, e = appendVar(to, v)
			err = errors.Join(err, e)
		}
	}
	size := len(to) - start - headerSize
	if size > maxVarsSize {
		err = errors.Join(err, fmt.Errorf("%w: variables of %d bytes", ErrTooLarge, size))
	}
	if err != nil {
		return nil, err
	}
	binary.LittleEndian.PutUint16(to[start+1:], uint16(size))
	return append(to, body...), nil
}

// appendVar appends a variable.
func appendVar(to []byte, v Var) ([]byte, error) {
	if len(v.Name) > maxVarsSize || len(v.Value) > maxVarsSize {
		return to, fmt.Errorf("%w: variable of %d bytes", ErrTooLarge, len(v.Name)+len(v.Value))
	}
	to = binary.LittleEndian.AppendUint16(to, uint16(len(v.Name)))
	to = append(to, v.Name...)
	to = binary.LittleEndian.AppendUint16(to, uint16(len(v.Value)))
	return append(to, v.Value...), nil
}

// AppendPong appends the answer to a ping: a packet without variables.
func AppendPong(to []byte) []byte {
	const pongModifier2 = 1
	return append(to, ModifierPing, 0, 0, pongModifier2)
}
