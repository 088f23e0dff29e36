package fakes

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"quincerail.example/quincerail/protocol/uwsgi"
)

// UWSGIServer is a fake of a uwsgi application server. It serves one request on each
// connection.
type UWSGIServer struct {
	work     *Work
	listener net.Listener
}

// NewUWSGIServer starts a uwsgi application server that listens at address and runs work.
func NewUWSGIServer(address string, work *Work) (*UWSGIServer, error) {
	l, err := listen(address)
	if err != nil {
		return nil, fmt.Errorf("fake uwsgi server: %w", err)
	}
	a := &UWSGIServer{work: work, listener: l}
	go accept(l, a.serve)
	return a, nil
}

// Addr returns the address that it listens at.
func (a *UWSGIServer) Addr() string { return a.listener.Addr().String() }

// Close closes the listener. Open connections stay open.
func (a *UWSGIServer) Close() { closeIgnoringError(a.listener) }

func (a *UWSGIServer) serve(nc net.Conn) {
	r := bufio.NewReader(nc)
	req, err := (&uwsgi.Decoder{MaxBody: 1 << 20}).Read(r)
	if err != nil {
		return
	}
	body := string(req.Body)
	respond := func(status int, text string) {
		send(nc, "%s", uwsgi.AppendResponse(nil, uwsgi.Response{
			Status: status, Body: []byte(text),
			Headers: []uwsgi.Var{{Name: "Content-Type", Value: "text/plain"}},
		}))
	}
	switch a.work.start(body) {
	case "fail":
		respond(500, "failed")
	case "break":
	case "hang":
		_, _ = r.Peek(1) // until the app server closes the connection
		a.work.recordStop(body)
	default:
		time.Sleep(a.work.Duration)
		respond(200, Result(body))
	}
}
