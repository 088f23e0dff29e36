// Package control is the codec of the operators' calls: one line a connection,
// answered by one that starts with done or error. It takes no decisions.
package control

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strings"
)

const maxLine = 256

// ErrMalformed marks bytes that are no call.
var ErrMalformed = errors.New("broken call")

// Read reads a call. Nothing is consumed until its line has ended, so it may be
// called again after an interrupted read.
func Read(r *bufio.Reader) (string, error) {
	for {
		b, _ := r.Peek(r.Buffered())
		if i := bytes.IndexByte(b, '\n'); i >= 0 {
			call := strings.TrimSpace(string(b[:i]))
			r.Discard(i + 1)
			return call, nil
		}
		if len(b) > maxLine {
			return "", fmt.Errorf("%w: a line of over %d bytes", ErrMalformed, maxLine)
		}
		if _, err := r.Peek(len(b) + 1); err != nil {
			return "", err
		}
	}
}

// AppendAnswer appends the answer to a call: done, or what was wrong with it.
func AppendAnswer(to []byte, err error) []byte {
	if err == nil {
		return append(to, "done\r\n"...)
	}
	return fmt.Appendf(to, "error %s\r\n", strings.Join(strings.Fields(err.Error()), " "))
}
