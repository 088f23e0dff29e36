package fakes

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"quincerail.example/quincerail/protocol/thrift"
	"quincerail.example/quincerail/protocol/uwsgi"
)

// Outcome is what a caller was told.
type Outcome struct {
	Kind string // served, refused, failed, rejected
	Body string // served
}

// Try is one try of a request on a connection of its own. Send may be called
// with parts of the request, so that it is half read in between.
type Try struct {
	conn net.Conn
	r    *bufio.Reader
	rest []byte
	door []byte // part of rest: the time of arrival, written when the last byte is sent
	read func(*bufio.Reader) (Outcome, error)
	gone func(net.Conn)
}

// Caller makes tries over one front.
type Caller func(address, class, key, body string) (*Try, error)

// Send sends all that has not been sent.
func (t *Try) Send() error {
	copy(t.door, door())
	_, err := t.conn.Write(t.rest)
	t.rest = nil
	return err
}

// SendHalf sends the first half of what has not been sent.
func (t *Try) SendHalf() error {
	n := len(t.rest) / 2
	_, err := t.conn.Write(t.rest[:n])
	t.rest = t.rest[n:]
	return err
}

// Outcome waits for the answer, and closes the connection.
func (t *Try) Outcome() (Outcome, error) {
	defer t.conn.Close()
	t.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	return t.read(t.r)
}

// GiveUp tells, in the way of the protocol, that nobody waits any more.
func (t *Try) GiveUp() { t.gone(t.conn) }

// Break ends the connection without a word.
func (t *Try) Break() { t.conn.Close() }

func try(address string, request []byte) (*Try, error) {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Try{conn: nc, r: bufio.NewReader(nc), rest: request}, nil
}

// Thrift is a caller that speaks the balancers' protocol.
func Thrift(address, class, key, body string) (*Try, error) {
	return thriftTry(address, class, key, body, nil)
}

// ThriftWith gives one whose requests carry further fields, or others.
func ThriftWith(further map[string]string) Caller {
	return func(address, class, key, body string) (*Try, error) {
		return thriftTry(address, class, key, body, further)
	}
}

func thriftTry(address, class, key, body string, further map[string]string) (*Try, error) {
	fields := map[string]string{"verb": class, "txn": NewID(), "lb": "1", "ram": "20", "standing": "0.5"}
	if key != "" {
		fields["unique"] = key
	}
	maps.Copy(fields, further)
	t, err := try(address, AppendExecute(nil, 1, fields, []byte(body)))
	if err != nil {
		return nil, err
	}
	end := len(t.rest) - 1 // the struct's end
	t.door = t.rest[end-len(door()) : end]
	t.read = func(r *bufio.Reader) (Outcome, error) {
		for {
			reply, err := ReadReply(r)
			if err != nil || reply.Name == "execute" {
				return reply.Outcome(), err
			}
		}
	}
	t.gone = func(nc net.Conn) { nc.Write(AppendInterrupt(nil, 1)) }
	return t, nil
}

// UWSGI is a caller that speaks uwsgi. It asks for the path /CLASS.
func UWSGI(address, class, key, body string) (*Try, error) {
	vars := []uwsgi.Var{{Name: "REQUEST_METHOD", Value: "POST"}, {Name: "PATH_INFO", Value: "/" + class}}
	if key != "" {
		vars = append(vars, uwsgi.Var{Name: "HTTP_IDEMPOTENCY_KEY", Value: key})
	}
	request, err := uwsgi.AppendRequest(nil, vars, []byte(body))
	if err != nil {
		return nil, err
	}
	t, err := try(address, request)
	if err != nil {
		return nil, err
	}
	t.read = func(r *bufio.Reader) (Outcome, error) {
		resp, err := uwsgi.ReadResponse(r, "POST")
		if err != nil {
			return Outcome{}, err
		}
		later := slices.ContainsFunc(resp.Headers, func(h uwsgi.Var) bool { return h.Name == "Retry-After" })
		return httpOutcome(resp.Status, later, string(resp.Body))
	}
	t.gone = func(nc net.Conn) { nc.Close() }
	return t, nil
}

// HTTP is a caller that speaks HTTP/1.1. It posts to the path /CLASS, with the
// key in the header Idempotency-Key.
func HTTP(address, class, key, body string) (*Try, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /%s HTTP/1.1\r\nHost: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n",
		class, address, len(body))
	if key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", key)
	}
	fmt.Fprintf(&b, "\r\n%s", body)
	t, err := try(address, []byte(b.String()))
	if err != nil {
		return nil, err
	}
	t.read = func(r *bufio.Reader) (Outcome, error) {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return Outcome{}, err
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			return Outcome{}, err
		}
		return httpOutcome(resp.StatusCode, resp.Header.Get("Retry-After") != "", string(text))
	}
	t.gone = func(nc net.Conn) { nc.Close() }
	return t, nil
}

// httpOutcome reads an HTTP status as the fronts use them.
func httpOutcome(status int, retryAfter bool, body string) (Outcome, error) {
	switch {
	case status == 200:
		return Outcome{"served", body}, nil
	case status == 503 && retryAfter:
		return Outcome{Kind: "refused"}, nil
	case status == 500, status == 502, status == 504:
		return Outcome{Kind: "failed"}, nil
	case status == 400, status == 422:
		return Outcome{Kind: "rejected"}, nil
	}
	return Outcome{}, fmt.Errorf("status %d", status)
}

// NewID gives an id for a try. Ids never return, over all callers.
func NewID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// door is the present time as the field of that name has it.
func door() string { return strconv.FormatInt(time.Now().UnixMilli(), 10) }

// AppendExecute appends a call of execute that arrives now. The field door is
// the last thing in it but for the end.
func AppendExecute(to []byte, seq int32, fields map[string]string, body []byte) []byte {
	args := appendString([]byte{11, 0, 2}, string(body))
	args = append(args, 13, 0, 1, 11, 11)
	args = binary.BigEndian.AppendUint32(args, uint32(len(fields)+1))
	for name, value := range fields {
		args = appendString(appendString(args, name), value)
	}
	args = appendString(appendString(args, "door"), door())
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
	Type   thrift.MessageType
	Name   string
	Seq    int32
	Which  int16 // field of the result: 0 Answer, 1 Shed, 2 Fault
	Body   string
	Fields map[string]string
	Good   bool
}

// Outcome says what an execute's reply means.
func (r Reply) Outcome() Outcome {
	switch {
	case r.Type == thrift.Exception:
		return Outcome{Kind: "rejected"}
	case r.Which == 2:
		return Outcome{Kind: "failed"}
	case r.Which == 1:
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
	if v := take(4); v[0] != 0x80 || v[1] != 1 {
		return reply, errReply
	} else {
		reply.Type = thrift.MessageType(v[3])
	}
	reply.Name, reply.Seq = text(), int32(u32())
	if reply.Type != thrift.Reply {
		return reply, nil
	}
	if kind := take(1)[0]; kind != 12 {
		return reply, errReply
	}
	reply.Which = int16(binary.BigEndian.Uint16(take(2)))
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
			reply.Good = take(1)[0] != 0
		default:
			return reply, errReply
		}
	}
	if strings.TrimRight(string(b), "\x00") != "" {
		return reply, errReply
	}
	return reply, nil
}
