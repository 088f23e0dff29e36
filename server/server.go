// Package server assembles the app server from its parts and runs them: it starts and
// stops them in order, opens the listeners, and puts new configurations in force.
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

// state is a step of a server's life. A server only moves forward in this table; it may
// skip states.
//
//	state        entered               callers                                next
//	starting     by Start              none are let in                        takingOver, serving
//	takingOver   by Start, where the   none are let in until the              serving
//	             socket is inherited   predecessor's keys are known
//	serving      by openToCallers      are served                             notifying, handingOver
//	handingOver  by Shutdown, where a  use the successor; what is open here   stopped
//	             successor is ready    is answered
//	notifying    by Shutdown           are told to use other servers, and     rejecting
//	                                   served until the grace is over
//	rejecting    after the grace       can't connect; what comes over open    closing, stopped
//	                                   connections is shed
//	closing      when all is answered  their connections are closed           stopped
//	stopped      at the end            none are left, or the process is       -
//	                                   about to be killed
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
// goroutine, and Shutdown must be called only once.
type Server struct {
	log     *slog.Logger
	state   atomic.Int32                  // a state
	inForce atomic.Pointer[config.Config] // the configuration, with what the fleet changed

	// The parts. Those that the configuration leaves out are nil.
	core       *dispatch.Core
	monitor    *guard.Monitor // counts violations of the platform's rules
	processor  *backend.Processor
	dependency *downstream.Pool
	registrar  *discovery.Registrar
	journal    *journal.Journal // of idempotency keys
	fleet      *fleet.Fleet
	handover   *handover.Endpoint // where the listening socket is inherited
	rules      *match.ActiveRules // the operator's, which the fronts ask first
	recorder   *metrics.Recorder
	outcomes   *outcomeCounter // for the fleet's rollouts

	// The fronts and their listeners.
	idleTimeout  *idleTimeout
	thrift       *thrift.Frontend
	uwsgi        *uwsgi.Frontend
	uwsgiBackend *backend.UWSGI
	listeners    []listener        // of the fronts; the first is the platform's
	commands     *transport.Server // where operators send commands
	httpServers  []*http.Server    // the operators' other listeners
	metricsAddr  net.Addr

	reloading   sync.Mutex      // held by a reload; protects the fields up to uwsgiListen
	fromFile    *config.Config  // the configuration as its file has it, without fleetPatch
	fleetPatch  json.RawMessage // JSON merge patch of the settings, by a rollout of the fleet; nil for none
	uwsgiListen string          // the address in the uwsgi front's file

	lifetime      context.Context // of the parts' goroutines
	stop          context.CancelFunc
	reporting     context.Context // of the reports to the discovery service
	stopReporting context.CancelFunc
}

const (
	bytesPerMB      = 1 << 20
	heapMemoryShare = 0.75 // of the process's memory, that the Go runtime may take
)

// ApplyResourceLimits sets the Go runtime's memory limit (GOMEMLIMIT) and the number of
// threads that run Go code (GOMAXPROCS) by the configuration.
func ApplyResourceLimits(c *config.Config) {
	debug.SetMemoryLimit(int64(float64(c.MemoryMB) * heapMemoryShare * bytesPerMB))
	runtime.GOMAXPROCS(max(1, int(c.Cores)))
}

// enter moves on to a state. A state that was left behind is not entered again.
func (s *Server) enter(next state) {
	for {
		current := s.state.Load()
		if current >= int32(next) || s.state.CompareAndSwap(current, int32(next)) {
			return
		}
	}
}

// isOpen reports whether callers have been let in.
func (s *Server) isOpen() bool { return state(s.state.Load()) >= stateServing }

// Addr returns the address that balancers connect to.
func (s *Server) Addr() net.Addr { return s.listeners[0].server.Addr() }

// UWSGIAddr returns the address of the uwsgi front, nil where it is off.
func (s *Server) UWSGIAddr() net.Addr {
	if len(s.listeners) < 2 {
		return nil
	}
	return s.listeners[1].server.Addr()
}

// ControlAddr returns the address for operators' commands, nil where there is none.
func (s *Server) ControlAddr() net.Addr {
	if s.commands == nil {
		return nil
	}
	return s.commands.Addr()
}

// MetricsAddr returns the address of /metrics, nil where there is none.
func (s *Server) MetricsAddr() net.Addr { return s.metricsAddr }
