package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	testWindow   = 20 * time.Second
	testDeadline = 5 * time.Second
	testGrace    = 2 * time.Second
	testSlack    = 60 * time.Millisecond
)

// harness runs a core with a fake backend, dependency, registrar and responder, and records
// the core's calls to them. The keys of its maps are attempt ids.
type harness struct {
	*Core
	successor     *Core          // the second core during an upgrade; nil for none
	changeOptions func(*Options) // applied to the options of each core that is started
	cancel        context.CancelFunc

	mu              sync.Mutex           // held by the test except while it sleeps
	running         map[string]time.Time // start times of the runs that have not ended
	starts          map[string]int       // number of times that a run was started
	bodies          map[string]string    // body at the latest start of a run
	cancelled       []string             // ids of the runs that the core cancelled
	answers         map[string][]Outcome
	answeredAt      map[string]time.Time
	callInFlight    map[string]int // number of the call that is in flight
	callReplies     map[string]string
	callAbandonedAt map[string]time.Time // when the latest call of a run was abandoned
	earlyCalls      []string             // ids of runs whose next call came within a batch interval after that time
	accepting       []bool               // all reports to the registrar
}

func (h *harness) lock() (unlock func()) {
	h.mu.Lock()
	return h.mu.Unlock
}

// sleep advances the time, and waits until all goroutines are blocked.
func (h *harness) sleep(d time.Duration) {
	h.mu.Unlock()
	defer h.mu.Lock()
	time.Sleep(d)
	synctest.Wait()
}

// wait waits until all goroutines are blocked.
func (h *harness) wait() { h.sleep(0) }

// Start implements Backend.
func (h *harness) Start(r Run) {
	defer h.lock()()
	h.running[r.ID] = time.Now()
	h.starts[r.ID]++
	h.bodies[r.ID] = string(r.Payload.Body)
}

// Cancel implements Backend.
func (h *harness) Cancel(id string) {
	defer h.lock()()
	h.cancelled = append(h.cancelled, id)
	if _, ok := h.running[id]; ok {
		delete(h.running, id)
		go h.forEachCore(func(c *Core) { c.RunCompleted(id, RunCancelled, 0, Payload{}) })
	}
}

// ReplyToCall implements Backend.
func (h *harness) ReplyToCall(id string, reply []byte) {
	defer h.lock()()
	h.callReplies[id] = string(reply)
}

// SkipCall implements Backend.
func (h *harness) SkipCall(id string, notice uint64) {
	defer h.lock()()
	h.callReplies[id] = fmt.Sprint("without ", notice)
}

// Call implements Dependency.
func (h *harness) Call(id string, number int, _ time.Duration, _ []byte) {
	defer h.lock()()
	h.callInFlight[id] = number
	if at, ok := h.callAbandonedAt[id]; ok && time.Since(at) <= settings().BatchInterval {
		h.earlyCalls = append(h.earlyCalls, id)
	}
}

// Abandon implements Dependency.
func (h *harness) Abandon(id string) {
	defer h.lock()()
	delete(h.callInFlight, id)
	h.callAbandonedAt[id] = time.Now()
}

// SetAccepting implements Registrar.
func (h *harness) SetAccepting(on bool) {
	defer h.lock()()
	h.accepting = append(h.accepting, on)
}

// responder is the Responder of a harness.
type responder struct{ *harness }

// Respond implements Responder.
func (r responder) Respond(id string, o Outcome) {
	defer r.lock()()
	r.answers[id] = append(r.answers[id], o)
	r.answeredAt[id] = time.Now()
}

// settings returns settings with two cores and three classes: read, which may skip its
// downstream call, and the keyed classes gift and receipt.
func settings() decision.Settings {
	class := decision.Class{
		LatencyObjective: 2 * time.Second, Deadline: testDeadline, Weight: 1, KeyWindow: testWindow,
		CallsDependency: true, LateWeight: 0.2,
	}
	keyed, degradable := class, class
	keyed.Idempotency, degradable.DegradedWeight = decision.Keyed, 0.6
	return decision.Settings{
		Classes: []decision.Class{degradable, keyed, keyed}, Servers: 1, Callers: 1, Cores: 2, MemoryKB: 10000,
		KeyMemoryKB: 1, RunningMemoryFactor: 4,
		Dependency: decision.SharedDependency, CallQuota: 10, CallQuotaWindow: 5 * time.Second,
		AbandonedCallDuration: 200 * time.Millisecond,
		CancelMode:            decision.CancelDiscard, MaxRetryAfter: time.Second,
		DeadlineSlack: testSlack, DrainGrace: testGrace,
		OverloadRatio: 8, OverloadWindow: 1500 * time.Millisecond,
		SlowStartMinSpeed: 0.3, SlowStartDuration: 10 * time.Second,
		BatchInterval: 4 * time.Millisecond, EndpointListOmitsUnhealthy: true,
	}
}

func newHarness(t *testing.T) *harness { return newHarnessWith(t, nil) }

// newHarnessWith creates a harness and applies change to the options of its cores.
func newHarnessWith(t *testing.T, change func(*Options)) *harness {
	t.Helper()
	h := &harness{
		changeOptions: change,
		running:       make(map[string]time.Time), starts: make(map[string]int), bodies: make(map[string]string),
		answers: make(map[string][]Outcome), answeredAt: make(map[string]time.Time),
		callInFlight: make(map[string]int), callReplies: make(map[string]string), callAbandonedAt: make(map[string]time.Time),
	}
	var ctx context.Context
	ctx, h.cancel = context.WithCancel(t.Context())
	h.Core = h.start(t, ctx)
	h.mu.Lock()
	h.wait()
	return h
}

// start starts a core with the harness's options.
func (h *harness) start(t *testing.T, ctx context.Context) *Core {
	t.Helper()
	opt := Options{Settings: settings(), Classes: []string{"read", "gift", "receipt"}, Seed: 1, Backend: h, Dependency: h, Registrar: h}
	if h.changeOptions != nil {
		h.changeOptions(&opt)
	}
	core, err := New(opt)
	if err != nil {
		t.Fatal(err)
	}
	checkTransitions(t, core)
	go core.Run(ctx)
	core.BackendReady(false, 0)
	return core
}

// stop stops the core, and waits until its timers have fired.
func (h *harness) stop() {
	h.cancel()
	h.sleep(time.Minute)
	h.mu.Unlock()
}

// funcEvent is an event that calls a function.
type funcEvent func()

func (f funcEvent) apply(*Core) { f() }

// runInLoop calls a function on the goroutine of a core, between two events.
func (h *harness) runInLoop(c *Core, f func()) { c.notify(funcEvent(f)) }

// forEachCore calls do with each core. A core ignores events of unknown attempts.
func (h *harness) forEachCore(do func(*Core)) {
	do(h.Core)
	if h.successor != nil {
		do(h.successor)
	}
}

func (h *harness) submit(t *testing.T, id, class, key string) {
	t.Helper()
	h.submitTo(t, h.Core, id, class, key)
}

func (h *harness) submitTo(t *testing.T, c *Core, id, class, key string) {
	t.Helper()
	h.mustSubmit(t, c, Request{ID: id, Class: class, Key: key})
	h.wait()
}

// withDefaults fills in the defaults of a request: it arrives now, and the harness gets its
// answer.
func (h *harness) withDefaults(r Request) Request {
	if r.ArrivedAt.IsZero() {
		r.ArrivedAt = time.Now()
	}
	if r.Responder == nil {
		r.Responder = responder{h}
	}
	r.ReservedKB = 20
	return r
}

// mustSubmit submits a request with defaults, and does not wait for its events.
func (h *harness) mustSubmit(t *testing.T, c *Core, r Request) {
	t.Helper()
	must(t, c.Submit(h.withDefaults(r)))
}

// must fails the test on an error.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (h *harness) completeRun(id string, end RunEnd, body string) {
	delete(h.running, id)
	h.forEachCore(func(c *Core) { c.RunCompleted(id, end, time.Second, Payload{Body: []byte(body)}) })
	h.wait()
}

// runTest runs a test function with a harness and a fake clock.
func runTest(t *testing.T, test func(t *testing.T, h *harness)) {
	t.Helper()
	runTestWith(t, nil, test)
}

// runTestWith is runTest with changed options.
func runTestWith(t *testing.T, change func(*Options), test func(t *testing.T, h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := newHarnessWith(t, change)
		defer h.stop()
		test(t, h)
	})
}

// wantAnswer checks that a request has exactly one answer, with the given kind and body.
func (h *harness) wantAnswer(t *testing.T, id string, kind OutcomeKind, body string) {
	t.Helper()
	got := h.answers[id]
	if len(got) != 1 || got[0].Kind != kind || string(got[0].Result.Body) != body {
		t.Errorf("request %s: got answers %+v, want one of kind %v with body %q", id, got, kind, body)
	}
}
