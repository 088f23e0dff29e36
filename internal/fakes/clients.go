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

// answerTimeout limits the wait for a response. It is longer than any request deadline
// in the tests.
const answerTimeout = 20 * time.Second

// Outcome is the response that a client received.
type Outcome struct {
	Kind string // served, refused (shed), failed or rejected (invalid request)
	Body string // result of a served request; otherwise empty
}

// Attempt is one attempt of a request, on its own connection. SendHalf followed by Send
// sends it in two parts, so that a test can act while the server has read only the first.
type Attempt struct {
	conn        net.Conn
	r           *bufio.Reader
	unsent      []byte
	arrivalTime []byte // slice of unsent with the arrival time, which Send sets; may be nil
	readOutcome func(*bufio.Reader) (Outcome, error)
	cancel      func(net.Conn)
}

// Client connects to a frontend at address and prepares an attempt; Attempt.Send sends it.
// An empty key sends no idempotency key.
type Client func(address, class, key, body string) (*Attempt, error)

// Send sends the unsent rest of the request, with the current time as its arrival time if
// the protocol has one.
func (t *Attempt) Send() error {
	copy(t.arrivalTime, arrivalTime())
	_, err := t.conn.Write(t.unsent)
	t.unsent = nil
	return err
}

// SendHalf sends the first half of the unsent bytes.
func (t *Attempt) SendHalf() error {
	n := len(t.unsent) / 2
	_, err := t.conn.Write(t.unsent[:n])
	t.unsent = t.unsent[n:]
	return err
}

// SendByte sends the first unsent byte of the request.
func (t *Attempt) SendByte() error {
	if len(t.unsent) == 0 {
		return nil
	}
	_, err := t.conn.Write(t.unsent[:1])
	t.unsent = t.unsent[1:]
	return err
}

// Outcome waits for the response and closes the connection.
func (t *Attempt) Outcome() (Outcome, error) {
	defer closeIgnoringError(t.conn)
	if err := t.conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return Outcome{}, err
	}
	return t.readOutcome(t.r)
}

// Cancel cancels the request as its protocol does: over Thrift with an interrupt message,
// over uwsgi and HTTP by closing the connection.
func (t *Attempt) Cancel() { t.cancel(t.conn) }

// Disconnect closes the connection without cancelling the request first.
func (t *Attempt) Disconnect() { closeIgnoringError(t.conn) }

func dial(address string, request []byte) (*Attempt, error) {
	var dialer net.Dialer
	nc, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Attempt{conn: nc, r: bufio.NewReader(nc), unsent: request}, nil
}

// Thrift is a Client of the frontend for balancers.
func Thrift(address, class, key, body string) (*Attempt, error) {
	return thriftAttempt(address, class, key, body, nil)
}

// ThriftWith returns a Client like Thrift whose requests have extraFields added to the
// default fields, or in place of them where the names are equal.
func ThriftWith(extraFields map[string]string) Client {
	return func(address, class, key, body string) (*Attempt, error) {
		return thriftAttempt(address, class, key, body, extraFields)
	}
}

func thriftAttempt(address, class, key, body string, extraFields map[string]string) (*Attempt, error) {
	fields := map[string]string{"verb": class, "txn": NewID(), "lb": "1", "ram": "20", "standing": "0.5"}
	if key != "" {
		fields["unique"] = key
	}
	maps.Copy(fields, extraFields)
	t, err := dial(address, AppendExecute(nil, 1, fields, []byte(body)))
	if err != nil {
		return nil, err
	}
	end := len(t.unsent) - 1 // of the arrival time; the last byte ends the arguments struct
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

// UWSGI is a Client of the uwsgi frontend. It posts to the path /CLASS.
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
		retryAfter := slices.ContainsFunc(resp.Headers, func(h uwsgi.Var) bool { return h.Name == "Retry-After" })
		return httpOutcome(resp.Status, retryAfter, string(resp.Body))
	}
	t.cancel = func(nc net.Conn) { closeIgnoringError(nc) }
	return t, nil
}

// HTTP is a Client of the HTTP/1.1 frontend. It posts to the path /CLASS and sends the key
// in the header Idempotency-Key.
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

// httpOutcome maps the status of a response to its outcome. A 503 counts as refused if it has
// a Retry-After header, and is an error otherwise, as is a status without an outcome.
func httpOutcome(status int, retryAfter bool, body string) (Outcome, error) {
	switch {
	case status == 200:
		return Outcome{"served", body}, nil
	case status == 503 && retryAfter:
		return Outcome{Kind: "refused"}, nil
	case status == 408, status == 500, status == 502, status == 504:
		return Outcome{Kind: "failed"}, nil
	case status == 400, status == 422:
		return Outcome{Kind: "rejected"}, nil
	}
	return Outcome{}, fmt.Errorf("fakes: unexpected response status %d", status)
}
