package fakes

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"quincerail.example/quincerail/protocol/uwsgi"
)

// answerTimeout is how long a caller waits for an answer, longer than any deadline of
// the tests.
const answerTimeout = 20 * time.Second

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
	defer closeIgnoringError(t.conn)
	if err := t.conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return Outcome{}, err
	}
	return t.read(t.r)
}

// GiveUp tells, in the way of the protocol, that nobody waits any more.
func (t *Try) GiveUp() { t.gone(t.conn) }

// Break ends the connection without a word.
func (t *Try) Break() { closeIgnoringError(t.conn) }

func try(address string, request []byte) (*Try, error) {
	var dialer net.Dialer
	nc, err := dialer.DialContext(context.Background(), "tcp", address)
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
	t.gone = func(nc net.Conn) { send(nc, "%s", AppendInterrupt(nil, 1)) }
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
	t.gone = func(nc net.Conn) { closeIgnoringError(nc) }
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
		defer closeIgnoringError(resp.Body)
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			return Outcome{}, err
		}
		return httpOutcome(resp.StatusCode, resp.Header.Get("Retry-After") != "", string(text))
	}
	t.gone = func(nc net.Conn) { closeIgnoringError(nc) }
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
