package server

import (
	"bufio"
	"errors"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/describe"
	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/match"
	"quincerail.example/quincerail/protocol/httpresult"
	"quincerail.example/quincerail/protocol/uwsgi"
	"quincerail.example/quincerail/transport"
)

const (
	uwsgiReadWithin = 10 * time.Second       // for a request to come whole
	uwsgiLateWithin = 100 * time.Millisecond // likewise, when the grace of a drain is over
	uwsgiBaseKB     = 16                     // of memory that a request is taken to need beside its size
)

// uwsgiFront is the front for the uwsgi protocol: one request a connection.
type uwsgiFront struct {
	core    *dispatch.Core
	rules   *match.Rules
	backend dispatch.Backend
	now     atomic.Pointer[uwsgiSettings]
	conns   registry[*uwsgiConn]
}

// uwsgiSettings is the configuration in force, which a reload replaces.
type uwsgiSettings struct {
	*config.UWSGI
	table *describe.Table
}

func newUWSGIFront(core *dispatch.Core, backend dispatch.Backend, settings *config.UWSGI, rules *match.Rules) *uwsgiFront {
	f := &uwsgiFront{core: core, rules: rules, backend: backend, conns: newRegistry[*uwsgiConn]()}
	f.reload(settings)
	return f
}

// reload takes over a configuration for the requests to come. It tells whether
// another address to listen on was asked for, which needs a restart.
func (f *uwsgiFront) reload(settings *config.UWSGI) (listenChanged bool) {
	was := f.now.Swap(&uwsgiSettings{settings, settings.RouteTable()})
	return was != nil && was.Listen != settings.Listen
}

// uwsgiConn is one connection and its request.
type uwsgiConn struct {
	front *uwsgiFront
	conn  *transport.Conn

	mu      sync.Mutex
	decoder uwsgi.Decoder
	id      string // of the request handed in
	closing bool   // it has its answer, or gets none
	late    bool   // the grace of a drain is over: what is not read by now is turned away
}

// serve works one connection. If it ends before the answer, the caller is lost.
func (f *uwsgiFront) serve(c *transport.Conn) {
	u := &uwsgiConn{front: f, conn: c, decoder: uwsgi.Decoder{MaxBody: f.now.Load().MaxBody}}
	f.conns.add(u)
	defer f.conns.remove(u)
	c.SetReadDeadline(time.Now().Add(uwsgiReadWithin))
	c.Serve(u.step)
	u.mu.Lock()
	id, answered := u.id, u.closing
	u.mu.Unlock()
	if id != "" && !answered {
		f.core.CallerDisconnected(id, u)
	}
}

func (u *uwsgiConn) step(r *bufio.Reader) error {
	u.mu.Lock()
	waiting, late := u.id != "" || u.closing, u.late
	u.mu.Unlock()
	if waiting { // for the answer: all that can come is the end of the connection
		if _, err := r.Peek(1); err != nil {
			return err
		}
		r.Discard(r.Buffered())
		return nil
	}
	req, err := u.decoder.Read(r)
	switch {
	case err == nil && req.Modifier1 == uwsgi.ModifierPing:
		u.front.core.CheckHealth(false, func(good bool) {
			if good {
				u.conn.Send(uwsgi.AppendPong(nil))
			}
			u.finish()
		})
	case err == nil:
		u.take(req)
	case errors.Is(err, uwsgi.ErrMalformed):
		u.respond(http.StatusBadRequest)
	case errors.Is(err, uwsgi.ErrTooLarge):
		u.respond(http.StatusRequestEntityTooLarge)
	case !errors.Is(err, os.ErrDeadlineExceeded) || !u.conn.Expired() || !u.decoder.Started():
		return err // nothing has come in time, so nothing is owed; or only a wake-up has
	case late:
		u.refuse(0)
	default:
		u.respond(http.StatusRequestTimeout)
	}
	return nil
}

// take hands a request in. It arrived now that its last byte is read.
func (u *uwsgiConn) take(req *uwsgi.Request) {
	f, path := u.front, req.Get("PATH_INFO")
	now := f.now.Load()
	if path == "" {
		path, _, _ = strings.Cut(req.Get("REQUEST_URI"), "?")
	}
	id := dispatch.NewID()
	u.mu.Lock()
	u.id = id
	u.conn.SetReadDeadline(time.Time{}) // from here on the core answers in time
	u.mu.Unlock()
	if now.HealthPath != "" && path == now.HealthPath {
		f.core.CheckHealth(false, func(good bool) {
			if good {
				u.respond(http.StatusOK)
			} else {
				u.refuse(0)
			}
		})
		return
	}
	class, key, ok := f.classify(req, path)
	if !ok {
		u.respond(http.StatusNotFound)
		return
	}
	payload := dispatch.Payload{Body: req.Body}
	size := len(req.Body)
	for _, v := range req.Vars {
		payload.Fields = append(payload.Fields, dispatch.Field(v))
		size += len(v.Name) + len(v.Value)
	}
	err := f.core.Submit(dispatch.Request{
		ID: id, Class: class, Key: key,
		ArrivedAt: time.Now(), ReadBy: u.conn.ReadBy(), Caller: -1, ReservedKB: uwsgiBaseKB + float64(size)/1024, Payload: payload,
		Backend: f.backend, Responder: u,
	})
	if err != nil { // a keyed class without its key
		u.respond(http.StatusBadRequest)
	}
}

// classify gives a request's class and key: by the operator's rules, if one
// takes it, else by the routes.
func (f *uwsgiFront) classify(req *uwsgi.Request, path string) (class, key string, ok bool) {
	if set := f.rules.Load(); set != nil {
		r := match.Request{
			Front: "uwsgi", Method: req.Get("REQUEST_METHOD"), Path: path,
			Headers: make(map[string]string, len(req.Vars)), Body: req.Body,
		}
		for _, v := range req.Vars {
			if name, ok := match.CGIHeader(v.Name); ok {
				r.Headers[name] = v.Value
			}
		}
		if res, ok := set.Classify(r); ok {
			return res.Class, res.Key, true
		}
	}
	route, ok := f.now.Load().table.Match(req.Get("REQUEST_METHOD"), path)
	return route.Class, req.Get(route.KeyHeader), ok
}

// Respond implements dispatch.Sink.
func (u *uwsgiConn) Respond(_ string, o dispatch.Outcome) {
	switch o.Kind {
	case dispatch.Served:
		status, headers, body := httpresult.Decode(o.Result)
		resp := uwsgi.Response{Status: status, Body: body}
		for _, h := range headers {
			resp.Headers = append(resp.Headers, uwsgi.Var(h))
		}
		u.send(resp)
	case dispatch.Shed:
		u.refuse(o.RetryAfter)
	default:
		u.respond(httpresult.Status(o.Kind))
	}
}

// refuse turns the request away and tells when to come back.
func (u *uwsgiConn) refuse(later time.Duration) {
	u.respond(http.StatusServiceUnavailable, uwsgi.Var{Name: "Retry-After", Value: httpresult.RetryAfter(later)})
}

func (u *uwsgiConn) respond(status int, headers ...uwsgi.Var) {
	u.send(uwsgi.Response{
		Status: status, Headers: append(headers, uwsgi.Var{Name: "Content-Type", Value: "text/plain"}),
		Body: []byte(http.StatusText(status) + "\n"),
	})
}

func (u *uwsgiConn) send(r uwsgi.Response) {
	u.conn.Send(uwsgi.AppendResponse(nil, r))
	u.finish()
}

// finish ends the connection once what is queued is written.
func (u *uwsgiConn) finish() {
	u.mu.Lock()
	u.closing = true
	u.mu.Unlock()
	u.conn.Close()
}

// crowded has no room to make: a connection is at work, or its time to bring a
// request runs.
func (f *uwsgiFront) crowded() {}

// notifyDraining has nothing to say in this protocol: a connection ends with its answer.
func (f *uwsgiFront) notifyDraining() {}

// drain has nothing to do: a connection ends with its answer, and all have one.
func (f *uwsgiFront) drain(time.Time) {}

// unended counts the connections with a request whose answer is not written.
func (f *uwsgiFront) unended() (n int) {
	f.conns.each(func(u *uwsgiConn) {
		u.mu.Lock()
		defer u.mu.Unlock()
		if (u.id != "" || u.closing) && !u.conn.Ended() {
			n++
		}
	})
	return n
}

// refuseLate has what is still unread when the grace of a drain is over turned
// away: at once by the module, if all of it is on its way, else here.
func (f *uwsgiFront) refuseLate() {
	f.conns.each(func(u *uwsgiConn) {
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.id == "" && !u.closing {
			u.late = true
			u.conn.SetReadDeadline(time.Now().Add(uwsgiLateWithin))
			u.conn.Wake()
		}
	})
}
