// Package lines has what the codecs of line-based protocols share. The processor's, the
// shared dependency's and the handover's messages are lines of words that end in CR LF;
// the last word may be the length of a body that follows and ends in CR LF too ([Read],
// [Append]). [WordParser] reads values from words. [PeekLine], [ReadLine] and
// [ParseStatusLine] serve codecs with lines of other forms.
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

// MaxBody bounds the body of a message, in bytes. A whole message must fit the reader's
// buffer.
const MaxBody = 8 << 10

// maxLine bounds the line of a message, in bytes.
const maxLine = 1 << 10

// maxStatus is the largest status code of HTTP.
const maxStatus = 599

// lineEnd is what lines and bodies end in.
const lineEnd = "\r\n"

var (
	// ErrMalformed marks bytes that are not a message. Nobody knows where the next one
	// begins, so the connection can't be used any more.
	ErrMalformed = errors.New("broken message")

	// ErrLineTooLong is returned for a line that does not end within the limit, or within
	// the reader's buffer.
	ErrLineTooLong = errors.New("line too long")
)

// Read reads a line, and the body if hasBody reports that one follows it. Nothing is
// consumed before all of that has arrived, so Read may be called again after a read that
// was interrupted. Bytes that are not a message are left unread, and the error wraps
// ErrMalformed.
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
	_, err = r.Discard(size) // it is buffered
	return words, body, err
}

// peekWholeLine returns the next line with its end, which must be CR LF.
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

// peekBody returns a copy of the body that follows a line of so many bytes; length is its
// length as the line has it. The body's end must follow.
func peekBody(r *bufio.Reader, lineSize int, length string) ([]byte, error) {
	n, err := strconv.ParseUint(length, 10, 31)
	if err != nil || n > MaxBody {
		return nil, fmt.Errorf("%w: length %q", ErrMalformed, length)
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

// PeekLine returns the next line with its end, and consumes nothing. A line that has not
// ended after limit bytes is refused with ErrLineTooLong; one that has ended is returned
// whatever its length, if the reader's buffer holds it.
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

// ReadLine reads a line and returns it without its end. A line of over limit bytes, or one
// that does not fit the reader's buffer, is refused with ErrLineTooLong. Where the input
// ends inside a line, the error is io.ErrUnexpectedEOF.
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

// ParseStatusLine returns the status code of the first line of an HTTP/1 response. ok is
// false where the line is not one, or its code is under minStatus or over 599.
func ParseStatusLine(line string, minStatus int) (status int, ok bool) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	return status, strings.HasPrefix(version, "HTTP/1.") && err == nil && status >= minStatus && status <= maxStatus
}

// Append appends a line of words and, where body is not nil, its length and the body.
func Append(to []byte, body []byte, words ...string) []byte {
	to = append(to, strings.Join(words, " ")...)
	if body != nil {
		to = strconv.AppendInt(append(to, ' '), int64(len(body)), 10)
		to = append(append(to, lineEnd...), body...)
	}
	return append(to, lineEnd...)
}
