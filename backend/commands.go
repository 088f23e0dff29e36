package backend

import (
	"slices"
	"strconv"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/protocol/processor"
)

// commandKind is what a command is for.
type commandKind int

const (
	startRun commandKind = iota
	cancelRun
	resumeRun // with the reply to its call, or without the call
)

// pendingCommand is a command that the processor may not have read yet. It is dropped once it
// need not be sent again: when a question that was sent after it on the same connection is
// answered, as the processor reads in order, or when a later notice of its run shows that it
// was read or has no use any more.
type pendingCommand struct {
	text  []byte
	runID string
	kind  commandKind
	after uint64 // number of the last question that was sent before it; a later one proves that it was read
	sent  bool   // on the current connection
}

// send sends a command if the connection is ready, and keeps it until it is proved to be
// read.
func (p *Processor) send(kind commandKind, runID string, text []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := pendingCommand{text: text, runID: runID, kind: kind, after: p.questions}
	if p.ready != nil {
		c.sent = true
		p.ready.Send(text)
	}
	p.pending = append(p.pending, c)
}

// resendLocked sends the commands that may have been lost, and those that were given while
// no connection was ready. The lock is held.
func (p *Processor) resendLocked() {
	if p.wasReady {
		p.log.Info("processor_link_restored", "commands_sent_again", len(p.pending))
	}
	p.wasReady = true
	for i := range p.pending {
		p.pending[i].sent, p.pending[i].after = true, p.questions
		p.ready.Send(p.pending[i].text)
	}
}

// dropPendingLocked forgets the commands for which drop reports that they need not be sent
// again. The lock is held.
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

// ReadGauges implements dispatch.Machine. reply is not called if the connection breaks, or
// is not ready.
func (p *Processor) ReadGauges(reply func(decision.Gauges)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unanswered++; p.unanswered > maxUnanswered && p.greeted && p.current != nil {
		p.log.Warn("processor_link_silent", "unanswered", p.unanswered)
		p.unanswered = 0
		p.current.Abort() // the address is dialled again
		return
	}
	if p.ready == nil {
		return
	}
	p.questions++
	p.gaugeReaders[p.questions] = reply
	p.ready.Send(processor.AppendReadGauges(nil, strconv.FormatUint(p.questions, 10)))
}

// CheckHealth implements dispatch.Machine. The result is false if the connection breaks, or
// is not ready.
func (p *Processor) CheckHealth(reply func(healthy bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ready == nil {
		time.AfterFunc(0, func() { reply(false) }) // the caller must not be called back from within
		return
	}
	p.questions++
	tag := strconv.FormatUint(p.questions, 10)
	p.healthWaiters[tag] = reply
	p.ready.Send(processor.AppendHealthCheck(nil, tag))
}
