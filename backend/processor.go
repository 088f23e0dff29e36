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

// maxUnanswered is how many questions for the gauges in a row may stay without any notice
// before the connection is aborted and dialled again: about two seconds at the interval at
// which the module asks. A new connection replaces the old one and runs go on, so it costs little
// where the processor is only slow. Questions are counted and not time, because a process
// that is suspended does not notice time.
const maxUnanswered = 80

// errReplaced ends a connection that a newer one has replaced.
var errReplaced = errors.New("replaced by a newer link")

// Processor is the backend that runs requests at the processor. A connection that breaks
// may have lost what was written last, so commands are kept until the processor has proved
// that it read them; see pendingCommand. On a new connection the processor first sends all
// notices that were missed; then unproven commands are sent again.
//
// The address may change while the old connection is open. Notices on it are ignored then:
// the processor sends them again on the new one.
type Processor struct {
	core     *dispatch.Core
	log      *slog.Logger
	gauges   []string
	redialer *transport.Redialer

	mu         sync.Mutex
	current    *transport.Conn // the newest connection, ready or not; nil between a break and the next
	ready      *transport.Conn // the same, once all missed notices are in; else nil
	greeting   *transport.Conn // the same, until then; else nil
	marker     uint64          // the question whose answer proves that all missed notices are in; 0 for none
	lastNotice uint64          // number of the last notice read
	questions  uint64          // number of the last question; questions are tagged with their numbers
	unanswered int             // questions for gauges since the last notice, including those that could not be sent
	greeted    bool            // the processor has answered on some connection
	wasReady   bool            // a connection has been ready

	pending       []pendingCommand
	gaugeReaders  map[uint64]func(decision.Gauges) // by question
	healthWaiters map[string]func(healthy bool)    // by tag
}

// NewProcessor makes a backend that connects to an address. gauges names the processor's
// gauges in their order. Attach and Run must be called.
func NewProcessor(address string, gauges []string, log *slog.Logger) *Processor {
	p := &Processor{
		log: log, gauges: gauges,
		gaugeReaders: make(map[uint64]func(decision.Gauges)), healthWaiters: make(map[string]func(bool)),
	}
	p.redialer = transport.NewRedialer(address, p.opened, p.closed)
	return p
}

// Attach sets the core that runs are reported to. It must be called before Run.
func (p *Processor) Attach(core *dispatch.Core) { p.core = core }

// Run keeps the connection until ctx is done.
func (p *Processor) Run(ctx context.Context) { p.redialer.Run(ctx) }

// SetAddress changes the address, which is dialled at once.
func (p *Processor) SetAddress(address string) { p.redialer.SetAddress(address) }

// opened starts a new connection. It returns the step that reads it.
func (p *Processor) opened(c *transport.Conn) func(*bufio.Reader) error {
	p.mu.Lock()
	waiters := p.disconnectLocked() // where the address has changed, the old connection is still open
	p.current, p.greeting, p.unanswered = c, c, 0
	c.Send(processor.AppendHello(nil, p.lastNotice))
	p.mu.Unlock()
	reportUnhealthy(waiters)
	return func(r *bufio.Reader) error {
		n, err := processor.Read(r)
		if err != nil {
			return err
		}
		return p.receive(c, n)
	}
}

// closed records that a connection has ended. One that was replaced before leaves nothing
// behind.
func (p *Processor) closed(c *transport.Conn, err error) {
	p.mu.Lock()
	if p.current != c {
		p.mu.Unlock()
		return
	}
	waiters := p.disconnectLocked()
	p.mu.Unlock()
	if err != nil { // else it was closed here
		p.log.Warn("processor_link_lost", "error", err.Error())
	}
	reportUnhealthy(waiters)
}

// disconnectLocked forgets the current connection. It returns the health checks that stay
// without a result. The lock is held.
func (p *Processor) disconnectLocked() (waiters map[string]func(healthy bool)) {
	p.current, p.ready, p.greeting, p.marker = nil, nil, nil, 0
	for i := range p.pending { // an answer on the next connection proves nothing of what was sent on this one
		p.pending[i].sent = false
	}
	clear(p.gaugeReaders)
	waiters = p.healthWaiters
	p.healthWaiters = make(map[string]func(bool))
	return waiters
}

// reportUnhealthy fails the health checks of a connection that has ended.
func reportUnhealthy(waiters map[string]func(healthy bool)) {
	for _, reply := range waiters {
		reply(false)
	}
}

// receive handles a notice. The core is told outside of the lock, because it may be waiting
// for it.
func (p *Processor) receive(c *transport.Conn, n processor.Notice) error {
	event, err := p.handle(c, n)
	if err != nil {
		return err
	}
	if event != nil {
		event.report(p.core)
	}
	return nil
}

// handle updates what is known of the connection by a notice. It returns what the core is
// to be told, or nil.
func (p *Processor) handle(c *transport.Conn, n processor.Notice) (coreEvent, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != c { // with its number as lastNotice, earlier notices on the new connection would be ignored
		return nil, errReplaced
	}
	p.unanswered = 0
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
		p.dropPendingLocked(func(command pendingCommand) bool { // a cancellation may still be on its way
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

// handleGreetingLocked handles the answer to the hello. The missed notices follow it. The
// question that is sent now is answered after them, so its answer tells that they are in
// (see handleGaugesLocked). The lock is held.
func (p *Processor) handleGreetingLocked(n processor.Notice) (coreEvent, error) {
	if p.greeting == nil || p.marker != 0 {
		return nil, fmt.Errorf("%w: hi without hello", lines.ErrMalformed)
	}
	p.questions++
	p.greeted = true
	p.marker = p.questions
	p.greeting.Send(processor.AppendReadGauges(nil, strconv.FormatUint(p.marker, 10)))
	return backendReady{n.Cold, n.Elapsed}, nil
}

// handleGaugesLocked handles the answer to a question, which proves that all commands sent
// before the question were read. The lock is held.
func (p *Processor) handleGaugesLocked(n processor.Notice) coreEvent {
	question, _ := strconv.ParseUint(n.Tag, 10, 64) // 0 for a tag that is not a number
	p.dropPendingLocked(func(command pendingCommand) bool { return command.sent && command.after < question })
	if p.greeting != nil && question == p.marker {
		p.ready, p.greeting, p.marker = p.greeting, nil, 0
		p.resendLocked()
	}
	reply := p.gaugeReaders[question]
	if reply == nil {
		return nil
	}
	delete(p.gaugeReaders, question)
	return gaugesRead{reply, p.namedGauges(n.Gauges)}
}

// handleHealthLocked handles the result of a health check. The lock is held.
func (p *Processor) handleHealthLocked(n processor.Notice) coreEvent {
	reply := p.healthWaiters[n.Tag]
	if reply == nil {
		return nil
	}
	delete(p.healthWaiters, n.Tag)
	return healthChecked{reply, n.Healthy}
}

// handleRejectedLocked handles a command that was not carried out. After a rejected start
// nothing ran: neither does the idempotency key count as used, nor the run as failed. The
// lock is held.
func (p *Processor) handleRejectedLocked(n processor.Notice) coreEvent {
	if n.Command != processor.Start {
		p.log.Warn("processor_reject", "command", string(n.Command), "id", n.RunID)
		return nil
	}
	return startRejected{n.RunID}
}

// runEnd translates how a run ended.
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

// The names of the processor's gauges, as the settings have them.
const (
	gaugeCoreUtilization   = "core_use"
	gaugeRunnableTasks     = "on_cores"
	gaugeMemoryUtilization = "heap_share"
	gaugeConnections       = "links"
)

// namedGauges assigns the values of gauges by their names. A gauge that the processor does
// not have is -1.
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

// coreEvent is what the core is to be told of a notice.
type coreEvent interface {
	report(core *dispatch.Core)
}

// backendReady: the processor has answered on a new connection.
type backendReady struct {
	cold       bool
	sinceStart time.Duration
}

func (e backendReady) report(core *dispatch.Core) { core.BackendReady(e.cold, e.sinceStart) }

// runCompleted: a run is over.
type runCompleted struct {
	id     string
	end    dispatch.RunEnd
	took   time.Duration
	result dispatch.Payload
}

func (e runCompleted) report(core *dispatch.Core) {
	core.RunCompleted(e.id, e.end, e.took, e.result)
}

// startRejected: a run was not started.
type startRejected struct{ id string }

func (e startRejected) report(core *dispatch.Core) {
	core.RunCompleted(e.id, dispatch.RunNotStarted, 0, dispatch.Payload{})
}

// callRequested: a run waits for a call.
type callRequested struct {
	runID  string
	notice uint64
	body   []byte
}

func (e callRequested) report(core *dispatch.Core) { core.CallRequested(e.runID, e.notice, e.body) }

// gaugesRead: a question for the gauges is answered.
type gaugesRead struct {
	reply  func(decision.Gauges)
	gauges decision.Gauges
}

func (e gaugesRead) report(*dispatch.Core) { e.reply(e.gauges) }

// healthChecked: a health check is done.
type healthChecked struct {
	reply   func(healthy bool)
	healthy bool
}

func (e healthChecked) report(*dispatch.Core) { e.reply(e.healthy) }
