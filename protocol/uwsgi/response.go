package uwsgi

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"quincerail.example/quincerail/protocol/lines"
)

// MaxResponseBody is the maximum size of a response's body, in bytes.
const MaxResponseBody = 256 << 10

// The other limits of a response.
const (
	maxLine    = 8 << 10 // bytes of the status line or of a header line
	maxHeaders = 100
	minStatus  = 200 // interim responses are not supported
)

// Response is an HTTP response.
type Response struct {
	Status  int
	Headers []Var // without the hop-by-hop headers and Content-Length
	Body    []byte
}

// isHopByHop reports whether a header applies to one connection only, so that it is not copied
// to another. That includes Content-Length, which AppendResponse sets.
func isHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "content-length", "connection", "keep-alive", "transfer-encoding":
		return true
	}
	return false
}

// AppendResponse appends a response to dst. The caller must close the connection after the
// response.
func AppendResponse(dst []byte, r Response) []byte {
	dst = fmt.Appendf(dst, "HTTP/1.1 %d %s\r\n", r.Status, http.StatusText(r.Status))
	for _, h := range r.Headers {
		if !isHopByHop(h.Name) {
			dst = fmt.Appendf(dst, "%s: %s\r\n", h.Name, h.Value)
		}
	}
	dst = fmt.Appendf(dst, "Content-Length: %d\r\nConnection: close\r\n\r\n", len(r.Body))
	return append(dst, r.Body...)
}

// unknownLength is the length of a body that extends to the end of the connection.
const unknownLength = -1

// ReadResponse reads the response to a request. method is the request's method. The body has
// the length in Content-Length, or extends to the end of the input without that header. The
// error wraps ErrMalformed or ErrTooLarge, or io.ErrUnexpectedEOF if the response is
// incomplete.
func ReadResponse(r *bufio.Reader, method string) (*Response, error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	status, ok := lines.ParseStatusLine(line, minStatus)
	if !ok {
		return nil, fmt.Errorf("%w: status line %q", ErrMalformed, line)
	}
	response := &Response{Status: status}
	length, err := response.readHeaders(r)
	if err != nil {
		return nil, err
	}
	if length > MaxResponseBody {
		return nil, fmt.Errorf("%w: a result of %d bytes, %d at most", ErrTooLarge, length, MaxResponseBody)
	}
	if hasBody(method, status) {
		response.Body, err = readBody(r, length)
	}
	if err != nil {
		return nil, err
	}
	return response, nil
}

// hasBody reports whether a response with the given status to a request with the given method
// has a body, whatever its headers say.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// readHeaders reads the headers, and returns the length of the body or unknownLength.
func (r *Response) readHeaders(src *bufio.Reader) (length int, err error) {
	length = unknownLength
	for {
		line, err := readLine(src)
		if err != nil || line == "" {
			return length, err
		}
		name, value, ok := strings.Cut(line, ":")
		if value = strings.TrimSpace(value); !ok || name == "" || strings.ContainsAny(name, " \t") {
			return 0, fmt.Errorf("%w: header %q", ErrMalformed, line)
		}
		if len(r.Headers) == maxHeaders {
			return 0, fmt.Errorf("%w: over %d headers", ErrTooLarge, maxHeaders)
		}
		switch {
		case strings.EqualFold(name, "Content-Length"):
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil {
				return 0, fmt.Errorf("%w: content length %q", ErrMalformed, value)
			}
			length = int(n)
		case strings.EqualFold(name, "Transfer-Encoding"):
			return 0, fmt.Errorf("%w: transfer encoding %q", ErrMalformed, value)
		case !isHopByHop(name):
			r.Headers = append(r.Headers, Var{name, value})
		}
	}
}

// readBody reads a body of length bytes, or until the end of the input if length is
// unknownLength.
func readBody(r *bufio.Reader, length int) ([]byte, error) {
	limit := int64(length)
	if length == unknownLength {
		limit = MaxResponseBody + 1
	}
	body, err := io.ReadAll(io.LimitReader(r, limit))
	switch {
	case err != nil:
		return nil, fmt.Errorf("reading a result: %w", err)
	case length != unknownLength && len(body) < length:
		return nil, fmt.Errorf("reading a result: %w", io.ErrUnexpectedEOF)
	case len(body) > MaxResponseBody:
		return nil, fmt.Errorf("%w: a result of over %d bytes", ErrTooLarge, MaxResponseBody)
	}
	return body, nil
}

// readLine reads a line of a response. It returns io.ErrUnexpectedEOF if the input ends.
func readLine(r *bufio.Reader) (string, error) {
	line, err := lines.ReadLine(r, maxLine)
	switch {
	case errors.Is(err, lines.ErrLineTooLong):
		return "", fmt.Errorf("%w: a long line", ErrTooLarge)
	case errors.Is(err, io.EOF):
		return "", io.ErrUnexpectedEOF
	}
	return line, err
}
