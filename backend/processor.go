package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/protocol/lines"
	"quincerail.example/quincerail/protocol/processor"
	"quincerail.example/quincerail/transport"
)

// maxUnansweredQueries is how many calls of ReadGauges in a row may pass without any notice
// from the processor. One more aborts the connection, and the address is redialled. At the
// interval of the decision module's queries, that many calls take about two seconds. Runs continue
// across a reconnect, so an abort costs little if the processor is only slow. The limit is a
// number of calls and not a time, because time also passes while this process is suspended.
const maxUnansweredQueries = 80

// errReplaced closes a connection that a newer one has replaced.
var errReplaced = errors.New("processor connection replaced by a newer one")

// Processor is the backend that runs requests at the processor. A break of the connection
// may lose the bytes that were written last. Processor therefore keeps each command until a
// message from the processor shows that it need not be sent again (see pendingCommand). On a
// new connection the processor first sends all notices that this side has not read; after
// them Processor sends the pending commands again.
//
// The address may change while the old connection is still open. Processor then ignores
// notices on the old connection, because the processor sends them again on the new one.
type Processor struct {
	core     *dispatch.Core
	log      *slog.Logger
	gauges   []string
	redialer *transport.Redialer

	mu                sync.Mutex
	currentConn       *transport.Conn // the newest connection, ready or not; nil between a break and the next connection
	readyConn         *transport.Conn // currentConn after all missed notices were read; else nil
	greetingConn      *transport.Conn // currentConn before that; else nil
	greetingQuery     uint64          // the query whose answer proves that all missed notices were read; 0 for none
	lastNotice        uint64          // number of the last notice read
	lastQuery         uint64          // number of the last gauge query or health check, which is also its tag
	unansweredQueries int             // calls of ReadGauges since the last notice, including those that sent no query
	everGreeted       bool            // the processor has answered a hello on some connection
	everReady         bool            // some connection has been ready

	pending         []pendingCommand
	gaugeCallbacks  map[uint64]func(decision.Gauges) // by query number
	healthCallbacks map[string]func(healthy bool)    // by tag
}

// NewProcessor returns a backend that runs requests at the processor at address. gauges holds
// the names of the processor's gauges in the order of their values. The caller must call
// Attach and then Run.
func NewProcessor(address string, gauges []string, log *slog.Logger) *Processor {
	p := &Processor{
		log: log, gauges: gauges,
		gaugeCallbacks: make(map[uint64]func(decision.Gauges)), healthCallbacks: make(map[string]func(bool)),
	}
	p.redialer = transport.NewRedialer(address, p.connOpened, p.connClosed)
	return p
}

// Attach sets the core that the backend reports to. It must be called before Run.
func (p *Processor) Attach(core *dispatch.Core) { p.core = core }

// Run keeps a connection to the processor open until ctx is done.
func (p *Processor) Run(ctx context.Context) { p.redialer.Run(ctx) }

// SetAddress changes the processor's address and dials the new one at once.
func (p *Processor) SetAddress(address string) { p.redialer.SetAddress(address) }

// connOpened makes c the current connection and sends the hello. It returns the function that
// reads and handles the next notice.
func (p *Processor) connOpened(c *transport.Conn) func(*bufio.Reader) error {
	p.mu.Lock()
	checks := p.disconnectLocked() // the old connection is still open if the address has changed
	p.currentConn, p.greetingConn, p.unansweredQueries = c, c, 0
	c.Send(processor.AppendHello(nil, p.lastNotice))
	p.mu.Unlock()
	reportUnhealthy(checks)
	return func(r *bufio.Reader) error {
		n, err := processor.Read(r)
		if err != nil {
			return err
		}
		return p.receive(c, n)
	}
}

// connClosed records that c was closed. It does nothing if a newer connection has replaced c.
func (p *Processor) connClosed(c *transport.Conn, err error) {
	p.mu.Lock()
	if p.currentConn != c {
		p.mu.Unlock()
		return
	}
	checks := p.disconnectLocked()
	p.mu.Unlock()
	if err != nil { // nil if this side closed it
		p.log.Warn("processor_connection_lost", "error", err.Error())
	}
	reportUnhealthy(checks)
}

// disconnectLocked resets the state of the current connection. It returns the callbacks of
// the health checks that have no result yet. p.mu is held.
func (p *Processor) disconnectLocked() (checks map[string]func(healthy bool)) {
	p.currentConn, p.readyConn, p.greetingConn, p.greetingQuery = nil, nil, nil, 0
	for i := range p.pending { // an answer on the next connection does not prove that this one's commands were read
		p.pending[i].sent = false
	}
	clear(p.gaugeCallbacks)
	checks = p.healthCallbacks
	p.healthCallbacks = make(map[string]func(bool))
	return checks
}

// reportUnhealthy reports false for health checks whose connection was closed.
func reportUnhealthy(checks map[string]func(healthy bool)) {
	for _, reply := range checks {
		reply(false)
	}
}

// receive handles a notice. It calls the core without holding p.mu, because the core may be
// waiting for p.mu.
func (p *Processor) receive(c *transport.Conn, n processor.Notice) error {
	report, err := p.handle(c, n)
	if err != nil {
		return err
	}
	if report != nil {
		report.send(p.core)
		p.core.AwaitReports()
	}
	return nil
}

// handle updates the connection's state for a notice. It returns the report to the core, or
// nil if there is none.
func (p *Processor) handle(c *transport.Conn, n processor.Notice) (coreReport, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.currentConn != c { // the notice's number in lastNotice would suppress earlier notices on the new connection
		return nil, errReplaced
	}
	p.unansweredQueries = 0
	switch n.Kind {
	case processor.RunCompleted, processor.CallRequested, processor.Remark:
		if n.Number <= p.lastNotice { // sent again after a break
			return nil, nil
		}
		p.lastNotice = n.Number
	}
	switch n.Kind {
	case processor.Greeting:
		return p.handleGreetingLocked(n)
	case processor.RunCompleted:
		p.dropPendingLocked(func(command pendingCommand) bool { return command.runID == n.RunID })
		return runCompleted{n.RunID, runEnd(n.Status), n.Elapsed, dispatch.Payload{Body: n.Payload}}, nil
	case processor.CallRequested:
		p.dropPendingLocked(func(command pendingCommand) bool { // the processor may not have read a cancel command yet
			return command.runID == n.RunID && command.kind != cancelRun
		})
		return callRequested{n.RunID, n.Number, n.Payload}, nil
	case processor.GaugesRead:
		return p.handleGaugesLocked(n), nil
	case processor.HealthChecked:
		return p.handleHealthLocked(n), nil
	case processor.CommandRejected:
		return p.handleRejectedLocked(n), nil
	}
	return nil, nil
}

// handleGreetingLocked handles the answer to the hello, and sends a gauge query. The processor
// answers the query after it has sent all missed notices, so the answer proves that they were
// read (see handleGaugesLocked). p.mu is held.
func (p *Processor) handleGreetingLocked(n processor.Notice) (coreReport, error) {
	if p.greetingConn == nil || p.greetingQuery != 0 {
		return nil, fmt.Errorf("%w: unexpected greeting (hi)", lines.ErrMalformed)
	}
	p.lastQuery++
	p.everGreeted = true
	p.greetingQuery = p.lastQuery
	p.greetingConn.Send(processor.AppendReadGauges(nil, strconv.FormatUint(p.greetingQuery, 10)))
	return backendReady{n.Cold, n.Elapsed}, nil
}

// handleGaugesLocked handles the answer to a gauge query, which proves that the processor has
// read all commands sent before the query. p.mu is held.
func (p *Processor) handleGaugesLocked(n processor.Notice) coreReport {
	query, _ := strconv.ParseUint(n.Tag, 10, 64) // 0 if the tag is not a number
	p.dropPendingLocked(func(command pendingCommand) bool { return command.sent && command.precedingQuery < query })
	if p.greetingConn != nil && query == p.greetingQuery {
		p.readyConn, p.greetingConn, p.greetingQuery = p.greetingConn, nil, 0
		p.resendLocked()
	}
	reply := p.gaugeCallbacks[query]
	if reply == nil {
		return nil
	}
	delete(p.gaugeCallbacks, query)
	return gaugesRead{reply, p.namedGauges(n.Gauges)}
}

// handleHealthLocked handles the result of a health check. p.mu is held.
func (p *Processor) handleHealthLocked(n processor.Notice) coreReport {
	reply := p.healthCallbacks[n.Tag]
	if reply == nil {
		return nil
	}
	delete(p.healthCallbacks, n.Tag)
	return healthChecked{reply, n.Healthy}
}

// handleRejectedLocked handles a command that the processor did not carry out. After a
// rejected start nothing ran, so the idempotency key does not count as used and the run does
// not count as failed. p.mu is held.
func (p *Processor) handleRejectedLocked(n processor.Notice) coreReport {
	if n.Command != processor.Start {
		p.log.Warn("processor_reject", "command", string(n.Command), "id", n.RunID)
		return nil
	}
	return startRejected{n.RunID}
}

// runEnd converts the processor's word for how a run ended.
func runEnd(end processor.RunStatus) dispatch.RunEnd {
	switch end {
	case processor.RunSucceeded:
		return dispatch.RunSucceeded
	case processor.RunCancelled:
		return dispatch.RunCancelled
	case processor.RunNotStarted:
		return dispatch.RunNotStarted
	}
	return dispatch.RunFailed
}

// The names of the processor's gauges in the settings.
const (
	gaugeCoreUtilization   = "core_use"
	gaugeRunnableTasks     = "on_cores"
	gaugeMemoryUtilization = "heap_share"
	gaugeConnections       = "links"
)

// namedGauges assigns the values to gauges by the names in p.gauges. A gauge that the
// processor does not have is -1.
func (p *Processor) namedGauges(values []float64) decision.Gauges {
	g := decision.Gauges{CoreUtilization: -1, RunnableTasks: -1, MemoryUtilization: -1, Connections: -1}
	for i, name := range p.gauges[:min(len(p.gauges), len(values))] {
		switch name {
		case gaugeCoreUtilization:
			g.CoreUtilization = values[i]
		case gaugeRunnableTasks:
			g.RunnableTasks = values[i]
		case gaugeMemoryUtilization:
			g.MemoryUtilization = values[i]
		case gaugeConnections:
			g.Connections = values[i]
		}
	}
	return g
}

// coreReport is a report to the core that results from a notice.
type coreReport interface {
	send(core *dispatch.Core)
}

// backendReady reports that the processor has answered the hello on a new connection.
type backendReady struct {
	cold       bool
	sinceStart time.Duration
}

func (e backendReady) send(core *dispatch.Core) { core.BackendReady(e.cold, e.sinceStart) }

// runCompleted reports the end of a run.
type runCompleted struct {
	id     string
	end    dispatch.RunEnd
	took   time.Duration
	result dispatch.Payload
}

func (e runCompleted) send(core *dispatch.Core) {
	core.RunCompleted(e.id, e.end, e.took, e.result)
}

// startRejected reports that the processor did not start a run.
type startRejected struct{ id string }

func (e startRejected) send(core *dispatch.Core) {
	core.RunCompleted(e.id, dispatch.RunNotStarted, 0, dispatch.Payload{})
}

// callRequested reports that a run waits for a downstream call.
type callRequested struct {
	runID  string
	notice uint64
	body   []byte
}

func (e callRequested) send(core *dispatch.Core) { core.CallRequested(e.runID, e.notice, e.body) }

// gaugesRead passes the answer of a gauge query to its callback.
type gaugesRead struct {
	reply  func(decision.Gauges)
	gauges decision.Gauges
}

func (e gaugesRead) send(*dispatch.Core) { e.reply(e.gauges) }

// healthChecked passes the result of a health check to its callback.
type healthChecked struct {
	reply   func(healthy bool)
	healthy bool
}

func (e healthChecked) send(*dispatch.Core) { e.reply(e.healthy) }
