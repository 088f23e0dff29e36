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
	// headerSize is the size of a packet's header in bytes. The header has the first modifier,
	// the size of the variables as a 16-bit little-endian integer, and the second modifier.
	headerSize = 4

	// maxVarsSize is the maximum size of a packet's variables, and of a name or a value, in
	// bytes.
	maxVarsSize = 0xffff

	// readChunk is the number of bytes read at a time. The decoder grows its buffer by the
	// bytes that have arrived, and never allocates the length that a packet states.
	readChunk = 4 << 10

	contentLength = "CONTENT_LENGTH"
)

// Request is a packet with its body.
type Request struct {
	Modifier1, Modifier2 byte
	Vars                 []Var
	Body                 []byte
}

// Get returns the value of the variable name, or "" if the request has no such variable.
func (r *Request) Get(name string) string {
	for _, v := range r.Vars {
		if v.Name == name {
			return v.Value
		}
	}
	return ""
}

// stage is the part of a request that the decoder reads next.
type stage int

const (
	readingHeader stage = iota
	readingVars
	readingBody
)

// Decoder reads one request. It keeps the bytes that have arrived, so callers may retry Read
// after a read error such as a timeout.
type Decoder struct {
	MaxBody int // in bytes; for a larger body, the error of Read wraps ErrTooLarge

	started  bool
	stage    stage
	partSize int    // size of the part that is being read, in bytes
	buf      []byte // the bytes of that part that have arrived
	req      Request
}

// Started reports whether any byte of the request has arrived.
func (d *Decoder) Started() bool { return d.started }

// Read reads until the request is complete. The error is io.EOF if the input ends before the
// request, and wraps io.ErrUnexpectedEOF if it ends within the request. It wraps ErrMalformed
// or ErrTooLarge if the request can't be accepted.
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

// readHeader reads a packet's header. The error wraps ErrMalformed if the first modifier is not
// supported.
func (d *Decoder) readHeader(r *bufio.Reader) error {
	header, err := r.Peek(headerSize)
	d.started = len(header) > 0
	if err != nil {
		return readError(err, d.started)
	}
	d.req.Modifier1, d.req.Modifier2 = header[0], header[3]
	d.partSize = int(binary.LittleEndian.Uint16(header[1:]))
	if _, err := r.Discard(headerSize); err != nil {
		return err
	}
	d.stage = readingVars
	if m := d.req.Modifier1; m != ModifierRequest && m != ModifierPing {
		return fmt.Errorf("%w: modifier %d", ErrMalformed, m)
	}
	return nil
}

// fill reads until the current part is complete.
func (d *Decoder) fill(r *bufio.Reader) error {
	var chunk [readChunk]byte
	for len(d.buf) < d.partSize {
		n, err := r.Read(chunk[:min(readChunk, d.partSize-len(d.buf))])
		d.buf = append(d.buf, chunk[:n]...)
		if err != nil && len(d.buf) < d.partSize {
			return readError(err, true)
		}
	}
	return nil
}

// readError returns the error of a read. It replaces io.EOF by an error that wraps
// io.ErrUnexpectedEOF if a part of the request has arrived.
func readError(err error, started bool) error {
	if errors.Is(err, io.EOF) && started {
		return fmt.Errorf("reading a request: %w", io.ErrUnexpectedEOF)
	}
	return err
}

// parseVars parses the variables, and sets partSize to the length of the body.
func (d *Decoder) parseVars() error {
	for rest := d.buf; len(rest) > 0; {
		name, afterName, hasName := cutString(rest)
		value, afterValue, hasValue := cutString(afterName)
		if !hasName || !hasValue || name == "" {
			return fmt.Errorf("%w: variables end inside one", ErrMalformed)
		}
		d.req.Vars = append(d.req.Vars, Var{name, value})
		rest = afterValue
	}
	d.partSize = 0
	if length := d.req.Get(contentLength); length != "" {
		n, err := strconv.ParseUint(length, 10, 63)
		if err != nil {
			return fmt.Errorf("%w: CONTENT_LENGTH %q", ErrMalformed, length)
		}
		if n > uint64(d.MaxBody) {
			return fmt.Errorf("%w: a body of %d bytes, %d at most", ErrTooLarge, n, d.MaxBody)
		}
		d.partSize = int(n)
	}
	return nil
}

// cutString splits b after a string that is preceded by its length. ok is false if b does not
// hold the whole string.
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

// AppendRequest appends a packet and its body to dst. It sets CONTENT_LENGTH to the length of
// the body, and ignores a variable of that name in vars. The error wraps ErrTooLarge if the
// variables don't fit in a packet.
func AppendRequest(dst []byte, vars []Var, body []byte) ([]byte, error) {
	start := len(dst)
	dst = append(dst, ModifierRequest, 0, 0, 0)
	dst, err := appendVar(dst, Var{contentLength, strconv.Itoa(len(body))})
	for _, v := range vars {
		if v.Name != contentLength {
			var e error
			dst, e = appendVar(dst, v)
			err = errors.Join(err, e)
		}
	}
	size := len(dst) - start - headerSize
	if size > maxVarsSize {
		err = errors.Join(err, fmt.Errorf("%w: variables of %d bytes", ErrTooLarge, size))
	}
	if err != nil {
		return nil, err
	}
	binary.LittleEndian.PutUint16(dst[start+1:], uint16(size))
	return append(dst, body...), nil
}

// appendVar appends a variable to dst.
func appendVar(dst []byte, v Var) ([]byte, error) {
	if len(v.Name) > maxVarsSize || len(v.Value) > maxVarsSize {
		return dst, fmt.Errorf("%w: variable of %d bytes", ErrTooLarge, len(v.Name)+len(v.Value))
	}
	dst = binary.LittleEndian.AppendUint16(dst, uint16(len(v.Name)))
	dst = append(dst, v.Name...)
	dst = binary.LittleEndian.AppendUint16(dst, uint16(len(v.Value)))
	return append(dst, v.Value...), nil
}

// AppendPong appends to dst the answer to a ping, which is a packet without variables.
func AppendPong(dst []byte) []byte {
	const pongModifier2 = 1
	return append(dst, ModifierPing, 0, 0, pongModifier2)
}
