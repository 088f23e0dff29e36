// Package control is the codec of the operators' calls: one line for each connection,
// answered by a line that starts with done or error. It takes no decisions.
package control

import (
	"bufio"
	"errors"
	"fmt"
	"strings"

	"quincerail.example/quincerail/protocol/lines"
)

// maxLine bounds a call, in bytes.
const maxLine = 256

// ErrMalformed marks bytes that are not a call.
var ErrMalformed = errors.New("broken call")

// Read reads a call. Nothing is consumed before its line has ended, so Read may be called
// again after a read that was interrupted. The error wraps ErrMalformed where the line is
// too long.
func Read(r *bufio.Reader) (string, error) {
	line, err := lines.PeekLine(r, maxLine)
	switch {
	case errors.Is(err, lines.ErrLineTooLong):
		return "", fmt.Errorf("%w: a line of over %d bytes", ErrMalformed, maxLine)
	case err != nil:
		return "", err
	}
	call := strings.TrimSpace(string(line))
	_, err = r.Discard(len(line)) // it is buffered
	return call, err
}

// AppendAnswer appends the answer to a call: done, or error with what was wrong with it.
func AppendAnswer(to []byte, err error) []byte {
	if err == nil {
		return append(to, "done\r\n"...)
	}
	return fmt.Appendf(to, "error %s\r\n", strings.Join(strings.Fields(err.Error()), " "))
}
