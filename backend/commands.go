package backend

import (
	"slices"
	"strconv"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/protocol/processor"
)

// commandKind is the purpose of a command.
type commandKind int

const (
	startRun commandKind = iota
	cancelRun
	resumeRun // delivers the reply to the run's downstream call, or skips the call
)

// pendingCommand is a command that the processor may not have read yet. It is dropped when
// it need not be sent again: when the processor answers a query that was sent after the
// command on the same connection, because the processor reads in order, or when a later
// notice of the command's run shows that the command was read or is obsolete.
type pendingCommand struct {
	encoded        []byte
	runID          string
	kind           commandKind
	precedingQuery uint64 // number of the last query before the command; the answer to a later one proves that it was read
	sent           bool   // on the current connection
}

// send sends a command if the connection is ready. It keeps the command as pending until it
// need not be sent again.
func (p *Processor) send(kind commandKind, runID string, encoded []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := pendingCommand{encoded: encoded, runID: runID, kind: kind, precedingQuery: p.lastQuery}
	if p.readyConn != nil {
		c.sent = true
		p.readyConn.Send(encoded)
	}
	p.pending = append(p.pending, c)
}

// resendLocked sends all pending commands on a new connection: those that may have been lost
// and those that were issued while no connection was ready. p.mu is held.
func (p *Processor) resendLocked() {
	if p.everReady {
		p.log.Info("processor_connection_restored", "commands_sent_again", len(p.pending))
	}
	p.everReady = true
	for i := range p.pending {
		p.pending[i].sent, p.pending[i].precedingQuery = true, p.lastQuery
		p.readyConn.Send(p.pending[i].encoded)
	}
}

// dropPendingLocked removes the pending commands for which drop returns true. p.mu is held.
func (p *Processor) dropPendingLocked(drop func(pendingCommand) bool) {
	p.pending = slices.DeleteFunc(p.pending, drop)
}

// Start implements dispatch.Backend.
func (p *Processor) Start(r dispatch.Run) {
	p.send(startRun, r.ID, processor.AppendStart(nil, r.ID, r.Class, r.Payload.Body))
}

// Cancel implements dispatch.Backend.
func (p *Processor) Cancel(id string) {
	p.send(cancelRun, id, processor.AppendCancel(nil, id))
}

// ReplyToCall implements dispatch.Backend.
func (p *Processor) ReplyToCall(id string, reply []byte) {
	p.send(resumeRun, id, processor.AppendCallReply(nil, id, reply))
}

// SkipCall implements dispatch.Backend.
func (p *Processor) SkipCall(id string, notice uint64) {
	p.send(resumeRun, id, processor.AppendSkipCall(nil, id, notice))
}

// ReadGauges implements dispatch.Machine. It does not call reply if the connection is not
// ready or breaks before the answer. It aborts the connection if more than
// maxUnansweredQueries calls in a row got no notice, unless the processor has never answered a
// hello.
func (p *Processor) ReadGauges(reply func(decision.Gauges)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unansweredQueries++; p.unansweredQueries > maxUnansweredQueries && p.everGreeted && p.currentConn != nil {
		p.log.Warn("processor_connection_silent", "unanswered", p.unansweredQueries)
		p.unansweredQueries = 0
		p.currentConn.Abort() // the redialer opens a new one
		return
	}
	if p.readyConn == nil {
		return
	}
	p.lastQuery++
	p.gaugeCallbacks[p.lastQuery] = reply
	p.readyConn.Send(processor.AppendReadGauges(nil, strconv.FormatUint(p.lastQuery, 10)))
}

// CheckHealth implements dispatch.Machine. The result is false if the connection is not ready
// or breaks before the answer.
func (p *Processor) CheckHealth(reply func(healthy bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.readyConn == nil {
		time.AfterFunc(0, func() { reply(false) }) // reply must not be called synchronously
		return
	}
	p.lastQuery++
	tag := strconv.FormatUint(p.lastQuery, 10)
	p.healthCallbacks[tag] = reply
	p.readyConn.Send(processor.AppendHealthCheck(nil, tag))
}
