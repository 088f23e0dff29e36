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

// NewID gives an id for a try. Ids never return, over all callers.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// arrivalTime is the present time as the field of that name has it.
func arrivalTime() string { return strconv.FormatInt(time.Now().UnixMilli(), 10) }

// AppendExecute appends a call of execute that arrives now. The field door is
// the last thing in it but for the end.
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

// AppendExecuteFields appends a call of execute with just these fields.
func AppendExecuteFields(to []byte, seq int32, fields map[string]string, body []byte) []byte {
	args := appendString([]byte{11, 0, 2}, string(body))
	args = append(args, 13, 0, 1, 11, 11)
	args = binary.BigEndian.AppendUint32(args, uint32(len(fields)))
	for name, value := range fields {
		args = appendString(appendString(args, name), value)
	}
	return appendMessage(to, thrift.Call, "execute", seq, args)
}

// AppendInterrupt appends the message that a call is given up. As on the
// platform, it has no sequence number of its own.
func AppendInterrupt(to []byte, target int32) []byte {
	args := binary.BigEndian.AppendUint32([]byte{8, 0, 1}, uint32(target))
	return appendMessage(to, thrift.Oneway, "interrupt", 0, args)
}

// AppendCheck appends a health check.
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

// Reply is a message from the app server.
type Reply struct {
	Type        thrift.MessageType
	Name        string
	Seq         int32
	ResultField int16 // field of the result: 0 Answer, 1 Shed, 2 Fault
	Body        string
	Fields      map[string]string
	Healthy     bool
}

// Outcome says what an execute's reply means.
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

// ReadReply reads one message from the app server.
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

var errReply = errors.New("a reply that can't be read")

func parseReply(b []byte) (reply Reply, err error) {
	defer func() {
		if recover() != nil {
			err = errReply
		}
	}()
	take := func(n int) []byte { p := b[:n]; b = b[n:]; return p }
	u32 := func() int { return int(binary.BigEndian.Uint32(take(4))) }
	text := func() string { return string(take(u32())) }
	v := take(4)
	if v[0] != 0x80 || v[1] != 1 {
		return reply, errReply
	}
	reply.Type = thrift.MessageType(v[3])
	reply.Name, reply.Seq = text(), int32(u32())
	if reply.Type != thrift.Reply {
		return reply, nil
	}
	if kind := take(1)[0]; kind != 12 {
		return reply, errReply
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
			return reply, errReply
		}
	}
	if strings.TrimRight(string(b), "\x00") != "" {
		return reply, errReply
	}
	return reply, nil
}
