// Package discovery is the codec of the reports to the discovery service, which the platform
// calls the announce service. A report is an HTTP/1.1 request; only the status of the
// response is used. The package doesn't decide when to report.
package discovery

import (
	"bufio"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"quincerail.example/quincerail/protocol/lines"
)

// The limits of a response.
const (
	maxHeaders = 64       // lines after the status line, with the empty line that ends them
	maxBody    = 64 << 10 // in bytes
	minStatus  = 100
)

// ErrMalformed reports bytes that are not a response, or a response that is not supported.
// The connection must be closed.
var ErrMalformed = errors.New("broken answer")

// AppendReport appends to dst a report that states whether the named server accepts requests.
// The platform defines the path and the JSON key.
func AppendReport(dst []byte, host, name string, accepting bool) []byte {
	body := `{"accepting":"` + strconv.FormatBool(accepting) + `"}`
	return fmt.Appendf(dst, "PUT /announce/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\n\r\n%s", url.PathEscape(name), host, len(body), body)
}

// ReadStatus reads a response and returns its status code. A response without
// Content-Length has no body. The error wraps ErrMalformed if the response is malformed,
// exceeds a limit or has a Transfer-Encoding.
func ReadStatus(r *bufio.Reader) (int, error) {
	line, err := readLine(r)
	if err != nil {
		return 0, err
	}
	status, ok := lines.ParseStatusLine(line, minStatus)
	if !ok {
		return 0, fmt.Errorf("%w: %q", ErrMalformed, line)
	}
	length, err := readHeaders(r)
	if err != nil {
		return 0, err
	}
	if _, err := r.Discard(length); err != nil {
		return 0, fmt.Errorf("reading an answer's body: %w", err)
	}
	return status, nil
}

// readHeaders reads the headers and returns the length of the body in bytes.
func readHeaders(r *bufio.Reader) (length int, err error) {
	for range maxHeaders {
		line, err := readLine(r)
		if err != nil {
			return 0, err
		}
		if line == "" {
			return length, nil
		}
		name, value, _ := strings.Cut(line, ":")
		switch strings.ToLower(name) {
		case "content-length":
			length, err = strconv.Atoi(strings.TrimSpace(value))
			if err != nil || length < 0 || length > maxBody {
				return 0, fmt.Errorf("%w: content length %q", ErrMalformed, value)
			}
		case "transfer-encoding":
			return 0, fmt.Errorf("%w: transfer encoding %q", ErrMalformed, value)
		}
	}
	return 0, fmt.Errorf("%w: over %d headers", ErrMalformed, maxHeaders)
}

// readLine reads a line. The line must fit in the reader's buffer.
func readLine(r *bufio.Reader) (string, error) {
	line, err := lines.ReadLine(r, r.Size())
	if errors.Is(err, lines.ErrLineTooLong) {
		return "", fmt.Errorf("%w: a long line", ErrMalformed)
	}
	return line, err
}
