package rafttransport

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

const (
	frameHeaderBytes = 4
	maxFrameBytes    = 1 << 20
)

// FrameTooLargeError reports a frame whose header announces more bytes than a
// frame may have.
type FrameTooLargeError struct {
	Bytes uint32 // that the header announces
	Limit uint32
}

func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("rafttransport: a frame of %d bytes, at most %d allowed", e.Bytes, e.Limit)
}

// ReadFrame reads one frame. The error is a *FrameTooLargeError where the frame's
// length is over the limit; an error of the reader is wrapped.
func ReadFrame(r *bufio.Reader) ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, fmt.Errorf("rafttransport: read frame header: %w", err)
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxFrameBytes {
		return nil, &FrameTooLargeError{Bytes: length, Limit: maxFrameBytes}
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, fmt.Errorf("rafttransport: read frame of %d bytes: %w", length, err)
	}
	return payload, nil
}

// AppendFrame appends a frame with a payload to b.
func AppendFrame(b, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	return append(b, payload...)
}
