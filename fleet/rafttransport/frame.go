package rafttransport

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	frameHeaderBytes = 4
	maxFrameBytes    = 1 << 20
	maxHelloBytes    = 4 << 10 // of the first frame of a connection, whose sender is unknown
)

// FrameTooLargeError reports a frame header with a length above the limit.
type FrameTooLargeError struct {
	Bytes uint32 // length in the header
	Limit uint32
}

func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("rafttransport: frame length of %d bytes exceeds the limit of %d bytes", e.Bytes, e.Limit)
}

// ReadFrame reads one frame and returns its payload. It returns a
// *FrameTooLargeError if the frame's length is above the limit, and wraps errors
// of the reader.
func ReadFrame(r *bufio.Reader) ([]byte, error) { return readFrame(r, maxFrameBytes) }

// readFrame is ReadFrame with a limit on the frame's length. It allocates memory as the payload
// arrives, not for the length that the header states.
func readFrame(r *bufio.Reader, limit uint32) ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, fmt.Errorf("rafttransport: read frame header: %w", err)
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > limit {
		return nil, &FrameTooLargeError{Bytes: length, Limit: limit}
	}
	payload := bytes.NewBuffer(make([]byte, 0, min(length, maxHelloBytes)))
	if _, err := io.CopyN(payload, r, int64(length)); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, fmt.Errorf("rafttransport: read frame of %d bytes: %w", length, err)
	}
	return payload.Bytes(), nil
}

// AppendFrame appends a frame with the payload to b and returns the extended
// slice.
func AppendFrame(b, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	return append(b, payload...)
}
