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

// Outcome is the answer that a client got.
type Outcome struct {
	Kind string // served, refused, failed, rejected
	Body string // served
}

// Attempt is one attempt of a request, on a connection of its own. It can be sent in two
// parts, so that the server has read a half of it in between.
type Attempt struct {
	conn        net.Conn
	r           *bufio.Reader
	unsent      []byte
	arrivalTime []byte // part of unsent: set when the last byte is sent
	readOutcome func(*bufio.Reader) (Outcome, error)
	cancel      func(net.Conn)
}

// Client makes attempts over one frontend.
type Client func(address, class, key, body string) (*Attempt, error)

// Send sends all that has not been sent.
func (t *Attempt) Send() error {
	copy(t.arrivalTime, arrivalTime())
	_, err := t.conn.Write(t.unsent)
	t.unsent = nil
	return err
}

// SendHalf sends the first half of what has not been sent.
func (t *Attempt) SendHalf() error {
	n := len(t.unsent) / 2
	_, err := t.conn.Write(t.unsent[:n])
	t.unsent = t.unsent[n:]
	return err
}

// Outcome waits for the answer, and closes the connection.
func (t *Attempt) Outcome() (Outcome, error) {
	defer closeIgnoringError(t.conn)
	if err := t.conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return Outcome{}, err
	}
	return t.readOutcome(t.r)
}

// Cancel gives the request up in the way of the protocol.
func (t *Attempt) Cancel() { t.cancel(t.conn) }

// Disconnect closes the connection.
func (t *Attempt) Disconnect() { closeIgnoringError(t.conn) }

func dial(address string, request []byte) (*Attempt, error) {
	var dialer net.Dialer
	nc, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Attempt{conn: nc, r: bufio.NewReader(nc), unsent: request}, nil
}

// Thrift is a caller that speaks the balancers' protocol.
func Thrift(address, class, key, body string) (*Attempt, error) {
	return thriftAttempt(address, class, key, body, nil)
}

// ThriftWith gives one whose requests carry further fields, or others.
func ThriftWith(further map[string]string) Client {
	return func(address, class, key, body string) (*Attempt, error) {
		return thriftAttempt(address, class, key, body, further)
	}
}

func thriftAttempt(address, class, key, body string, further map[string]string) (*Attempt, error) {
	fields := map[string]string{"verb": class, "txn": NewID(), "lb": "1", "ram": "20", "standing": "0.5"}
	if key != "" {
		fields["unique"] = key
	}
	maps.Copy(fields, further)
	t, err := dial(address, AppendExecute(nil, 1, fields, []byte(body)))
	if err != nil {
		return nil, err
	}
	end := len(t.unsent) - 1 // the struct's end
	t.arrivalTime = t.unsent[end-len(arrivalTime()) : end]
	t.readOutcome = func(r *bufio.Reader) (Outcome, error) {
		for {
			reply, err := ReadReply(r)
			if err != nil || reply.Name == "execute" {
				return reply.Outcome(), err
			}
		}
	}
	t.cancel = func(nc net.Conn) { send(nc, "%s", AppendInterrupt(nil, 1)) }
	return t, nil
}

// UWSGI is a caller that speaks uwsgi. It asks for the path /CLASS.
func UWSGI(address, class, key, body string) (*Attempt, error) {
	vars := []uwsgi.Var{{Name: "REQUEST_METHOD", Value: "POST"}, {Name: "PATH_INFO", Value: "/" + class}}
	if key != "" {
		vars = append(vars, uwsgi.Var{Name: "HTTP_IDEMPOTENCY_KEY", Value: key})
	}
	request, err := uwsgi.AppendRequest(nil, vars, []byte(body))
	if err != nil {
		return nil, err
	}
	t, err := dial(address, request)
	if err != nil {
		return nil, err
	}
	t.readOutcome = func(r *bufio.Reader) (Outcome, error) {
		resp, err := uwsgi.ReadResponse(r, "POST")
		if err != nil {
			return Outcome{}, err
		}
		later := slices.ContainsFunc(resp.Headers, func(h uwsgi.Var) bool { return h.Name == "Retry-After" })
		return httpOutcome(resp.Status, later, string(resp.Body))
	}
	t.cancel = func(nc net.Conn) { closeIgnoringError(nc) }
	return t, nil
}

// HTTP is a caller that speaks HTTP/1.1. It posts to the path /CLASS, with the
// key in the header Idempotency-Key.
func HTTP(address, class, key, body string) (*Attempt, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /%s HTTP/1.1\r\nHost: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n",
		class, address, len(body))
	if key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", key)
	}
	fmt.Fprintf(&b, "\r\n%s", body)
	t, err := dial(address, []byte(b.String()))
	if err != nil {
		return nil, err
	}
	t.readOutcome = func(r *bufio.Reader) (Outcome, error) {
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
	t.cancel = func(nc net.Conn) { closeIgnoringError(nc) }
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
