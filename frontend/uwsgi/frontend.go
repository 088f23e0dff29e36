// Package uwsgi is the front for web servers that speak the uwsgi protocol: it reads a
// request for each connection, submits it to the core, and writes the outcome as an HTTP
// response.
package uwsgi

import (
	"sync/atomic"
	"time"

	"quincerail.example/quincerail/describe"
	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/frontend"
	"quincerail.example/quincerail/match"
	protocol "quincerail.example/quincerail/protocol/uwsgi"
	"quincerail.example/quincerail/transport"
)

const (
	requestTimeout           = 10 * time.Second       // for a request to arrive
	requestTimeoutAfterGrace = 100 * time.Millisecond // for the rest of a request, once the grace of a drain is over
	requestOverheadKB        = 16                     // of memory that a request takes beside its size
	frontName                = "uwsgi"                // in the operator's rules
	noBalancer               = -1                     // dispatch.Request.Caller of requests that no balancer sent
	bytesPerKB               = 1024
)

// The variables of a request that the front reads.
const (
	variableMethod = "REQUEST_METHOD"
	variablePath   = "PATH_INFO"
	variableURI    = "REQUEST_URI"
)

// Config is the part of the front's configuration that a reload may change.
type Config struct {
	Routes       *describe.Table
	HealthPath   string // answered by the front itself; "" for none
	MaxBodyBytes int    // of a request; connections keep the limit that they began with
}

// Options are what a Frontend is made of.
type Options struct {
	Core    *dispatch.Core
	Backend dispatch.Backend   // where the requests run
	Rules   *match.ActiveRules // the operator's; asked for a request's class and key first
	Config  Config
}

// Frontend serves web servers, one request a connection. Its methods may be called from
// any goroutine.
type Frontend struct {
	core        *dispatch.Core
	backend     dispatch.Backend
	rules       *match.ActiveRules
	config      atomic.Pointer[Config]
	connections frontend.ConnSet[*connection]
}

// New returns a front that has no connection yet.
func New(options Options) *Frontend {
	f := &Frontend{core: options.Core, backend: options.Backend, rules: options.Rules}
	f.SetConfig(options.Config)
	return f
}

// SetConfig puts a configuration in force for the requests to come.
func (f *Frontend) SetConfig(config Config) { f.config.Store(&config) }

// Serve serves one connection until it ends. If it ends before the answer, the core is
// told that the caller has disconnected.
func (f *Frontend) Serve(transportConn *transport.Conn) {
	c := &connection{
		frontend: f,
		conn:     transportConn,
		decoder:  protocol.Decoder{MaxBody: f.config.Load().MaxBodyBytes},
	}
	f.connections.Add(c)
	defer f.connections.Remove(c)
	transportConn.SetReadDeadline(time.Now().Add(requestTimeout))
	_ = transportConn.Serve(c.step) // a caller that is still connected has its response
	if id, unanswered := c.unansweredRequest(); unanswered {
		f.core.CallerDisconnected(id, c)
	}
}

// MakeRoom does nothing: no connection idles, as each has a request or requestTimeout to send
// one.
func (f *Frontend) MakeRoom() {}

// NotifyDraining does nothing: a connection ends with its answer.
func (f *Frontend) NotifyDraining() {}

// Drain does nothing: a connection ends with its answer, which the core gives in time.
func (f *Frontend) Drain(time.Time) {}

// PendingConns counts the connections with a request whose answer is not written.
func (f *Frontend) PendingConns() int { return f.connections.Count((*connection).isPending) }

// EndGrace has requests rejected that are not read when the grace of a drain is over: by the
// core those that arrive within requestTimeoutAfterGrace, by the front the others.
func (f *Frontend) EndGrace() { f.connections.Each((*connection).endGrace) }
