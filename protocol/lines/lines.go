// Package lines reads lines of words whose last word may be the length of a
// body that follows. The processor's and the ledger's protocols share the form.
package lines

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// The limits of one message; a whole one must fit the reader's buffer.
const (
	maxLine = 1 << 10
	MaxBody = 8 << 10
)

// ErrMalformed marks bytes that are no message; the connection can't go on.
var ErrMalformed = errors.New("broken message")

// Read reads a line, and the body if hasBody says that one follows it.
// Nothing is consumed until all has come, so it may be called again after an
// interrupted read.
func Read(r *bufio.Reader, hasBody func(words []string) bool) (words []string, body []byte, err error) {
	line, err := peekLine(r)
	if err != nil {
		return nil, nil, err
	}
	size := len(line)
	words = strings.Fields(string(line))
	if len(words) == 0 {
		return nil, nil, fmt.Errorf("%w: an empty line", ErrMalformed)
	}
	if hasBody(words) {
		n, err := strconv.ParseUint(words[len(words)-1], 10, 31)
		if err != nil || n > MaxBody {
			return nil, nil, fmt.Errorf("%w: length %q", ErrMalformed, words[len(words)-1])
		}
		all, err := r.Peek(size + int(n) + 2)
		if err != nil {
			return nil, nil, err
		}
		if !bytes.HasSuffix(all, []byte("\r\n")) {
			return nil, nil, fmt.Errorf("%w: no line end after a body", ErrMalformed)
		}
		body = append([]byte{}, all[size:size+int(n)]...)
		size = len(all)
	}
	r.Discard(size)
	return words, body, nil
}

// peekLine gives the next line with its end.
func peekLine(r *bufio.Reader) ([]byte, error) {
	for {
		b, _ := r.Peek(r.Buffered())
		if i := bytes.IndexByte(b, '\n'); i >= 0 {
			if i == 0 || b[i-1] != '\r' {
				return nil, fmt.Errorf("%w: a line without CR", ErrMalformed)
			}
			return b[:i+1], nil
		}
		if len(b) > maxLine {
			return nil, fmt.Errorf("%w: a line of over %d bytes", ErrMalformed, maxLine)
		}
		if _, err := r.Peek(len(b) + 1); err != nil {
			return nil, err
		}
	}
}

// Append appends a line of words and, where body is not nil, its length and the body.
func Append(to []byte, body []byte, words ...string) []byte {
	to = append(to, strings.Join(words, " ")...)
	if body != nil {
		to = strconv.AppendInt(append(to, ' '), int64(len(body)), 10)
		to = append(append(to, "\r\n"...), body...)
	}
	return append(to, "\r\n"...)
}
