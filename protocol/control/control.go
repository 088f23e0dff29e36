// Package control is the codec of the operators' commands. A connection carries one command,
// which is a line. Its answer is a line that starts with done or error. The package doesn't
// interpret commands.
package control

import (
	"bufio"
	"errors"
	"fmt"
	"strings"

	"quincerail.example/quincerail/protocol/lines"
)

// maxLine is the maximum size of a command, in bytes.
const maxLine = 256

// ErrMalformed reports bytes that are not a command.
var ErrMalformed = errors.New("broken call")

// Read reads a command and returns it without surrounding white space. It consumes nothing
// until the whole line has arrived, so callers may retry it after a read error such as a
// timeout. The error wraps ErrMalformed if the line is too long.
func Read(r *bufio.Reader) (string, error) {
	line, err := lines.PeekLine(r, maxLine)
	switch {
	case errors.Is(err, lines.ErrLineTooLong):
		return "", fmt.Errorf("%w: a line of over %d bytes", ErrMalformed, maxLine)
	case err != nil:
		return "", err
	}
	command := strings.TrimSpace(string(line))
	_, err = r.Discard(len(line)) // already buffered
	return command, err
}

// AppendAnswer appends to dst the answer to a command: done if err is nil, else error and the
// text of err on one line.
func AppendAnswer(dst []byte, err error) []byte {
	if err == nil {
		return append(dst, "done\r\n"...)
	}
	return fmt.Appendf(dst, "error %s\r\n", strings.Join(strings.Fields(err.Error()), " "))
}
