// Package lines provides the functions that the codecs of line-based protocols share.
//
// A message of the processor, shared dependency and handover protocols is a line of words
// that ends in CR LF. A body may follow the line. It also ends in CR LF, and the last word
// of the line is then its length in bytes. [Read] and [Append] decode and encode such
// messages, and [WordParser] parses the values of words. [PeekLine], [ReadLine] and
// [ParseStatusLine] are for protocols whose lines have another format.
package lines

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// MaxBody is the maximum size of a message's body, in bytes. The reader's buffer must be
// able to hold a whole message.
const MaxBody = 8 << 10

// maxLine is the maximum size of a message's line, in bytes; see PeekLine.
const maxLine = 1 << 10

// maxStatus is the largest valid HTTP status code.
const maxStatus = 599

// lineEnd terminates lines and bodies.
const lineEnd = "\r\n"

var (
	// ErrMalformed reports bytes that are not a valid message. The start of the next
	// message is then unknown, so the connection must be closed.
	ErrMalformed = errors.New("broken message")

	// ErrLineTooLong reports a line that is longer than the limit or than the reader's
	// buffer.
	ErrLineTooLong = errors.New("line too long")
)

// Read reads a line, and its body if hasBody reports that one follows. Read consumes
// nothing until the whole message has arrived, so callers may retry it after a read error
// such as a timeout. For bytes that are not a valid message, Read consumes nothing and
// returns an error that wraps ErrMalformed.
func Read(r *bufio.Reader, hasBody func(words []string) bool) (words []string, body []byte, err error) {
	line, err := peekWholeLine(r)
	if err != nil {
		return nil, nil, err
	}
	size := len(line)
	words = strings.Fields(string(line))
	if len(words) == 0 {
		return nil, nil, fmt.Errorf("%w: an empty line", ErrMalformed)
	}
	if hasBody(words) {
		body, err = peekBody(r, size, words[len(words)-1])
		if err != nil {
			return nil, nil, err
		}
		size += len(body) + len(lineEnd)
	}
	_, err = r.Discard(size) // already buffered
	return words, body, err
}

// peekWholeLine returns the next line with its line end, which must be CR LF. It consumes
// nothing.
func peekWholeLine(r *bufio.Reader) ([]byte, error) {
	line, err := PeekLine(r, maxLine)
	switch {
	case errors.Is(err, ErrLineTooLong):
		return nil, fmt.Errorf("%w: a line of over %d bytes", ErrMalformed, maxLine)
	case err != nil:
		return nil, err
	case !bytes.HasSuffix(line, []byte(lineEnd)):
		return nil, fmt.Errorf("%w: a line without CR", ErrMalformed)
	}
	return line, nil
}

// peekBody returns a copy of the body that follows a line of lineSize bytes. lengthWord is
// the word of the line that holds the body's length. CR LF must follow the body. peekBody
// consumes nothing.
func peekBody(r *bufio.Reader, lineSize int, lengthWord string) ([]byte, error) {
	n, err := strconv.ParseUint(lengthWord, 10, 31)
	if err != nil || n > MaxBody {
		return nil, fmt.Errorf("%w: length %q", ErrMalformed, lengthWord)
	}
	message, err := r.Peek(lineSize + int(n) + len(lineEnd))
	if err != nil {
		return nil, err
	}
	if !bytes.HasSuffix(message, []byte(lineEnd)) {
		return nil, fmt.Errorf("%w: no line end after a body", ErrMalformed)
	}
	return append([]byte{}, message[lineSize:lineSize+int(n)]...), nil
}

// PeekLine returns the next line with its line end, and consumes nothing. It returns
// ErrLineTooLong if more than limit bytes are buffered and none of them ends the line. A
// longer line whose end is already in the reader's buffer is returned.
func PeekLine(r *bufio.Reader, limit int) ([]byte, error) {
	for {
		b, err := r.Peek(r.Buffered())
		if err != nil {
			return nil, err
		}
		if i := bytes.IndexByte(b, '\n'); i >= 0 {
			return b[:i+1], nil
		}
		if len(b) > limit {
			return nil, ErrLineTooLong
		}
		if _, err := r.Peek(len(b) + 1); err != nil {
			return nil, err
		}
	}
}

// ReadLine reads a line and returns it without its line end. It returns ErrLineTooLong for
// a line that, with its line end, is longer than limit bytes or than the reader's buffer,
// and io.ErrUnexpectedEOF if the input ends within a line.
func ReadLine(r *bufio.Reader, limit int) (string, error) {
	line, err := r.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull) || len(line) > limit:
		return "", ErrLineTooLong
	case errors.Is(err, io.EOF) && len(line) > 0:
		err = io.ErrUnexpectedEOF
	}
	return strings.TrimRight(string(line), lineEnd), err
}

// ParseStatusLine returns the status code in the status line of an HTTP/1 response. ok is
// false if the line is not a status line, or if its code is less than minStatus or greater
// than 599.
func ParseStatusLine(line string, minStatus int) (status int, ok bool) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	return status, strings.HasPrefix(version, "HTTP/1.") && err == nil && status >= minStatus && status <= maxStatus
}

// Append appends a message to dst: a line of words and, if body is not nil, the length of
// the body as the last word and the body after the line.
func Append(dst []byte, body []byte, words ...string) []byte {
	dst = append(dst, strings.Join(words, " ")...)
	if body != nil {
		dst = strconv.AppendInt(append(dst, ' '), int64(len(body)), 10)
		dst = append(append(dst, lineEnd...), body...)
	}
	return append(dst, lineEnd...)
}
