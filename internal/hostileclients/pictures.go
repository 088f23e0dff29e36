package hostileclients

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"quincerail.example/quincerail/internal/fakes"
	"quincerail.example/quincerail/protocol/uwsgi"
)

// Picture is one kind of hostile client.
type Picture struct {
	Name    string
	Port    Port
	Clients int // connected at once
	client  client
}

// client connects to an address once and returns when the connection has ended or ctx is done.
type client func(ctx context.Context, address string)

// Sizes of the hostile clients' messages.
const (
	manyVars     = 13_000   // short variables, together some 64 kB
	longVarBytes = 60_000   // of one variable
	bodyBytes    = 64 << 10 // stated by uwsgi and HTTP requests; half of it is sent
	frameBytes   = 12 << 10 // stated by incomplete Thrift frames
	frameSent    = 11 << 10 // bytes of them that are sent
	raftFrame    = 1 << 20  // stated by a frame on the port of the fleet's voters
	slowChunk    = 1 << 10  // bytes that a slow client sends at a time
	slowInterval = 20 * time.Millisecond
	classPage    = "kampanjsida"
	classGift    = "ny-gava"
	libraryPath  = "gavor" // of the library's sample service
)

// Pictures returns all kinds of hostile clients.
func Pictures() []Picture {
	return []Picture{
		{"none", ThriftPort, 0, nil},
		{"a: 13,000 short fields, half a body", UWSGIPort, 300, sendOnce(uwsgiHalf(manyVars, 1))},
		{"a: a field of 60 kB, half a body", UWSGIPort, 300, sendOnce(uwsgiHalf(1, longVarBytes))},
		{"a: a field of 60 kB, 1 kB each 20 ms", UWSGIPort, 300, sendSlowly(uwsgiHalf(1, longVarBytes))},
		{"a: 11 of 12 kB of a frame", ThriftPort, 900, sendOnce(thriftHalf())},
		{"a: 11 of 12 kB, 1 kB each 20 ms", ThriftPort, 900, sendSlowly(thriftHalf())},
		{"a: half a line", ControlPort, 300, sendOnce([]byte(strings.Repeat("x", 8000)))},
		{"a: a head of 32 kB, half a body", LibraryPort, 300, sendOnce(httpHalf())},
		{"a: a frame of 1 MB is stated", RaftPort, 300, sendOnce(binary.BigEndian.AppendUint32(nil, raftFrame))},
		{"a: noise", GossipPort, 300, sendOnce([]byte(strings.Repeat("\x06\xff\xff\xff\xff", 2000)))},
		{"b: keyed requests, far more than 32 open", ThriftPort, 1, floodExecute(classGift)},
		{"b: reads, far more than 32 open", ThriftPort, 1, floodExecute(classPage)},
		{"b: ever new classes and field names", ThriftPort, 1, floodExecute("")},
		{"b: health checks", ThriftPort, 1, flood(func(seq int32) []byte { return fakes.AppendCheck(nil, seq, false) })},
		{"b: deep health checks", ThriftPort, 1, flood(func(seq int32) []byte { return fakes.AppendCheck(nil, seq, true) })},
		{"b: frames without fields", ThriftPort, 1, flood(func(seq int32) []byte { return fakes.AppendExecuteFields(nil, seq, nil, nil) })},
		{"b: noise", ThriftPort, 1, flood(noise)},
		{"b: unsound packets, ever new connections", UWSGIPort, 4, sendOnce([]byte("\x00\x04\x00\x00\x09\x00ab"))},
		{"b: requests, ever new connections", UWSGIPort, 4, sendOnce(uwsgiRequest())},
		{"b: noise", ControlPort, 4, flood(noise)},
		{"b: requests, pipelined", LibraryPort, 1, flood(func(int32) []byte { return httpRequest() })},
		{"b: noise", RaftPort, 4, flood(noise)},
		{"c: 32 keyed requests, then a close", ThriftPort, 1, sendAndLeave},
	}
}

func dial(ctx context.Context, address string) (net.Conn, func(), error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	return conn, func() {
		stop()
		_ = conn.Close()
	}, nil
}

// sendOnce returns a client that sends p and waits for the end of the connection.
func sendOnce(p []byte) client {
	return func(ctx context.Context, address string) {
		conn, end, err := dial(ctx, address)
		if err != nil {
			return
		}
		defer end()
		if _, err := conn.Write(p); err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
	}
}

// sendSlowly returns a client that sends p in small parts.
func sendSlowly(p []byte) client {
	return func(ctx context.Context, address string) {
		conn, end, err := dial(ctx, address)
		if err != nil {
			return
		}
		defer end()
		for rest := p; len(rest) > 0 && ctx.Err() == nil; {
			n, err := conn.Write(rest[:min(slowChunk, len(rest))])
			if err != nil {
				return
			}
			rest = rest[n:]
			time.Sleep(slowInterval)
		}
		_, _ = io.Copy(io.Discard, conn)
	}
}

// flood returns a client that sends messages at full speed on one connection and reads what is
// sent to it.
func flood(message func(seq int32) []byte) client {
	return func(ctx context.Context, address string) {
		conn, end, err := dial(ctx, address)
		if err != nil {
			return
		}
		defer end()
		go func() {
			_, _ = io.Copy(io.Discard, conn)
			end()
		}()
		for seq := int32(1); ctx.Err() == nil; seq++ {
			if _, err := conn.Write(message(seq)); err != nil {
				return
			}
		}
	}
}

// floodExecute floods with sound requests of a class, each with a new key, or of ever new classes
// with ever new field names and balancers if class is empty.
func floodExecute(class string) client {
	return flood(func(seq int32) []byte {
		id := fakes.NewID()
		fields := map[string]string{"verb": class, "txn": id, "lb": "1", "ram": "20", "standing": "0.5", "unique": "key-" + id}
		if class == "" {
			fields["verb"], fields["lb"], fields["x-"+id] = "class-"+id, strconv.Itoa(int(seq)), "x"
		}
		return fakes.AppendExecute(nil, seq, fields, []byte("hostile "+id))
	})
}

// sendAndLeave sends keyed requests and closes the connection with their answers unread.
func sendAndLeave(ctx context.Context, address string) {
	const requests = 32
	conn, end, err := dial(ctx, address)
	if err != nil {
		return
	}
	defer end()
	var messages []byte
	for seq := range int32(requests) {
		id := fakes.NewID()
		messages = fakes.AppendExecute(messages, seq+1, map[string]string{
			"verb": classGift, "txn": id, "lb": "1", "ram": "20", "standing": "0.5", "unique": "key-" + id,
		}, []byte("hostile "+id))
	}
	_, _ = conn.Write(messages)
}

func noise(int32) []byte {
	p := make([]byte, 512)
	for i := range p {
		p[i] = byte(rand.IntN(256)) //nolint:gosec // noise needs no secure randomness
	}
	return p
}

func uwsgiVars(n, size int) []uwsgi.Var {
	vars := []uwsgi.Var{{Name: "REQUEST_METHOD", Value: http.MethodPost}, {Name: "PATH_INFO", Value: "/" + classPage}}
	for range n {
		vars = append(vars, uwsgi.Var{Name: "", Value: strings.Repeat("x", size)})
		vars[len(vars)-1].Name = "X"
	}
	return vars
}

// uwsgiHalf returns a request with n variables and half of its body. Variables that do not fit are
// left out.
func uwsgiHalf(n, size int) []byte {
	for ; n > 0; n = n * 9 / 10 {
		packet, err := uwsgi.AppendRequest(nil, uwsgiVars(n, size), make([]byte, bodyBytes))
		if !errors.Is(err, uwsgi.ErrTooLarge) {
			return packet[:len(packet)-bodyBytes/2]
		}
	}
	return nil
}

func uwsgiRequest() []byte {
	packet, _ := uwsgi.AppendRequest(nil, uwsgiVars(0, 0), []byte("hostile")) // it is small enough
	return packet
}

func thriftHalf() []byte {
	message := fakes.AppendExecute(nil, 1, map[string]string{"verb": strings.Repeat("x", frameBytes-200)}, nil)
	return message[:min(frameSent, len(message)-1)]
}

func httpHalf() []byte {
	head := "POST /" + libraryPath + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + strconv.Itoa(bodyBytes) + "\r\n"
	for range 4000 {
		head += "X: 1\r\n"
	}
	return append([]byte(head+"\r\n"), make([]byte, bodyBytes/2)...)
}

func httpRequest() []byte {
	return []byte("POST /" + libraryPath + " HTTP/1.1\r\nHost: x\r\nIdempotency-Key: " + fakes.NewID() + "\r\nContent-Length: 7\r\n\r\nhostile")
}
