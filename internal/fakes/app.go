package fakes

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"quincerail.example/quincerail/protocol/uwsgi"
)

// App stands in for a uwsgi application server.
type App struct {
	work     *Work
	listener net.Listener
}

// NewApp starts a uwsgi application server that does some work.
func NewApp(address string, work *Work) (*App, error) {
	l, err := listen(address)
	if err != nil {
		return nil, fmt.Errorf("uwsgi app: %w", err)
	}
	a := &App{work: work, listener: l}
	go accept(l, a.serve)
	return a, nil
}

// Addr is where it listens.
func (a *App) Addr() string { return a.listener.Addr().String() }

// Close ends it.
func (a *App) Close() { closeIgnoringError(a.listener) }

func (a *App) serve(nc net.Conn) {
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
	switch a.work.begin(body) {
	case "fail":
		answer(500, "failed")
	case "break":
	case "hang":
		_, _ = r.Peek(1) // until the app server gives up
		a.work.stopped(body)
	default:
		time.Sleep(a.work.Took)
		answer(200, Result(body))
	}
}
