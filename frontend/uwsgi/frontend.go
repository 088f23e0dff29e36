// Package uwsgi is the frontend for web servers that speak the uwsgi protocol. It reads one
// request from each connection, submits it to the core, and writes the outcome as an HTTP
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
	firstByteTimeout         = 2 * time.Second         // until the first byte of a request; callers that send nothing must be closed within 3 s
	requestStallTimeout      = 2400 * time.Millisecond // until the next byte of an incomplete request
	requestTimeoutAfterGrace = 100 * time.Millisecond  // until the rest of a request has arrived, after the grace period of a drain
	retryAfterInput          = time.Second             // of a request for which no memory was left
	requestOverheadKB        = 16                      // memory reserved for a request in addition to its size
	frontendName             = "uwsgi"                 // of this frontend in operator rules
	noBalancer               = -1                      // dispatch.Request.Caller of requests that were not sent by a balancer
	bytesPerKB               = 1024
)

// CGI variables of a request that the frontend reads.
const (
	variableMethod = "REQUEST_METHOD"
	variablePath   = "PATH_INFO"
	variableURI    = "REQUEST_URI"
)

// Config is the part of the configuration that a reload may change.
type Config struct {
	Routes       *describe.Table
	HealthPath   string // path of health checks, which do not run as requests; "" for none
	MaxBodyBytes int    // maximum size of a request body; a reload applies to new connections
}

// Options configure a Frontend.
type Options struct {
	Core    *dispatch.Core
	Backend dispatch.Backend   // runs the requests
	Rules   *match.ActiveRules // operator rules, which take precedence over the routes
	Config  Config
}

// Frontend serves the connections of web servers, each with one request. Its methods may be
// called from any goroutine.
type Frontend struct {
	core        *dispatch.Core
	backend     dispatch.Backend
	rules       *match.ActiveRules
	config      atomic.Pointer[Config]
	connections frontend.ConnSet[*connection]
	graceOver   atomic.Bool // the grace period of a drain is over, also for new connections
}

// New returns a frontend without connections.
func New(options Options) *Frontend {
	f := &Frontend{core: options.Core, backend: options.Backend, rules: options.Rules}
	f.SetConfig(options.Config)
	return f
}

// SetConfig replaces the configuration for future requests. MaxBodyBytes applies only to new
// connections.
func (f *Frontend) SetConfig(config Config) { f.config.Store(&config) }

// Serve serves one connection until it closes. If the request has no response then, Serve
// reports to the core that the caller has disconnected.
func (f *Frontend) Serve(transportConn *transport.Conn) {
	c := &connection{
		frontend: f,
		conn:     transportConn,
		decoder:  protocol.Decoder{MaxBody: f.config.Load().MaxBodyBytes, Reserve: transportConn.ReserveInput},
	}
	f.connections.Add(c)
	defer f.connections.Remove(c)
	if f.graceOver.Load() { // if it is set after this, EndGrace finds the connection in the set
		c.endGrace()
	}
	transportConn.SetReceiveTimeouts(firstByteTimeout, requestStallTimeout, c.isPending)
	transportConn.SetPartialMessage(c.decoder.Started)
	transportConn.OnClose(c.respondToIncomplete)
	_ = transportConn.Serve(c.handleNext) // a caller that is still connected has received its response
	if id, unanswered := c.unansweredRequest(); unanswered {
		f.core.CallerDisconnected(id, c)
	}
}

// ReclaimConnections does nothing: no connection is idle, because each one has a request or
// waits for one. transport.Server closes those that wait too long.
func (f *Frontend) ReclaimConnections() {}

// NotifyDraining does nothing: each connection closes after its response.
func (f *Frontend) NotifyDraining() {}

// Drain does nothing: each connection closes after its response, which the core sends in time.
func (f *Frontend) Drain(time.Time) {}

// PendingConns returns the number of connections with a request whose response is not
// written.
func (f *Frontend) PendingConns() int { return f.connections.Count((*connection).isPending) }

// EndGrace is called when the grace period of a drain is over. Requests that have not been read
// by then do not run: the core sheds those that arrive within requestTimeoutAfterGrace. The
// frontend rejects those of which only a part arrives, and closes connections without any byte.
func (f *Frontend) EndGrace() {
	f.graceOver.Store(true)
	f.connections.Each((*connection).endGrace)
}
