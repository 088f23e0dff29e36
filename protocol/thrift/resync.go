package thrift

import (
	"bufio"
	"bytes"
	"encoding/binary"
)

// prefixSize is how many bytes a frame has up to the end of the message's first word.
const prefixSize = frameSizeLength + 4

// versionLength is how many bytes the version takes; the message's type follows it in the
// first word.
const versionLength = 3

// messagePrefixes are the first bytes of messages behind the frame's size: the version, the
// type and the method's name.
var messagePrefixes = func() (all [][]byte) {
	for _, name := range []string{methodExecute, methodCheck, methodInterrupt} {
		for _, kind := range []MessageType{Call, Oneway} {
			prefix := binary.BigEndian.AppendUint32(nil, strictVersion|uint32(kind))
			all = append(all, appendBytes(prefix, []byte(name)))
		}
	}
	return all
}()

// startScanning records that it is unknown where the next message begins, and returns the
// error for it.
func (r *Reader) startScanning(why error) error {
	r.scanning = true
	return &BadMessageError{Err: why}
}

// scan skips bytes until some are found with which a message begins.
func (r *Reader) scan(b *bufio.Reader) error {
	for r.scanning {
		if _, err := b.Peek(1); err != nil {
			return err
		}
		buffered, _ := b.Peek(b.Buffered()) // they are there
		drop, found := findMessage(buffered)
		_, _ = b.Discard(drop) // likewise
		r.bytesScanned += drop
		if found {
			r.scanning, r.bytesScanned = false, 0
			return nil
		}
		if left := len(buffered) - drop; left > 0 { // it takes more to decide
			if _, err := b.Peek(left + 1); err != nil {
				return err
			}
		}
	}
	return nil
}

// frameEnd returns where a frame ends that can't be parsed. Where a message begins in it,
// up to its version, the frame was truncated there.
func frameEnd(frame []byte) int {
	after, _ := findMessage(frame[1:])
	end := 1 + after
	if len(frame)-end < prefixSize {
		return len(frame)
	}
	return end
}

// findMessage looks for the first bytes with which a message begins. It returns how many
// bytes before them can be dropped, and whether the whole prefix is there.
func findMessage(p []byte) (drop int, found bool) {
	version := messagePrefixes[0][:versionLength] // the same for all
	for from := frameSizeLength; from < len(p); {
		i := bytes.Index(p[from:], version)
		if i < 0 {
			break
		}
		at := from + i - frameSizeLength
		if complete, matches := matchPrefix(p[at:]); matches {
			return at, complete
		}
		from += i + 1
	}
	for at := max(0, len(p)-frameSizeLength-len(version)+1); at < len(p); at++ { // the version may not have arrived
		if complete, matches := matchPrefix(p[at:]); matches {
			return at, complete
		}
	}
	return len(p), false
}

// matchPrefix reports whether bytes begin as a message does, as far as they go, and whether
// the whole prefix is there.
func matchPrefix(p []byte) (complete, matches bool) {
	var size [frameSizeLength]byte
	copy(size[:], p)
	if binary.BigEndian.Uint32(size[:]) > maxFrame {
		return false, false
	}
	behind := p[min(frameSizeLength, len(p)):]
	for _, prefix := range messagePrefixes {
		if bytes.HasPrefix(behind, prefix) {
			return true, true
		}
		if bytes.HasPrefix(prefix, behind) {
			return false, true
		}
	}
	return false, false
}
