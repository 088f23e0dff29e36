package thrift

import (
	"bufio"
	"bytes"
	"encoding/binary"
)

// prefixSize is the size of a frame's prefix, in bytes: the frame size and the message's first
// 32-bit word.
const prefixSize = frameSizeLength + 4

// versionLength is the length of the version in the message's first word, in bytes. The last
// byte of the word is the message type.
const versionLength = 3

// messagePrefixes are the bytes that a message may start with after the frame size: the
// version, the message type and the method's name.
var messagePrefixes = func() (all [][]byte) {
	for _, name := range []string{methodExecute, methodCheck, methodInterrupt} {
		for _, messageType := range []MessageType{Call, Oneway} {
			prefix := binary.BigEndian.AppendUint32(nil, strictVersion|uint32(messageType))
			all = append(all, appendBytes(prefix, []byte(name)))
		}
	}
	return all
}()

// startResync starts to resynchronize because of cause, and returns the error for it.
func (r *Reader) startResync(cause error) error {
	r.resyncing = true
	return &BadMessageError{Err: cause}
}

// resync skips bytes up to the start of the next message while the reader resynchronizes.
func (r *Reader) resync(b *bufio.Reader) error {
	for r.resyncing {
		if _, err := b.Peek(1); err != nil {
			return err
		}
		buffered, _ := b.Peek(b.Buffered()) // already buffered
		drop, found := findMessage(buffered)
		_, _ = b.Discard(drop) // already buffered
		r.resyncBytes += drop
		if found {
			r.resyncing, r.resyncBytes = false, 0
			return nil
		}
		if left := len(buffered) - drop; left > 0 { // they may be the start of a message: wait for more
			if _, err := b.Peek(left + 1); err != nil {
				return err
			}
		}
	}
	return nil
}

// frameEnd returns the end of a frame that can't be decoded. If another message starts within
// the frame, at least up to the message's first word, the frame was truncated and ends there.
func frameEnd(frame []byte) int {
	drop, _ := findMessage(frame[1:])
	end := 1 + drop
	if len(frame)-end < prefixSize {
		return len(frame)
	}
	return end
}

// findMessage searches p for the start of a message, which may be incomplete at the end of p.
// It returns the number of bytes before it that can be dropped, and whether the message's
// whole prefix was found.
func findMessage(p []byte) (drop int, found bool) {
	version := messagePrefixes[0][:versionLength] // all prefixes have the same version
	for from := frameSizeLength; from < len(p); {
		i := bytes.Index(p[from:], version)
		if i < 0 {
			break
		}
		start := from + i - frameSizeLength
		if complete, matches := matchPrefix(p[start:]); matches {
			return start, complete
		}
		from += i + 1
	}
	for start := max(0, len(p)-frameSizeLength-len(version)+1); start < len(p); start++ { // the version may be incomplete
		if complete, matches := matchPrefix(p[start:]); matches {
			return start, complete
		}
	}
	return len(p), false
}

// matchPrefix reports whether p may be the start of a message, and whether it has a whole
// prefix. A frame size over maxFrame does not match.
func matchPrefix(p []byte) (complete, matches bool) {
	var size [frameSizeLength]byte
	copy(size[:], p)
	if binary.BigEndian.Uint32(size[:]) > maxFrame {
		return false, false
	}
	afterSize := p[min(frameSizeLength, len(p)):]
	for _, prefix := range messagePrefixes {
		if bytes.HasPrefix(afterSize, prefix) {
			return true, true
		}
		if bytes.HasPrefix(prefix, afterSize) {
			return false, true
		}
	}
	return false, false
}
