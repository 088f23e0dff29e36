// Package discovery is the codec of the reports to the discovery service, which the
// platform calls the announce service: HTTP/1.1 requests, of whose responses only the status
// counts. It takes no decisions.
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
	maxHeaders = 64
	maxBody    = 64 << 10 // in bytes
	minStatus  = 100
)

// ErrMalformed marks bytes that are not a response, or one that is not supported. The
// connection can't be used any more.
var ErrMalformed = errors.New("broken answer")

// AppendReport appends the report whether a server takes requests. The path and the key
// are the platform's.
func AppendReport(to []byte, host, name string, accepting bool) []byte {
	body := `{"accepting":"` + strconv.FormatBool(accepting) + `"}`
	return fmt.Appendf(to, "PUT /announce/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\n\r\n%s", url.PathEscape(name), host, len(body), body)
}

// ReadStatus reads a response and returns its status code. The error wraps ErrMalformed
// also for a response whose end only the close of the connection would tell.
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

// readHeaders reads the headers and returns the length of the body.
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

// readLine reads a line that fits the reader's buffer.
func readLine(r *bufio.Reader) (string, error) {
	line, err := lines.ReadLine(r, r.Size())
	if errors.Is(err, lines.ErrLineTooLong) {
		return "", fmt.Errorf("%w: a long line", ErrMalformed)
	}
	return line, err
}
