// Package server assembles the app server from its parts and runs it: [Start] opens the
// listeners and starts the parts in order, [Server.Reload] applies a new configuration, and
// [Server.Shutdown] drains the server and stops the parts.
package server

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"quincerail.example/quincerail/backend"
	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/discovery"
	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/downstream"
	"quincerail.example/quincerail/fleet"
	"quincerail.example/quincerail/frontend/thrift"
	"quincerail.example/quincerail/frontend/uwsgi"
	"quincerail.example/quincerail/guard"
	"quincerail.example/quincerail/handover"
	"quincerail.example/quincerail/idempotency/journal"
	"quincerail.example/quincerail/match"
	"quincerail.example/quincerail/metrics"
	"quincerail.example/quincerail/transport"
)

// state is a phase of a server's lifecycle. A server only moves down this table, and may
// skip states.
//
//	state        entered                    callers                                 next
//	starting     by Start                   can't connect                           takingOver, serving
//	takingOver   by Start, if the           can't connect until the predecessor's   serving
//	             socket is inherited        keys are replicated
//	serving      by startServing            are served                              notifying, handingOver
//	handingOver  by Shutdown, if a          connect to the successor; open          stopped
//	             successor is ready         requests are answered here
//	notifying    by Shutdown otherwise      are told to use other servers, and      rejecting
//	                                        are served until the grace ends
//	rejecting    when the grace ends        can't connect; new requests on open     closing, stopped
//	                                        connections are shed
//	closing      at the answer deadline,    have their connections closed           stopped
//	             if connections are open
//	stopped      when Shutdown is done      are disconnected, or the process is     -
//	                                        about to be killed
type state int32

const (
	stateStarting state = iota
	stateTakingOver
	stateServing
	stateHandingOver
	stateNotifying
	stateRejecting
	stateClosing
	stateStopped
)

// Server is a running app server, which Start returns. Its methods may be called from any
// goroutine. Shutdown must be called only once.
type Server struct {
	log          *slog.Logger
	state        atomic.Int32                  // a state
	activeConfig atomic.Pointer[config.Config] // fileConfig with fleetPatch applied

	// The parts. A part that the configuration turns off is nil.
	core       *dispatch.Core
	monitor    *guard.Monitor // counts violations of the platform's rules
	processor  *backend.Processor
	dependency *downstream.Pool
	registrar  *discovery.Registrar
	journal    *journal.Journal // of idempotency keys
	fleet      *fleet.Fleet
	handover   *handover.Endpoint // only with an inherited listening socket
	rules      *match.ActiveRules // the operator's classification rules, which the frontends apply first
	recorder   *metrics.Recorder
	outcomes   *outcomeCounter // for the fleet's rollouts

	// The frontends and their listeners.
	idleTimeout   *idleTimeout
	thrift        *thrift.Frontend
	uwsgi         *uwsgi.Frontend
	uwsgiBackend  *backend.UWSGI
	listeners     []listener           // of the frontends; the first is the Thrift frontend's
	commandServer *transport.Server    // for operators' commands
	monitored     []*monitoredListener // the frontends' listeners and that for commands
	input         *inputMonitor        // nil if the configuration does not limit the memory
	httpServers   []*http.Server       // for metrics and the operators' HTTP endpoints
	metricsAddr   net.Addr

	reloadMu    sync.Mutex      // held during a reload; protects the fields up to uwsgiListen
	fileConfig  *config.Config  // the configuration from the file, without fleetPatch
	fleetPatch  json.RawMessage // JSON merge patch of the settings, from a rollout of the fleet; nil for none
	uwsgiListen string          // the listening address in the uwsgi frontend's file

	lifetimeCtx   context.Context // of the parts' goroutines
	stop          context.CancelFunc
	reportingCtx  context.Context // of the reports to the discovery service
	stopReporting context.CancelFunc
}

const (
	bytesPerMB      = 1 << 20
	heapMemoryShare = 0.75 // share of the process's memory that the Go runtime may use
)

// ApplyResourceLimits sets the Go runtime's memory limit (GOMEMLIMIT) and the number of
// threads that run Go code in parallel (GOMAXPROCS) from the limits in the configuration.
func ApplyResourceLimits(c *config.Config) {
	debug.SetMemoryLimit(int64(float64(c.MemoryMB) * heapMemoryShare * bytesPerMB))
	runtime.GOMAXPROCS(max(1, int(c.Cores)))
}

// enter moves the server to the state next. It does nothing if the server is in next or in a
// later state.
func (s *Server) enter(next state) {
	for {
		current := s.state.Load()
		if current >= int32(next) || s.state.CompareAndSwap(current, int32(next)) {
			return
		}
	}
}

// hasStartedServing reports whether the server has reached stateServing or a later state.
func (s *Server) hasStartedServing() bool { return state(s.state.Load()) >= stateServing }

// Addr returns the address that balancers connect to.
func (s *Server) Addr() net.Addr { return s.listeners[0].server.Addr() }

// UWSGIAddr returns the address of the uwsgi frontend, nil if it is off.
func (s *Server) UWSGIAddr() net.Addr {
	if len(s.listeners) < 2 {
		return nil
	}
	return s.listeners[1].server.Addr()
}

// ControlAddr returns the address for operators' commands, nil if there is none.
func (s *Server) ControlAddr() net.Addr {
	if s.commandServer == nil {
		return nil
	}
	return s.commandServer.Addr()
}

// MetricsAddr returns the address that serves /metrics, nil if there is none.
func (s *Server) MetricsAddr() net.Addr { return s.metricsAddr }
