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

	// minBuffer is the size of the decoder's first buffer, in bytes. The decoder doubles its
	// buffer when the bytes that have arrived fill it, and never allocates the length that a
	// packet states.
	minBuffer = 4 << 10

	// decodedVarBytes is the memory for one variable of a decoded request beside its bytes: its
	// two string headers in the Request, and again where the request is passed on.
	decodedVarBytes = 64

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

	// Reserve, if not nil, is called before the decoder's memory grows, with the bytes that it
	// needs in all. Read returns its error.
	Reserve func(bytes int) error

	started  bool
	stage    stage
	partSize int    // size of the part that is being read, in bytes
	buf      []byte // the bytes of that part that have arrived
	vars     string // the variables, encoded; they are decoded once the body has arrived
	varCount int
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
		if err := d.scanVars(); err != nil {
			return nil, err
		}
		d.stage = readingBody
	}
	if err := d.fill(r); err != nil {
		return nil, err
	}
	if err := d.decodeVars(); err != nil {
		return nil, err
	}
	d.req.Body = d.buf
	return &d.req, nil
}

// Discard discards the bytes of an incomplete request, and reports whether there was one. Read
// must not be called after that.
func (d *Decoder) Discard() bool {
	isIncomplete := d.started && d.req.Vars == nil
	d.buf, d.vars = nil, ""
	return isIncomplete
}

// Size returns the memory that a request takes once it is decoded, in bytes.
func (r *Request) Size() int {
	size := len(r.Body) + len(r.Vars)*decodedVarBytes
	for _, v := range r.Vars {
		size += len(v.Name) + len(v.Value)
	}
	return size
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
	for len(d.buf) < d.partSize {
		if err := d.grow(); err != nil {
			return err
		}
		n, err := r.Read(d.buf[len(d.buf):min(cap(d.buf), d.partSize)])
		d.buf = d.buf[:len(d.buf)+n]
		if err != nil && len(d.buf) < d.partSize {
			return readError(err, true)
		}
	}
	return nil
}

// grow doubles the buffer if it is full.
func (d *Decoder) grow() error {
	if len(d.buf) < cap(d.buf) {
		return nil
	}
	size := min(d.partSize, max(minBuffer, 2*cap(d.buf)))
	if err := d.reserve(size + len(d.vars)); err != nil {
		return err
	}
	d.buf = append(make([]byte, 0, size), d.buf...)
	return nil
}

func (d *Decoder) reserve(bytes int) error {
	if d.Reserve == nil {
		return nil
	}
	return d.Reserve(bytes)
}

// readError returns the error of a read. It replaces io.EOF by an error that wraps
// io.ErrUnexpectedEOF if a part of the request has arrived.
func readError(err error, started bool) error {
	if errors.Is(err, io.EOF) && started {
		return fmt.Errorf("reading a request: %w", io.ErrUnexpectedEOF)
	}
	return err
}

// scanVars checks and counts the variables, and sets partSize to the length of the body.
func (d *Decoder) scanVars() error {
	if err := d.reserve(2 * len(d.buf)); err != nil { // for the string and the buffer that it is made from
		return err
	}
	d.vars, d.buf = string(d.buf), nil
	length, hasLength := "", false
	for rest := d.vars; len(rest) > 0; d.varCount++ {
		v, afterVar, ok := cutVar(rest)
		if !ok {
			return fmt.Errorf("%w: variables end inside one", ErrMalformed)
		}
		if v.Name == contentLength && !hasLength {
			length, hasLength = v.Value, true
		}
		rest = afterVar
	}
	return d.setBodySize(length)
}

// setBodySize sets partSize to the value of CONTENT_LENGTH, which is empty if there is no body.
func (d *Decoder) setBodySize(length string) error {
	d.partSize = 0
	if length == "" {
		return nil
	}
	n, err := strconv.ParseUint(length, 10, 63)
	if err != nil {
		return fmt.Errorf("%w: CONTENT_LENGTH %q", ErrMalformed, length)
	}
	if n > uint64(d.MaxBody) {
		return fmt.Errorf("%w: a body of %d bytes, %d at most", ErrTooLarge, n, d.MaxBody)
	}
	d.partSize = int(n)
	return nil
}

// decodeVars decodes the variables, which scanVars has checked.
func (d *Decoder) decodeVars() error {
	if err := d.reserve(len(d.vars) + cap(d.buf) + d.varCount*decodedVarBytes); err != nil {
		return err
	}
	d.req.Vars = make([]Var, 0, d.varCount)
	for rest := d.vars; len(rest) > 0; {
		v, afterVar, _ := cutVar(rest)
		d.req.Vars = append(d.req.Vars, v)
		rest = afterVar
	}
	return nil
}

// cutVar splits encoded variables after the first one. ok is false if s does not start with a
// whole variable that has a name.
func cutVar(s string) (v Var, rest string, ok bool) {
	name, afterName, hasName := cutString(s)
	value, afterValue, hasValue := cutString(afterName)
	return Var{name, value}, afterValue, hasName && hasValue && name != ""
}

// cutString splits encoded after a string that is preceded by its length. ok is false if
// encoded does not hold the whole string.
func cutString(encoded string) (s, rest string, ok bool) {
	const lengthSize = 2
	if len(encoded) < lengthSize {
		return "", "", false
	}
	end := lengthSize + int(encoded[0]) + int(encoded[1])<<8 // little-endian
	if len(encoded) < end {
		return "", "", false
	}
	return encoded[lengthSize:end], encoded[end:], true
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
