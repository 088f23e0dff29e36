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

// MaxResult bounds the body of a response, in bytes.
const MaxResult = 256 << 10

// Further limits of a response.
const (
	maxLine    = 8 << 10 // bytes of the status line or a header
	maxHeaders = 100
	minStatus  = 200 // interim responses are not supported
)

// Response is an HTTP response.
type Response struct {
	Status  int
	Headers []Var // without those that belong to one connection, such as Content-Length
	Body    []byte
}

// isHopByHop reports whether a header belongs to one connection and is written anew.
func isHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "content-length", "connection", "keep-alive", "transfer-encoding":
		return true
	}
	return false
}

// AppendResponse appends a response, after which the connection is to be closed.
func AppendResponse(to []byte, r Response) []byte {
	to = fmt.Appendf(to, "HTTP/1.1 %d %s\r\n", r.Status, http.StatusText(r.Status))
	for _, h := range r.Headers {
		if !isHopByHop(h.Name) {
			to = fmt.Appendf(to, "%s: %s\r\n", h.Name, h.Value)
		}
	}
	to = fmt.Appendf(to, "Content-Length: %d\r\nConnection: close\r\n\r\n", len(r.Body))
	return append(to, r.Body...)
}

// unknownLength is the length of a body that ends with the connection.
const unknownLength = -1

// ReadResponse reads the response to a request of a method, with a body of the length that
// it claims, or until the end of the input where it claims none. The error wraps
// ErrMalformed or ErrTooLarge, or io.ErrUnexpectedEOF where the response is incomplete.
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
	if length > MaxResult {
		return nil, fmt.Errorf("%w: a result of %d bytes, %d at most", ErrTooLarge, length, MaxResult)
	}
	if hasBody(method, status) {
		response.Body, err = readBody(r, length)
	}
	if err != nil {
		return nil, err
	}
	return response, nil
}

// hasBody reports whether a response has a body, whatever its headers claim.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// readHeaders reads the headers, and returns the length of the body.
func (r *Response) readHeaders(from *bufio.Reader) (length int, err error) {
	length = unknownLength
	for {
		line, err := readLine(from)
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

// readBody reads a body of a length, or until the end of the input.
func readBody(r *bufio.Reader, length int) ([]byte, error) {
	limit := int64(length)
	if length == unknownLength {
		limit = MaxResult + 1
	}
	body, err := io.ReadAll(io.LimitReader(r, limit))
	switch {
	case err != nil:
		return nil, fmt.Errorf("reading a result: %w", err)
	case length != unknownLength && len(body) < length:
		return nil, fmt.Errorf("reading a result: %w", io.ErrUnexpectedEOF)
	case len(body) > MaxResult:
		return nil, fmt.Errorf("%w: a result of over %d bytes", ErrTooLarge, MaxResult)
	}
	return body, nil
}

// readLine reads a line. The input must not end before a response is complete.
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
