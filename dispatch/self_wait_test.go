package dispatch

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"quincerail.example/quincerail/decision"
)

// synchronousParts are parts of the server that call the core back before they return, on the
// core's own goroutine, each where its flag is set.
type synchronousParts struct {
	*harness
	core                    *Core
	completeRuns            bool  // Start reports the end of the run
	requestCalls            bool  // Start reports that the run waits for a call
	completeCancelled       bool  // Cancel reports the end of the run
	completeCalls           bool  // Call reports the end of the call
	completeAbandoned       bool  // Abandon reports the end of the call
	recordErr               error // of Record
	gaugeReads, deepChecked int
}

func (p *synchronousParts) Start(r Run) {
	p.harness.Start(r)
	if p.requestCalls {
		p.core.CallRequested(r.ID, 1, []byte("call"))
	}
	if p.completeRuns {
		p.core.RunCompleted(r.ID, RunSucceeded, time.Millisecond, Payload{Body: []byte("done")})
	}
}

func (p *synchronousParts) Cancel(id string) {
	if p.completeCancelled {
		p.core.RunCompleted(id, RunCancelled, 0, Payload{})
	}
}

func (p *synchronousParts) Call(id string, number int, _ time.Duration, _ []byte) {
	if p.completeCalls {
		p.core.CallCompleted(id, number, decision.Succeeded, []byte("reply"))
	}
}

func (p *synchronousParts) Abandon(id string) {
	if p.completeAbandoned {
		p.core.CallCompleted(id, 1, decision.Failed, nil)
	}
}

func (p *synchronousParts) Record(_ KeyState, done func(error)) { done(p.recordErr) }

func (p *synchronousParts) ReadGauges(reply func(decision.Gauges)) {
	p.gaugeReads++
	reply(decision.Gauges{CoreUtilization: 0.1, RunnableTasks: -1, MemoryUtilization: -1, Connections: -1})
}

func (p *synchronousParts) CheckHealth(reply func(healthy bool)) {
	p.deepChecked++
	reply(true)
}

// TestCore_NeverWaitsForItself guards against a core that waits for room in its own mailbox: what
// it has started ends before the call returns, on the core's goroutine, and the mailbox has no
// room at all, so a blocking report would hang the core.
func TestCore_NeverWaitsForItself(t *testing.T) {
	for _, test := range []struct {
		name  string
		parts synchronousParts
		class string
		want  OutcomeKind
		body  string
	}{
		{"run", synchronousParts{completeRuns: true}, "read", Served, "done"},
		{"keyed run and journal", synchronousParts{completeRuns: true}, "gift", Served, "done"},
		{"claim that the journal rejects", synchronousParts{recordErr: errors.New("store full")}, "gift", Shed, ""},
		{"call of a run", synchronousParts{requestCalls: true, completeCalls: true, completeRuns: true}, "read", Served, "done"},
		{"run cancelled at its deadline", synchronousParts{completeCancelled: true}, "read", Shed, ""},
		{
			"call abandoned at the deadline",
			synchronousParts{requestCalls: true, completeAbandoned: true, completeCancelled: true},
			"gift", Failed, "",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				parts := &test.parts
				parts.harness = newHarnessWith(t, func(o *Options) {
					o.MailboxCapacity = -1
					o.Backend, o.Dependency, o.Machine, o.Journal = parts, parts, parts, parts
				})
				defer parts.stop()
				parts.core = parts.Core
				parts.submit(t, "a", test.class, "k")
				parts.runInLoop(parts.core, func() { parts.core.health.cached = false })
				healthy := make(chan bool, 1)
				must(t, parts.core.CheckHealth(true, func(ok bool) { healthy <- ok }))
				parts.sleep(testDeadline + testSlack)
				parts.wantAnswer(t, "a", test.want, test.body)
				if len(healthy) != 1 || !<-healthy {
					t.Error("the deep health check got no answer, want healthy")
				}
				if parts.gaugeReads == 0 || parts.deepChecked != 1 {
					t.Errorf("%d readings of the gauges and %d deep checks, want some and 1", parts.gaugeReads, parts.deepChecked)
				}
			})
		})
	}
}

// startChannel is a Backend that passes each start to a channel, and whose runs never end.
type startChannel chan string

func (s startChannel) Start(r Run)                { s <- r.ID }
func (s startChannel) Cancel(string)              {}
func (s startChannel) ReplyToCall(string, []byte) {}
func (s startChannel) SkipCall(string, uint64)    {}

// TestRun_BatchIsBounded checks that callers that fill the mailbox again at once do not keep the
// core from deciding: a run starts while events keep coming.
func TestRun_BatchIsBounded(t *testing.T) {
	starts := make(startChannel, 1)
	core, err := New(Options{Settings: settings(), Classes: []string{"read", "gift", "receipt"}, Backend: starts})
	must(t, err)
	go core.Run(t.Context())
	core.BackendReady(false, 0)
	stopped := false // used on the core's goroutine only
	var refill event
	refill = funcEvent(func() {
		if !stopped {
			core.loop.mailbox <- refill // there is room: the event that runs has just left the mailbox
		}
	})
	must(t, core.enqueue(refill))
	must(t, core.Submit(Request{ID: "a", Class: "read", ArrivedAt: time.Now(), ReservedKB: 1, Responder: responder{}}))
	select {
	case <-starts:
	case <-time.After(testDeadline):
		t.Error("no run started while the mailbox was filled again at once")
	}
	must(t, core.enqueue(funcEvent(func() { stopped = true })))
}

// TestAwaitReports_BlocksWhileQueueIsFull checks that a goroutine that reads reports from a
// connection waits until the core has taken the queued ones, and does not wait for a stopped core.
func TestAwaitReports_BlocksWhileQueueIsFull(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		release := make(chan struct{})
		must(t, h.enqueue(funcEvent(func() { <-release })))
		h.wait()
		for range maxQueuedReports {
			h.CallCompleted("unknown", 1, decision.Succeeded, nil)
		}
		returned := make(chan struct{})
		go func() {
			h.AwaitReports()
			close(returned)
		}()
		h.wait()
		select {
		case <-returned:
			t.Error("AwaitReports returned while the queue was full")
		default:
		}
		close(release)
		h.wait()
		<-returned
	})
}
