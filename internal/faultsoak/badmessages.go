package faultsoak

import (
	"encoding/binary"

	"quincerail.example/quincerail/internal/fakes"
)

// BadMessage is something that makes no sense on a connection of a balancer.
type BadMessage struct {
	Name string
	// Append gives its bytes; seq is the number that the next call would have.
	Append func(seq int32) []byte
	Counts bool // it takes that number
}

// badMessages lists kinds of them. After each the connection's next message can be found.
var badMessages = []BadMessage{
	{"no message in a frame", func(int32) []byte { return []byte("\x00\x00\x00\x04spam") }, false},
	{"an empty frame", func(int32) []byte { return make([]byte, 4) }, false},
	{"a message that ends inside a value", func(seq int32) []byte {
		whole := fakes.AppendCheck(nil, seq, false)
		cut := append([]byte(nil), whole[:len(whole)-3]...)
		binary.BigEndian.PutUint32(cut, uint32(len(cut)-4))
		return cut
	}, true},
	{"bytes after the arguments", func(seq int32) []byte {
		long := append(fakes.AppendCheck(nil, seq, false), 1, 2, 3)
		binary.BigEndian.PutUint32(long, uint32(len(long)-4))
		return long
	}, true},
	{"a reply", func(seq int32) []byte {
		reply := fakes.AppendCheck(nil, seq, false)
		reply[7] = 2
		return reply
	}, false},
	{"another version", func(seq int32) []byte {
		old := fakes.AppendCheck(nil, seq, false)
		old[4] = 0
		return old
	}, true},
	{"a number that was had before", func(seq int32) []byte {
		return fakes.AppendCheck(fakes.AppendCheck(nil, seq, false), seq, false)
	}, true},
	{"a number that is far ahead", func(seq int32) []byte { return fakes.AppendCheck(nil, seq+1000, false) }, false},
	{"no number", func(int32) []byte { return fakes.AppendCheck(nil, 0, false) }, false},
	{"an interrupt with a number of its own", func(seq int32) []byte {
		interrupt := fakes.AppendInterrupt(nil, 1000)
		binary.BigEndian.PutUint32(interrupt[21:], uint32(seq))
		return interrupt
	}, true},
	{"a frame of 20 kB", func(seq int32) []byte {
		const size = 20 << 10
		big := append(fakes.AppendCheck(nil, seq, false), make([]byte, size)...)
		binary.BigEndian.PutUint32(big, uint32(len(big)-4))
		return big
	}, true},
	{"a huge frame", func(int32) []byte { return []byte("\x7f\xff\xff\xf0spam") }, false},
	{"a frame that claims what follows", func(int32) []byte { return []byte("\x00\x00\x01\x00spam") }, false},
	{"another's text", func(int32) []byte { return []byte("GET / HTTP/1.1\r\n\r\n") }, false},
	{"half a message's head", func(seq int32) []byte { return fakes.AppendCheck(nil, seq, false)[:10] }, false},
}
