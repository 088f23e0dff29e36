package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/internal/randomsteps"
)

const (
	testWindow   = 20 * time.Second
	testDeadline = 5 * time.Second
	testGrace    = 2 * time.Second
	testSlack    = 60 * time.Millisecond
)

// party plays the backend, the dependency and the callers, and keeps the books
// by which the rules are judged.
type party struct {
	*Core
	younger  *Core                // takes over from the core, if there is one
	mu       sync.Mutex           // the test holds it but for its waits
	begun    map[string]time.Time // runs that have not ended, by request
	runs     map[string]int
	bodies   map[string]string // that a run was begun with last
	answers  map[string][]Outcome
	answered map[string]time.Time
	asked    map[string]int // number of the call that is out
	resumed  map[string]string
	gaveUp   map[string]time.Time // when the last call of a run was given up
	hasty    []string             // runs that called again too soon after that
	stopped  []string
	present  []bool
	cancel   context.CancelFunc
	change   func(*Options) // of the core's options
}

func (p *party) lock() (unlock func()) {
	p.mu.Lock()
	return p.mu.Unlock
}

// sleep lets time pass, and all come to rest that happens in it.
func (p *party) sleep(d time.Duration) {
	p.mu.Unlock()
	defer p.mu.Lock()
	time.Sleep(d)
	synctest.Wait()
}

// wait lets all come to rest that happens now.
func (p *party) wait() { p.sleep(0) }

// Start implements Backend.
func (p *party) Start(r Run) {
	defer p.lock()()
	p.begun[r.ID] = time.Now()
	p.runs[r.ID]++
	p.bodies[r.ID] = string(r.Payload.Body)
}

// Cancel implements Backend.
func (p *party) Cancel(id string) {
	defer p.lock()()
	p.stopped = append(p.stopped, id)
	if _, ok := p.begun[id]; ok {
		delete(p.begun, id)
		go p.each(func(c *Core) { c.RunCompleted(id, RunCancelled, 0, Payload{}) })
	}
}

// ReplyToCall implements Backend.
func (p *party) ReplyToCall(id string, reply []byte) {
	defer p.lock()()
	p.resumed[id] = string(reply)
}

// SkipCall implements Backend.
func (p *party) SkipCall(id string, notice uint64) {
	defer p.lock()()
	p.resumed[id] = fmt.Sprint("without ", notice)
}

// Call implements Dependency.
func (p *party) Call(id string, number int, _ time.Duration, _ []byte) {
	defer p.lock()()
	p.asked[id] = number
	if at, ok := p.gaveUp[id]; ok && time.Since(at) <= settings().BatchInterval {
		p.hasty = append(p.hasty, id)
	}
}

// Abandon implements Dependency.
func (p *party) Abandon(id string) {
	defer p.lock()()
	delete(p.asked, id)
	p.gaveUp[id] = time.Now()
}

// SetAccepting implements Presence.
func (p *party) SetAccepting(on bool) {
	defer p.lock()()
	p.present = append(p.present, on)
}

// sink is the Sink of a party.
type sink struct{ *party }

// Respond implements Sink.
func (s sink) Respond(id string, o Outcome) {
	defer s.lock()()
	s.answers[id] = append(s.answers[id], o)
	s.answered[id] = time.Now()
}

func settings() decision.Settings {
	class := decision.Class{LatencyObjective: 2 * time.Second, Deadline: testDeadline, Weight: 1, KeyWindow: testWindow, CallsDependency: true, LateWeight: 0.2}
	keyed, skips := class, class
	keyed.Effect, skips.DegradedWeight = decision.Keyed, 0.6
	return decision.Settings{
		Classes: []decision.Class{skips, keyed, keyed}, Servers: 1, Callers: 1, Cores: 2, MemoryKB: 10000,
		KeyMemoryKB: 1, RunningMemoryFactor: 4, Dependency: decision.SharedDependency, CallQuota: 10, CallQuotaWindow: 5 * time.Second, AbandonedCallDuration: 200 * time.Millisecond,
		CancelMode: decision.CancelDiscard, MaxRetryAfter: time.Second, DeadlineSlack: testSlack, DrainGrace: testGrace,
		OverloadRatio: 8, OverloadWindow: 1500 * time.Millisecond, SlowStartMinSpeed: 0.3, SlowStartDuration: 10 * time.Second, BatchInterval: 4 * time.Millisecond, ListFollowsHealth: true,
	}
}

func newParty(t *testing.T) *party { return newPartyWith(t, nil) }

// newPartyWith makes a party whose core has other options.
func newPartyWith(t *testing.T, change func(*Options)) *party {
	t.Helper()
	p := &party{
		change: change, begun: make(map[string]time.Time), runs: make(map[string]int), bodies: make(map[string]string), answers: make(map[string][]Outcome),
		answered: make(map[string]time.Time), asked: make(map[string]int), resumed: make(map[string]string),
		gaveUp: make(map[string]time.Time),
	}
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(t.Context())
	p.Core = p.start(t, ctx)
	p.mu.Lock()
	p.wait()
	return p
}

// start sets a core to work.
func (p *party) start(t *testing.T, ctx context.Context) *Core {
	t.Helper()
	opt := Options{Settings: settings(), Classes: []string{"read", "gift", "receipt"}, Seed: 1, Backend: p, Dependency: p, Registrar: p}
	if p.change != nil {
		p.change(&opt)
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

// end stops the core, and lets what is left of its timers go.
func (p *party) end() {
	p.cancel()
	p.sleep(time.Minute)
	p.mu.Unlock()
}

// funcEvent has a core's goroutine call a function.
type funcEvent func()

func (f funcEvent) apply(*Core) { f() }

// inLoop has a core's goroutine call a function between two events.
func (p *party) inLoop(c *Core, f func()) { c.notify(funcEvent(f)) }

// each does something with every core. What one does not know of it passes over.
func (p *party) each(do func(*Core)) {
	do(p.Core)
	if p.younger != nil {
		do(p.younger)
	}
}

func (p *party) submit(t *testing.T, id, class, key string) {
	t.Helper()
	p.submitTo(t, p.Core, id, class, key)
}

func (p *party) submitTo(t *testing.T, c *Core, id, class, key string) {
	t.Helper()
	err := c.Submit(Request{ID: id, Class: class, Key: key, ArrivedAt: time.Now(), ReservedKB: 20, Responder: sink{p}})
	if err != nil {
		t.Fatal(err)
	}
	p.wait()
}

func (p *party) complete(id string, end RunEnd, body string) {
	delete(p.begun, id)
	p.each(func(c *Core) { c.RunCompleted(id, end, time.Second, Payload{Body: []byte(body)}) })
	p.wait()
}

func bubble(t *testing.T, play func(t *testing.T, p *party)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := newParty(t)
		defer p.end()
		play(t, p)
	})
}

// wantAnswer checks the one answer of a request.
func (p *party) wantAnswer(t *testing.T, id string, kind OutcomeKind, body string) {
	t.Helper()
	got := p.answers[id]
	if len(got) != 1 || got[0].Kind != kind || string(got[0].Result.Body) != body {
		t.Errorf("%s: answers %+v, want one of kind %d with %q", id, got, kind, body)
	}
}

func TestAnswersOnce(t *testing.T) {
	bubble(t, func(t *testing.T, p *party) {
		p.submit(t, "a", "read", "")
		p.complete("a", RunSucceeded, "page")
		p.complete("a", RunSucceeded, "page again")
		p.CancelRequest("a", sink{p})
		p.wait()
		p.wantAnswer(t, "a", Served, "page")
	})
}

// TestDeadlineByDoor guards that a request which was read late is due by when
// it came to the machine.
func TestDeadlineByDoor(t *testing.T) {
	bubble(t, func(t *testing.T, p *party) {
		began := time.Now()
		p.Submit(Request{ID: "a", Class: "gift", Key: "k", ArrivedAt: began.Add(-4 * time.Second), ReservedKB: 20, Responder: sink{p}})
		p.sleep(testDeadline)
		p.wantAnswer(t, "a", TimedOut, "")
		if took := p.answered["a"].Sub(began); took > time.Second+testSlack {
			t.Errorf("answered after %v", took)
		}
		if len(p.stopped) != 1 {
			t.Errorf("stopped %v", p.stopped)
		}
	})
}

// TestKeyAfterCut guards rule 2: a run that was stopped may have had its
// effect, so its key neither runs again nor is refused within the window.
func TestKeyAfterCut(t *testing.T) {
	bubble(t, func(t *testing.T, p *party) {
		p.submit(t, "a", "gift", "k")
		p.CancelRequest("a", sink{p})
		p.wait()
		p.sleep(testWindow - time.Second)
		p.submit(t, "b", "gift", "k")
		p.wantAnswer(t, "b", Failed, "")
		p.sleep(2 * time.Second)
		p.submit(t, "c", "gift", "k")
		if p.runs["b"] != 0 || p.runs["c"] != 1 {
			t.Errorf("runs %v, want only c's beside a's", p.runs)
		}
	})
}

// TestIDUsedAgain guards rule 1 against a caller that uses an id again, of which
// the module takes no notice.
func TestIDUsedAgain(t *testing.T) {
	bubble(t, func(t *testing.T, p *party) {
		p.submit(t, "a", "gift", "k")
		p.complete("a", RunSucceeded, "thanks")
		p.answers = make(map[string][]Outcome)
		p.submit(t, "a", "read", "")
		p.sleep(testDeadline + testSlack)
		p.wantAnswer(t, "a", TimedOut, "")
	})
}

// TestNoticeSeenLate guards rule 3 when the notice to leave was seen late, so
// that the grace seems to last longer than it does.
func TestNoticeSeenLate(t *testing.T) {
	bubble(t, func(t *testing.T, p *party) {
		p.Drain(time.Now(), time.Now().Add(10*time.Second))
		p.sleep(testGrace - 100*time.Millisecond)
		p.submit(t, "a", "read", "")
		p.sleep(90 * time.Millisecond)
		p.submit(t, "b", "read", "")
		p.wantAnswer(t, "b", Shed, "")
		if p.runs["a"] != 1 || p.runs["b"] != 0 || p.present[len(p.present)-1] {
			t.Errorf("runs %v, present %v", p.runs, p.present)
		}
	})
}

// TestLostCaller sees that a keyed run goes on when its caller's connection ends,
// for the caller may ask again and it must not run twice, and that other work stops.
func TestLostCaller(t *testing.T) {
	bubble(t, func(t *testing.T, p *party) {
		p.submit(t, "a", "gift", "k")
		p.submit(t, "b", "read", "")
		p.CallerDisconnected("a", sink{p})
		p.CallerDisconnected("b", sink{p})
		p.wait()
		if len(p.stopped) != 1 || p.stopped[0] != "b" {
			t.Errorf("stopped %v, want only b", p.stopped)
		}
		p.submit(t, "c", "gift", "k")
		p.complete("a", RunSucceeded, "thanks")
		p.submit(t, "d", "gift", "k")
		for _, id := range []string{"c", "d"} {
			p.wantAnswer(t, id, Served, "thanks")
		}
		if len(p.answers["a"]) > 0 {
			t.Errorf("the lost one is answered %v", p.answers["a"])
		}
		p.submit(t, "e", "gift", "k2")
		p.CallerDisconnected("e", sink{p})
		p.sleep(testDeadline + testSlack)
		if len(p.stopped) != 2 || p.stopped[1] != "e" {
			t.Errorf("stopped %v, want e when its time is over", p.stopped)
		}
	})
}

// TestForeignID guards a request against others that use its id while it is open:
// they are rejected, and can't take it back.
func TestForeignID(t *testing.T) {
	bubble(t, func(t *testing.T, p *party) {
		p.submit(t, "a", "gift", "k")
		other := sink{&party{answers: make(map[string][]Outcome), answered: make(map[string]time.Time)}}
		p.Submit(Request{ID: "a", Class: "read", ArrivedAt: time.Now(), ReservedKB: 20, Responder: other})
		p.CancelRequest("a", other)
		p.wait()
		other.wantAnswer(t, "a", Rejected, "")
		if len(p.stopped) > 0 {
			t.Error("another caller has stopped its run")
		}
		p.complete("a", RunSucceeded, "thanks")
		p.wantAnswer(t, "a", Served, "thanks")
	})
}

// TestKeyWithAnotherBody guards a keyed result against callers that come with its
// key and something else: it is not theirs, and what they bring never runs.
func TestKeyWithAnotherBody(t *testing.T) {
	bubble(t, func(t *testing.T, p *party) {
		try := func(id, body string) {
			p.Submit(Request{
				ID: id, Class: "gift", Key: "k", ArrivedAt: time.Now(), ReservedKB: 20, Responder: sink{p},
				Payload: Payload{Body: []byte(body)},
			})
			p.wait()
		}
		try("a", "10 kr")
		try("b", "20 kr")
		p.wantAnswer(t, "b", Rejected, "")
		p.complete("a", RunSucceeded, "thanks")
		try("c", "20 kr")
		p.wantAnswer(t, "c", Rejected, "")
		try("d", "10 kr")
		p.wantAnswer(t, "d", Served, "thanks")
		p.sleep(testWindow + time.Second)
		try("e", "20 kr") // the window is over: it is a request of its own
		p.complete("e", RunSucceeded, "thanks again")
		p.wantAnswer(t, "e", Served, "thanks again")
	})
}

// TestOldDoor guards the server's view of its own health against a door that
// makes no sense: one such request made reads seem late by years, and the server
// leave the list.
func TestOldDoor(t *testing.T) {
	bubble(t, func(t *testing.T, p *party) {
		p.Submit(Request{ID: "a", Class: "read", ArrivedAt: time.UnixMilli(1), ReservedKB: 20, Responder: sink{p}})
		p.sleep(time.Second)
		p.wantAnswer(t, "a", TimedOut, "")
		if !p.present[len(p.present)-1] {
			t.Error("it takes itself for sick")
		}
	})
}

// TestKeyIsOfItsClass guards callers against the result of another request whose
// key they use, and rule 2 against a class that gets another name: tries of one
// request come in both, and it still runs once.
func TestKeyIsOfItsClass(t *testing.T) {
	bubble(t, func(t *testing.T, p *party) {
		p.submit(t, "a", "gift", "k")
		p.submit(t, "b", "receipt", "k")
		p.wantAnswer(t, "b", Rejected, "")
		if err := p.retune(settings(), "read", "gift", "present"); err != nil {
			t.Fatal(err)
		}
		p.submit(t, "c", "present", "k")
		p.complete("a", RunSucceeded, "thanks")
		p.wantAnswer(t, "c", Served, "thanks")
		p.submit(t, "d", "present", "l")
		p.complete("d", RunSucceeded, "thanks")
		p.submit(t, "e", "gift", "l")
		p.wantAnswer(t, "e", Served, "thanks")
		if p.runs["c"]+p.runs["e"] != 0 {
			t.Errorf("runs %v, want those of a and d", p.runs)
		}
	})
}

// TestUnbornLeavesKeyFree: a run that is proven not to have begun is no bar to
// the next try.
func TestUnbornLeavesKeyFree(t *testing.T) {
	bubble(t, func(t *testing.T, p *party) {
		p.submit(t, "a", "gift", "k")
		p.complete("a", RunNotStarted, "")
		p.wantAnswer(t, "a", Failed, "")
		p.submit(t, "b", "gift", "k")
		p.complete("b", RunSucceeded, "thanks")
		p.wantAnswer(t, "b", Served, "thanks")
	})
}

// TestCallGivenUp has a call hang: it is given up at the module's time-out, a
// late reply to it is not taken for the next one's, and the run goes on without.
func TestCallGivenUp(t *testing.T) {
	bubble(t, func(t *testing.T, p *party) {
		p.submit(t, "a", "read", "")
		p.CallRequested("a", 7, []byte("call"))
		p.wait()
		first := p.asked["a"]
		if first == 0 {
			t.Fatal("no call was made")
		}
		for range 400 { // long enough for the time-out, too short for the deadline
			p.sleep(10 * time.Millisecond)
			if p.asked["a"] != first {
				break
			}
		}
		if p.asked["a"] == first {
			t.Fatal("the call is never given up")
		}
		p.CallCompleted("a", first, decision.Succeeded, []byte("late"))
		p.wait()
		if p.resumed["a"] == "late" {
			t.Error("a reply to a call that was given up is passed on")
		}
		p.sleep(50 * time.Millisecond)
		if p.asked["a"] <= first {
			t.Error("the call is not made again")
		}
		if len(p.hasty) > 0 {
			t.Errorf("called again before the giving up was taken in: %v", p.hasty)
		}
	})
}

// FuzzCore walks through a request's states in random order, and then judges
// the whole by the rules.
func FuzzCore(f *testing.F) {
	randomsteps.Fuzz(f, func(t *testing.T, s *randomsteps.Source) {
		p := newParty(t)
		defer p.end()
		if s.Pick(2) == 1 {
			p.connectSuccessor(t)
		}
		type try struct {
			key  string
			door time.Time
			gone bool
		}
		tries := make(map[string]*try)
		var order []string
		var notice uint64
		var drainedAt time.Time
		for s.More() && len(order) < 60 {
			id := fmt.Sprintf("r%d", s.Pick(len(order)+1))
			_, runs := p.begun[id]
			switch s.Pick(8) {
			case 0, 1, 2:
				id = fmt.Sprintf("r%d", len(order))
				class, key := "read", ""
				if s.Pick(2) == 1 {
					class, key = "gift", fmt.Sprintf("k%d", s.Pick(3))
				}
				order, tries[id] = append(order, id), &try{key: key, door: time.Now()}
				core := p.Core
				if p.younger != nil && s.Pick(2) == 1 {
					core = p.younger
				}
				p.submitTo(t, core, id, class, key)
			case 3:
				if runs {
					p.complete(id, RunEnd(s.Pick(3)), "result of "+id)
				}
			case 4:
				if x := tries[id]; x != nil && len(p.answers[id]) == 0 {
					x.gone = true
					if s.Pick(2) == 0 {
						p.each(func(c *Core) { c.CancelRequest(id, sink{p}) })
					} else {
						p.each(func(c *Core) { c.CallerDisconnected(id, sink{p}) })
					}
				}
			case 5:
				if runs {
					notice++
					p.each(func(c *Core) { c.CallRequested(id, notice, []byte("call")) })
				}
			case 6:
				if n := p.asked[id]; n != 0 {
					delete(p.asked, id)
					end := decision.Outcome(s.Pick(6))
					p.each(func(c *Core) { c.CallCompleted(id, n, end, []byte("reply")) })
				}
			case 7:
				p.sleep(time.Duration(1+s.Pick(200)) * 10 * time.Millisecond)
				if s.Pick(40) == 0 && drainedAt.IsZero() {
					drainedAt = time.Now()
					p.each(func(c *Core) { c.Drain(drainedAt, drainedAt.Add(30*time.Second)) })
				}
			}
			p.wait()
		}
		p.sleep(testDeadline + time.Second)
		if len(p.hasty) > 0 {
			t.Errorf("called again before the giving up was taken in: %v", p.hasty)
		}
		ran := make(map[string]time.Time) // by key
		for _, id := range order {
			x, answers := tries[id], p.answers[id]
			if len(answers) > 1 || len(answers) == 0 && !x.gone {
				t.Errorf("%s: %d answers", id, len(answers))
			}
			if late := p.answered[id].Sub(x.door.Add(testDeadline + testSlack)); late > 0 {
				t.Errorf("%s: answered %v late", id, late)
			}
			if p.runs[id] > 0 && !drainedAt.IsZero() && x.door.After(drainedAt.Add(testGrace)) {
				t.Errorf("%s: run though it came after the grace", id)
			}
			if x.key == "" {
				continue
			}
			if first, ok := ran[x.key]; ok && p.runs[id] > 0 && x.door.Before(first.Add(testWindow)) {
				t.Errorf("%s: key %s was run within its window", id, x.key)
			}
			if p.runs[id] > 0 {
				ran[x.key] = x.door
				if len(answers) == 1 && answers[0].Kind == Shed {
					t.Errorf("%s: refused after it was run", id)
				}
			}
			if p.runs[id] > 1 {
				t.Errorf("%s: run %d times", id, p.runs[id])
			}
		}
	})
}
