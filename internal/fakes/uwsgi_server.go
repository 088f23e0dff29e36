package fakes

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"quincerail.example/quincerail/protocol/uwsgi"
)

// UWSGIServer is a fake of a uwsgi application server.
type UWSGIServer struct {
	work     *Work
	listener net.Listener
}

// NewUWSGIServer starts a uwsgi application server that does some work.
func NewUWSGIServer(address string, work *Work) (*UWSGIServer, error) {
	l, err := listen(address)
	if err != nil {
		return nil, fmt.Errorf("uwsgi app: %w", err)
	}
	a := &UWSGIServer{work: work, listener: l}
	go accept(l, a.serve)
	return a, nil
}

// Addr is where it listens.
func (a *UWSGIServer) Addr() string { return a.listener.Addr().String() }

// Close ends it.
func (a *UWSGIServer) Close() { closeIgnoringError(a.listener) }

func (a *UWSGIServer) serve(nc net.Conn) {
	r := bufio.NewReader(nc)
	req, err := (&uwsgi.Decoder{MaxBody: 1 << 20}).Read(r)
	if err != nil {
		return
	}
	body := string(req.Body)
	answer := func(status int, text string) {
		send(nc, "%s", uwsgi.AppendResponse(nil, uwsgi.Response{
			Status: status, Body: []byte(text),
			Headers: []uwsgi.Var{{Name: "Content-Type", Value: "text/plain"}},
		}))
	}
	switch a.work.start(body) {
	case "fail":
		answer(500, "failed")
	case "break":
	case "hang":
		_, _ = r.Peek(1) // until the app server gives up
		a.work.stopped(body)
	default:
		time.Sleep(a.work.Duration)
		answer(200, Result(body))
	}
}
