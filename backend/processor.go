// Package backend runs requests: on the processor, over a link that may break, and
// at a uwsgi application server.
package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/protocol/lines"
	"quincerail.example/quincerail/protocol/processor"
	"quincerail.example/quincerail/transport"
)

// command is one that the processor may not have read yet.
type command struct {
	text  []byte
	id    string
	kind  commandKind
	after uint64 // number of the usage question that was sent before it
	sent  bool   // on the present link
}

type commandKind int

const (
	begin commandKind = iota
	interrupt
	resume // answer or without
)

// maxUnanswered is how many questions in a row the processor may leave unanswered, with
// nothing else said either, before its link is taken for dead and dialled anew: about two
// seconds of the module's ticks. Each new link replaces the one before it, and runs go on,
// so it costs little where the processor is only slow. Questions are counted and not
// time, which a process that stands still does not notice.
const maxUnanswered = 80

// Processor is the backend that the processor is. A link that breaks may
// have lost what was written last, so commands are kept until the answer to a
// later question, or a notice of their run, proves that they were read. On a
// new link what is not proven is sent again, once all missed notices are in.
//
// The link may move to another address. What the connection before still says
// is passed over then: the processor says it again on the new one.
type Processor struct {
	core   *dispatch.Core
	log    *slog.Logger
	gauges []string
	link   *transport.Redialer

	mu       sync.Mutex
	present  *transport.Conn // the newest, in order or not; nil between a break and the next
	conn     *transport.Conn // nil while there is no link in order
	last     uint64          // number of the last notice read
	asked    uint64          // number of the last question
	pending  []command
	usages   map[uint64]func(decision.Gauges)
	trials   map[string]func(bool)
	marker   uint64 // the question whose answer shows that all missed notices are in; 0 for none
	greeting *transport.Conn
	greeted  bool // the processor has been up on some link
	inOrder  bool // a link has been in order before
	silent   int  // questions asked, or not asked for want of a greeting, since it last said anything
}

// NewProcessor makes one that links to an address, and is told the gauges of these
// names, in order; Attach has to follow.
func NewProcessor(address string, gauges []string, log *slog.Logger) *Processor {
	p := &Processor{log: log, gauges: gauges, usages: make(map[uint64]func(decision.Gauges)), trials: make(map[string]func(bool))}
	p.link = transport.NewRedialer(address, p.opened, p.closed)
	return p
}

// Attach sets the core that is told what comes of runs; it goes before Run.
func (p *Processor) Attach(core *dispatch.Core) { p.core = core }

// Run keeps the link until ctx ends.
func (p *Processor) Run(ctx context.Context) { p.link.Run(ctx) }

// SetAddress has the link go to another address.
func (p *Processor) SetAddress(address string) { p.link.SetAddress(address) }

// errReplaced ends a connection that a newer one has replaced.
var errReplaced = errors.New("replaced by a newer link")

// closed takes in that a connection has ended. One that was replaced before
// leaves nothing behind.
func (p *Processor) closed(c *transport.Conn, err error) {
	p.mu.Lock()
	if p.present != c {
		p.mu.Unlock()
		return
	}
	trials := p.lost()
	p.mu.Unlock()
	if err != nil { // else it was closed here
		p.log.Warn("processor_link_lost", "error", err.Error())
	}
	fail(trials)
}

// lost takes in that the present connection is of no more use. The trials that
// it gives have no result. The lock is held.
func (p *Processor) lost() (trials map[string]func(bool)) {
	p.present, p.conn, p.greeting, p.marker = nil, nil, nil, 0
	for i := range p.pending { // an answer on the next link proves nothing of what was sent on this one
		p.pending[i].sent = false
	}
	clear(p.usages)
	trials = p.trials
	p.trials = make(map[string]func(bool))
	return trials
}

func fail(trials map[string]func(bool)) {
	for _, reply := range trials {
		reply(false)
	}
}

func (p *Processor) opened(c *transport.Conn) func(*bufio.Reader) error {
	p.mu.Lock()
	trials := p.lost() // where it moves, the connection before is still open
	p.present, p.greeting, p.silent = c, c, 0
	c.Send(processor.AppendHello(nil, p.last))
	p.mu.Unlock()
	fail(trials)
	return func(r *bufio.Reader) error {
		n, err := processor.Read(r)
		if err != nil {
			return err
		}
		return p.take(c, n)
	}
}

// take passes a notice on. The core is told outside the lock: it may be waiting
// for it.
func (p *Processor) take(c *transport.Conn, n processor.Notice) error {
	p.mu.Lock()
	if p.present != c { // taken in now, its number would hide those that the new link has yet to bring
		p.mu.Unlock()
		return errReplaced
	}
	p.silent = 0
	switch n.Kind {
	case processor.RunCompleted, processor.CallRequested, processor.Remark:
		if n.Number <= p.last { // sent again after a break
			p.mu.Unlock()
			return nil
		}
		p.last = n.Number
	}
	tell := func() {}
	switch n.Kind {
	case processor.Greeting:
		if p.greeting == nil || p.marker != 0 {
			p.mu.Unlock()
			return fmt.Errorf("%w: hi without hello", lines.ErrMalformed)
		}
		p.asked++
		p.greeted = true
		p.marker = p.asked
		p.greeting.Send(processor.AppendReadGauges(nil, strconv.FormatUint(p.marker, 10)))
		tell = func() { p.core.BackendReady(n.Word == "new", n.Took) }
	case processor.RunCompleted:
		p.proven(func(c command) bool { return c.id == n.ID })
		end, known := map[string]dispatch.RunEnd{
			"good": dispatch.RunSucceeded, "bad": dispatch.RunFailed,
			"cut": dispatch.RunCancelled, "gone": dispatch.RunNotStarted,
		}[n.Word]
		if !known {
			end = dispatch.RunFailed
		}
		tell = func() { p.core.RunCompleted(n.ID, end, n.Took, dispatch.Payload{Body: n.Payload}) }
	case processor.CallRequested:
		p.proven(func(c command) bool { return c.id == n.ID && c.kind != interrupt })
		tell = func() { p.core.CallRequested(n.ID, n.Number, n.Payload) }
	case processor.GaugesRead:
		tag, _ := strconv.ParseUint(n.Tag, 10, 64)
		p.proven(func(c command) bool { return c.sent && c.after < tag })
		if p.greeting != nil && tag == p.marker {
			p.conn, p.greeting, p.marker = p.greeting, nil, 0
			p.resend()
		}
		if reply := p.usages[tag]; reply != nil {
			delete(p.usages, tag)
			tell = func() { reply(p.reading(n.Gauges)) }
		}
	case processor.HealthChecked:
		if reply := p.trials[n.Tag]; reply != nil {
			delete(p.trials, n.Tag)
			tell = func() { reply(n.Word == "good") }
		}
	case processor.CommandRejected:
		if n.Word != "begin" {
			p.log.Warn("processor_reject", "command", n.Word, "id", n.ID)
		} else { // nothing ran: neither does the key count as used, nor the run as one that failed
			tell = func() { p.core.RunCompleted(n.ID, dispatch.RunNotStarted, 0, dispatch.Payload{}) }
		}
	}
	p.mu.Unlock()
	tell()
	return nil
}

// proven drops the commands that the processor has read, or that a later notice
// of their run makes void.
func (p *Processor) proven(read func(command) bool) {
	p.pending = slices.DeleteFunc(p.pending, read)
}

// resend sends what may have been lost, and what came while there was no link.
func (p *Processor) resend() {
	if p.inOrder {
		p.log.Info("processor_link_restored", "commands_sent_again", len(p.pending))
	}
	p.inOrder = true
	for i := range p.pending {
		p.pending[i].sent, p.pending[i].after = true, p.asked
		p.conn.Send(p.pending[i].text)
	}
}

func (p *Processor) reading(values []float64) decision.Gauges {
	g := decision.Gauges{CoreUtilization: -1, RunnableTasks: -1, MemoryUtilization: -1, Connections: -1}
	for i, name := range p.gauges {
		if i >= len(values) {
			break
		}
		switch name {
		case "core_use":
			g.CoreUtilization = values[i]
		case "on_cores":
			g.RunnableTasks = values[i]
		case "heap_share":
			g.MemoryUtilization = values[i]
		case "links":
			g.Connections = values[i]
		}
	}
	return g
}

func (p *Processor) command(kind commandKind, id string, text []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := command{text: text, id: id, kind: kind, after: p.asked}
	if p.conn != nil {
		c.sent = true
		p.conn.Send(text)
	}
	p.pending = append(p.pending, c)
}

// Start implements dispatch.Backend.
func (p *Processor) Start(r dispatch.Run) {
	p.command(begin, r.ID, processor.AppendStart(nil, r.ID, r.Class, r.Payload.Body))
}

// Cancel implements dispatch.Backend.
func (p *Processor) Cancel(id string) {
	p.command(interrupt, id, processor.AppendCancel(nil, id))
}

// ReplyToCall implements dispatch.Backend.
func (p *Processor) ReplyToCall(id string, reply []byte) {
	p.command(resume, id, processor.AppendCallReply(nil, id, reply))
}

// SkipCall implements dispatch.Backend.
func (p *Processor) SkipCall(id string, notice uint64) {
	p.command(resume, id, processor.AppendSkipCall(nil, id, notice))
}

// ReadGauges implements dispatch.Machine. Without a link there is no reply.
func (p *Processor) ReadGauges(reply func(decision.Gauges)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent++; p.silent > maxUnanswered && p.greeted && p.present != nil {
		p.log.Warn("processor_link_silent", "unanswered", p.silent)
		p.silent = 0
		p.present.Abort() // the link is dialled again
		return
	}
	if p.conn == nil {
		return
	}
	p.asked++
	p.usages[p.asked] = reply
	p.conn.Send(processor.AppendReadGauges(nil, strconv.FormatUint(p.asked, 10)))
}

// CheckHealth implements dispatch.Machine.
func (p *Processor) CheckHealth(reply func(good bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		time.AfterFunc(0, func() { reply(false) }) // the caller must not be called back from within
		return
	}
	p.asked++
	tag := strconv.FormatUint(p.asked, 10)
	p.trials[tag] = reply
	p.conn.Send(processor.AppendHealthCheck(nil, tag))
}
