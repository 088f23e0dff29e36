package faultsoak

import (
	"encoding/binary"

	"quincerail.example/quincerail/internal/fakes"
)

// BadMessage is input that is not a valid message on a balancer's connection.
type BadMessage struct {
	Name string
	// Append returns the bytes. seq is the sequence number of the next call.
	Append   func(seq int32) []byte
	TakesSeq bool // the bytes use that sequence number
}

// badMessages lists kinds of bad messages. After each of them the node can still find the
// start of the next message on the connection.
var badMessages = []BadMessage{
	{"frame without a message", func(int32) []byte { return []byte("\x00\x00\x00\x04spam") }, false},
	{"empty frame", func(int32) []byte { return make([]byte, 4) }, false},
	{"message truncated inside a value", func(seq int32) []byte {
		whole := fakes.AppendCheck(nil, seq, false)
		cut := append([]byte(nil), whole[:len(whole)-3]...)
		binary.BigEndian.PutUint32(cut, uint32(len(cut)-4))
		return cut
	}, true},
	{"extra bytes after the arguments", func(seq int32) []byte {
		long := append(fakes.AppendCheck(nil, seq, false), 1, 2, 3)
		binary.BigEndian.PutUint32(long, uint32(len(long)-4))
		return long
	}, true},
	{"reply from a client", func(seq int32) []byte {
		reply := fakes.AppendCheck(nil, seq, false)
		reply[7] = 2
		return reply
	}, false},
	{"unsupported protocol version", func(seq int32) []byte {
		old := fakes.AppendCheck(nil, seq, false)
		old[4] = 0
		return old
	}, true},
	{"duplicate sequence number", func(seq int32) []byte {
		return fakes.AppendCheck(fakes.AppendCheck(nil, seq, false), seq, false)
	}, true},
	{"sequence number far ahead", func(seq int32) []byte { return fakes.AppendCheck(nil, seq+1000, false) }, false},
	{"sequence number 0", func(int32) []byte { return fakes.AppendCheck(nil, 0, false) }, false},
	{"interrupt with its own sequence number", func(seq int32) []byte {
		interrupt := fakes.AppendInterrupt(nil, 1000)
		binary.BigEndian.PutUint32(interrupt[21:], uint32(seq))
		return interrupt
	}, true},
	{"20 KiB frame", func(seq int32) []byte {
		const size = 20 << 10
		big := append(fakes.AppendCheck(nil, seq, false), make([]byte, size)...)
		binary.BigEndian.PutUint32(big, uint32(len(big)-4))
		return big
	}, true},
	{"frame length near 2 GiB", func(int32) []byte { return []byte("\x7f\xff\xff\xf0spam") }, false},
	{"frame length that covers the next messages", func(int32) []byte { return []byte("\x00\x00\x01\x00spam") }, false},
	{"HTTP request", func(int32) []byte { return []byte("GET / HTTP/1.1\r\n\r\n") }, false},
	{"truncated message header", func(seq int32) []byte { return fakes.AppendCheck(nil, seq, false)[:10] }, false},
}
