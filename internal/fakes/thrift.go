package fakes

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"quincerail.example/quincerail/protocol/thrift"
)

// NewID returns a random id for an attempt, unique across all clients.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// arrivalTime returns the current time in the format of the field door: Unix milliseconds.
func arrivalTime() string { return strconv.FormatInt(time.Now().UnixMilli(), 10) }

// AppendExecute appends a framed execute call with the given fields and a field door that
// holds the current time. The value of door is followed only by the byte that ends the
// arguments struct, so that a client can overwrite it in place.
func AppendExecute(to []byte, seq int32, fields map[string]string, body []byte) []byte {
	args := appendString([]byte{11, 0, 2}, string(body))
	args = append(args, 13, 0, 1, 11, 11)
	args = binary.BigEndian.AppendUint32(args, uint32(len(fields)+1))
	for name, value := range fields {
		args = appendString(appendString(args, name), value)
	}
	args = appendString(appendString(args, "door"), arrivalTime())
	return appendMessage(to, thrift.Call, "execute", seq, args)
}

// AppendExecuteFields appends a framed execute call with exactly the given fields.
func AppendExecuteFields(to []byte, seq int32, fields map[string]string, body []byte) []byte {
	args := appendString([]byte{11, 0, 2}, string(body))
	args = append(args, 13, 0, 1, 11, 11)
	args = binary.BigEndian.AppendUint32(args, uint32(len(fields)))
	for name, value := range fields {
		args = appendString(appendString(args, name), value)
	}
	return appendMessage(to, thrift.Call, "execute", seq, args)
}

// AppendInterrupt appends a message that cancels the call with the sequence number target.
// Its own sequence number is 0, as on the platform.
func AppendInterrupt(to []byte, target int32) []byte {
	args := binary.BigEndian.AppendUint32([]byte{8, 0, 1}, uint32(target))
	return appendMessage(to, thrift.Oneway, "interrupt", 0, args)
}

// AppendCheck appends a health check. probe is its only argument.
func AppendCheck(to []byte, seq int32, probe bool) []byte {
	args := []byte{2, 0, 1, 0}
	if probe {
		args[3] = 1
	}
	return appendMessage(to, thrift.Call, "check", seq, args)
}

func appendString(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

func appendMessage(to []byte, t thrift.MessageType, name string, seq int32, args []byte) []byte {
	m := appendString([]byte{0x80, 1, 0, byte(t)}, name)
	m = binary.BigEndian.AppendUint32(m, uint32(seq))
	m = append(append(m, args...), 0)
	return append(binary.BigEndian.AppendUint32(to, uint32(len(m))), m...)
}

// Reply is a message from the app server. Only a message of type thrift.Reply has the fields
// after Seq.
type Reply struct {
	Type        thrift.MessageType
	Name        string
	Seq         int32
	ResultField int16 // id of the field in the result struct: 0 Answer, 1 Shed, 2 Fault
	Body        string
	Fields      map[string]string
	Healthy     bool
}

// Outcome converts a reply to execute to an Outcome.
func (r Reply) Outcome() Outcome {
	switch {
	case r.Type == thrift.Exception:
		return Outcome{Kind: "rejected"}
	case r.ResultField == 2:
		return Outcome{Kind: "failed"}
	case r.ResultField == 1:
		return Outcome{Kind: "refused"}
	}
	return Outcome{"served", r.Body}
}

// ReadReply reads one framed message from the app server.
func ReadReply(r *bufio.Reader) (Reply, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return Reply{}, err
	}
	frame := make([]byte, binary.BigEndian.Uint32(size[:]))
	if _, err := io.ReadFull(r, frame); err != nil {
		return Reply{}, err
	}
	return parseReply(frame)
}

var errMalformedReply = errors.New("fakes: malformed reply")

// parseReply decodes a message without its length. A panic of a slice expression, for a
// message that is too short, becomes errMalformedReply.
func parseReply(b []byte) (reply Reply, err error) {
	defer func() {
		if recover() != nil {
			err = errMalformedReply
		}
	}()
	take := func(n int) []byte { p := b[:n]; b = b[n:]; return p }
	u32 := func() int { return int(binary.BigEndian.Uint32(take(4))) }
	text := func() string { return string(take(u32())) }
	version := take(4)
	if version[0] != 0x80 || version[1] != 1 {
		return reply, errMalformedReply
	}
	reply.Type = thrift.MessageType(version[3])
	reply.Name, reply.Seq = text(), int32(u32())
	if reply.Type != thrift.Reply {
		return reply, nil
	}
	if kind := take(1)[0]; kind != 12 {
		return reply, errMalformedReply
	}
	reply.ResultField = int16(binary.BigEndian.Uint16(take(2)))
	reply.Fields = make(map[string]string)
	for kind := take(1)[0]; kind != 0; kind = take(1)[0] {
		take(2)
		switch kind {
		case 11:
			reply.Body = text()
		case 13:
			take(2)
			for range u32() {
				name := text()
				reply.Fields[name] = text()
			}
		case 2:
			reply.Healthy = take(1)[0] != 0
		default:
			return reply, errMalformedReply
		}
	}
	if strings.TrimRight(string(b), "\x00") != "" {
		return reply, errMalformedReply
	}
	return reply, nil
}
