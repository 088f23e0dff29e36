// Package discovery is the codec of the reports to the announce service: HTTP/1.1
// calls with an answer that has no body of interest. It takes no decisions.
package discovery

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
)

// The limits of an answer.
const (
	maxHeaders = 64
	maxBody    = 64 << 10
)

// ErrMalformed marks bytes that are no answer; the connection can't go on.
var ErrMalformed = errors.New("broken answer")

// AppendReport appends a report of whether an app server takes work.
func AppendReport(to []byte, host, name string, accepting bool) []byte {
	body := `{"accepting":"` + strconv.FormatBool(accepting) + `"}`
	return fmt.Appendf(to, "PUT /announce/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\n\r\n%s", url.PathEscape(name), host, len(body), body)
}

// ReadStatus reads an answer and gives its status code. After an answer whose
// end only the connection's close would tell, it gives ErrBroken.
func ReadStatus(r *bufio.Reader) (int, error) {
	line, err := readLine(r)
	if err != nil {
		return 0, err
	}
	version, rest, _ := strings.Cut(line, " ")
	word, _, _ := strings.Cut(rest, " ")
	code, err := strconv.Atoi(word)
	if !strings.HasPrefix(version, "HTTP/1.") || err != nil || code < 100 || code > 599 {
		return 0, fmt.Errorf("%w: %q", ErrMalformed, line)
	}
	length := 0
	for range maxHeaders {
		if line, err = readLine(r); err != nil {
			return 0, err
		}
		if line == "" {
			if _, err := r.Discard(length); err != nil {
				return 0, fmt.Errorf("reading an answer's body: %w", err)
			}
			return code, nil
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

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return "", fmt.Errorf("%w: a long line", ErrMalformed)
	}
	if err != nil && errors.Is(err, io.EOF) && len(line) > 0 {
		err = io.ErrUnexpectedEOF
	}
	return strings.TrimRight(string(line), "\r\n"), err
}
