// Package uwsgi is the codec of the uwsgi protocol: a packet of variables with
// a request body behind it, answered by an HTTP response. It takes no decisions.
package uwsgi

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// The first modifiers that are understood.
const (
	ModifierRequest = 0
	ModifierPing    = 100
)

// The limits of a response.
const (
	MaxResult  = 256 << 10
	maxLine    = 8 << 10
	maxHeaders = 100
	chunk      = 4 << 10 // of what is read at a time; nothing of a claimed length is allocated ahead
)

// The faults of what a peer sent.
var (
	ErrMalformed = errors.New("malformed")
	ErrTooLarge  = errors.New("too large")
)

// Var is a variable, as the web server passes it.
type Var struct{ Name, Value string }

// Request is a packet with its body.
type Request struct {
	Modifier1, Modifier2 byte
	Vars                 []Var
	Body                 []byte
}

// Get gives the value of a variable, or "".
func (r *Request) Get(name string) string {
	for _, v := range r.Vars {
		if v.Name == name {
			return v.Value
		}
	}
	return ""
}

// Decoder reads one request. Read may be called again after an interrupted
// read: what has come is kept.
type Decoder struct {
	MaxBody int // a larger body is ErrTooLarge

	started bool
	stage   int
	need    int
	buf     []byte
	req     Request
}

// Started tells whether a part of the request has come.
func (d *Decoder) Started() bool { return d.started }

// Read reads on until the request is whole.
func (d *Decoder) Read(r *bufio.Reader) (*Request, error) {
	if d.stage == 0 {
		head, err := r.Peek(4)
		d.started = len(head) > 0
		if err != nil {
			return nil, d.broken(err, d.started)
		}
		d.req.Modifier1, d.req.Modifier2 = head[0], head[3]
		d.need = int(binary.LittleEndian.Uint16(head[1:]))
		r.Discard(4)
		d.stage = 1
		if m := d.req.Modifier1; m != ModifierRequest && m != ModifierPing {
			return nil, fmt.Errorf("%w: modifier %d", ErrMalformed, m)
		}
	}
	if d.stage == 1 {
		if err := d.fill(r); err != nil {
			return nil, err
		}
		if err := d.vars(); err != nil {
			return nil, err
		}
		d.buf, d.stage = nil, 2
	}
	if err := d.fill(r); err != nil {
		return nil, err
	}
	d.req.Body = d.buf
	return &d.req, nil
}

// fill reads until as much is there as is needed.
func (d *Decoder) fill(r *bufio.Reader) error {
	var part [chunk]byte
	for len(d.buf) < d.need {
		n, err := r.Read(part[:min(chunk, d.need-len(d.buf))])
		d.buf = append(d.buf, part[:n]...)
		if err != nil && len(d.buf) < d.need {
			return d.broken(err, true)
		}
	}
	return nil
}

// broken tells an end inside a request from one before it.
func (d *Decoder) broken(err error, inside bool) error {
	if errors.Is(err, io.EOF) && inside {
		return fmt.Errorf("reading a request: %w", io.ErrUnexpectedEOF)
	}
	return err
}

// vars reads the variables, and from them how long the body is.
func (d *Decoder) vars() error {
	rest := d.buf
	next := func() (string, bool) {
		if len(rest) < 2 {
			return "", false
		}
		n := int(binary.LittleEndian.Uint16(rest))
		if len(rest) < 2+n {
			return "", false
		}
		s := string(rest[2 : 2+n])
		rest = rest[2+n:]
		return s, true
	}
	for len(rest) > 0 {
		name, ok := next()
		value, ok2 := next()
		if !ok || !ok2 || name == "" {
			return fmt.Errorf("%w: variables end inside one", ErrMalformed)
		}
		d.req.Vars = append(d.req.Vars, Var{name, value})
	}
	d.need = 0
	if length := d.req.Get("CONTENT_LENGTH"); length != "" {
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

// AppendRequest appends a packet and its body. CONTENT_LENGTH is set from the body.
func AppendRequest(to []byte, vars []Var, body []byte) ([]byte, error) {
	at := len(to)
	to = append(to, ModifierRequest, 0, 0, 0)
	add := func(name, value string) error {
		if len(name) > 0xffff || len(value) > 0xffff {
			return fmt.Errorf("%w: variable of %d bytes", ErrTooLarge, len(name)+len(value))
		}
		to = binary.LittleEndian.AppendUint16(to, uint16(len(name)))
		to = append(to, name...)
		to = binary.LittleEndian.AppendUint16(to, uint16(len(value)))
		to = append(to, value...)
		return nil
	}
	err := add("CONTENT_LENGTH", strconv.Itoa(len(body)))
	for _, v := range vars {
		if v.Name != "CONTENT_LENGTH" {
			err = errors.Join(err, add(v.Name, v.Value))
		}
	}
	size := len(to) - at - 4
	if size > 0xffff {
		err = errors.Join(err, fmt.Errorf("%w: variables of %d bytes", ErrTooLarge, size))
	}
	if err != nil {
		return nil, err
	}
	binary.LittleEndian.PutUint16(to[at+1:], uint16(size))
	return append(to, body...), nil
}

// AppendPong appends the answer to a ping.
func AppendPong(to []byte) []byte { return append(to, ModifierPing, 0, 0, 1) }

// Response is an HTTP response.
type Response struct {
	Status  int
	Headers []Var // without those that frame the body
	Body    []byte
}

// framing headers belong to one connection and are written anew.
func framing(name string) bool {
	switch strings.ToLower(name) {
	case "content-length", "connection", "keep-alive", "transfer-encoding":
		return true
	}
	return false
}

// AppendResponse appends a response after which the connection is closed.
func AppendResponse(to []byte, r Response) []byte {
	to = fmt.Appendf(to, "HTTP/1.1 %d %s\r\n", r.Status, http.StatusText(r.Status))
	for _, h := range r.Headers {
		if !framing(h.Name) {
			to = fmt.Appendf(to, "%s: %s\r\n", h.Name, h.Value)
		}
	}
	to = fmt.Appendf(to, "Content-Length: %d\r\nConnection: close\r\n\r\n", len(r.Body))
	return append(to, r.Body...)
}

// ReadResponse reads the response to a request of a method whole: as long as it
// says, or to the connection's end where it does not.
func ReadResponse(r *bufio.Reader, method string) (*Response, error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(line, " ")
	word, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(word)
	if !strings.HasPrefix(version, "HTTP/1.") || err != nil || status < 200 || status > 599 {
		return nil, fmt.Errorf("%w: status line %q", ErrMalformed, line)
	}
	resp, length := &Response{Status: status}, -1
	for {
		if line, err = readLine(r); err != nil {
			return nil, err
		}
		if line == "" {
			break
		}
		name, value, ok := strings.Cut(line, ":")
		if value = strings.TrimSpace(value); !ok || name == "" || strings.ContainsAny(name, " \t") {
			return nil, fmt.Errorf("%w: header %q", ErrMalformed, line)
		}
		if len(resp.Headers) == maxHeaders {
			return nil, fmt.Errorf("%w: over %d headers", ErrTooLarge, maxHeaders)
		}
		switch {
		case strings.EqualFold(name, "Content-Length"):
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil {
				return nil, fmt.Errorf("%w: content length %q", ErrMalformed, value)
			}
			length = int(n)
		case strings.EqualFold(name, "Transfer-Encoding"):
			return nil, fmt.Errorf("%w: transfer encoding %q", ErrMalformed, value)
		case !framing(name):
			resp.Headers = append(resp.Headers, Var{name, value})
		}
	}
	if length > MaxResult {
		return nil, fmt.Errorf("%w: a result of %d bytes, %d at most", ErrTooLarge, length, MaxResult)
	}
	if method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified {
		return resp, nil
	}
	most := int64(length)
	if length < 0 {
		most = MaxResult + 1
	}
	if resp.Body, err = io.ReadAll(io.LimitReader(r, most)); err != nil {
		return nil, fmt.Errorf("reading a result: %w", err)
	}
	if length >= 0 && len(resp.Body) < length {
		return nil, fmt.Errorf("reading a result: %w", io.ErrUnexpectedEOF)
	}
	if len(resp.Body) > MaxResult {
		return nil, fmt.Errorf("%w: a result of over %d bytes", ErrTooLarge, MaxResult)
	}
	return resp, nil
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull) || len(line) > maxLine:
		return "", fmt.Errorf("%w: a long line", ErrTooLarge)
	case errors.Is(err, io.EOF):
		return "", io.ErrUnexpectedEOF
	}
	return strings.TrimRight(string(line), "\r\n"), err
}
