// Package modelcheck walks every order of events that a few members of package
// lease can meet, up to a stated size, and checks what must hold in each
// state. It works on the package's own Member, Table and Fence, not on a model
// of them; only the log's consensus is modelled, as a list to which commands
// are added in any order, each perhaps twice, late or never (it is lost), and
// which each member reads at its own pace. Acts reach the receiver alike.
//
// The properties:
//
//   - no two members hold the lease at one instant, while their clocks keep to
//     the stated drift;
//   - the tokens that the receiver accepts only grow, and the acts accepted
//     under one token come from one owner.
//
// The walk goes breadth first, so a violation is a shortest sequence of events;
// Replay plays it again, event by event.
package modelcheck

import (
	"encoding/binary"
	"fmt"
	"hash/maphash"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"quincerail.example/quincerail/fleet/lease"
)

const leaseName = "work"

// timeStep is how far a true clock moves in one step of time.
const timeStep = 100 * time.Millisecond

// Config is the size of the walk.
type Config struct {
	Timing        lease.Timing
	ClockRates    []float64 // of each member's clock: 1 is true, 1.1 runs a tenth fast
	MaxTimeSteps  int       // of true time
	MaxCommands   int       // sent by all members at most
	MaxDuplicates int       // of commands and acts that arrive twice, at most
	MaxPauses     int       // of members that have looked and not sent yet, at most
	MaxRequests   int       // sent by all members at most
	DisableFence  bool      // the receiver accepts any token: to see that the walk finds what that does
}

// Transition is one step of a sequence.
type Transition struct {
	Kind  string // time, tick, commit, copy, apply, act, pause, resume, deliver, copy-act
	Index int    // the member, or the place among the commands or acts on the way
}

// String gives the event as Replay takes it.
func (e Transition) String() string {
	if e.Kind == "time" {
		return e.Kind
	}
	return fmt.Sprintf("%s:%d", e.Kind, e.Index)
}

// ViolationError is a property that did not hold, and the events that led there.
type ViolationError struct {
	Invariant string
	Trace     []Transition
}

func (v *ViolationError) Error() string {
	words := make([]string, len(v.Trace))
	for i, e := range v.Trace {
		words[i] = e.String()
	}
	return fmt.Sprintf("modelcheck: %s, after: %s", v.Invariant, strings.Join(words, " "))
}

// Result is how far a walk came.
type Result struct {
	States int // that differ
	Depth  int // events of the longest sequence
}

// request is a piece of fleet work: what an owner sends the receiver.
type request struct {
	by    int
	token lease.Token
}

// state is one state. Its slices are replaced, never written into.
type state struct {
	now      time.Duration
	members  []*lease.Client
	read     []int           // how much of the log each member has applied
	log      []lease.Command // what the voters agreed on
	commands []lease.Command // on the way to the log
	acts     []request       // on the way to the receiver
	looked   []*request      // a paused member found that it holds the lease, and has not sent yet
	highest  lease.Token     // that the receiver accepted
	owners   []request       // who acted under each token, as the receiver accepted it
	used     [4]int          // of Commands, Copies, Pauses, Acts
}

const (
	usedCommands = iota
	usedCopies
	usedPauses
	usedActs
)

func initialState(c Config) (*state, error) {
	n := len(c.ClockRates)
	w := &state{read: make([]int, n), looked: make([]*request, n)}
	for i := range n {
		m, err := lease.NewClient(lease.Owner{Member: fmt.Sprint("m", i), Incarnation: 1}, c.Timing, []string{leaseName})
		if err != nil {
			return nil, err
		}
		w.members = append(w.members, m)
	}
	return w, nil
}

// clock is what a member's clock shows; each has an offset of its own.
func (w *state) clock(c Config, i int) time.Duration {
	return time.Duration(i)*time.Hour + time.Duration(float64(w.now)*c.ClockRates[i])
}

// enabled lists what can happen next. A member that does nothing for a while is
// in the list too, as time goes on without it; a pause is one that comes between
// its look at the lease and its act.
func (w *state) enabled(c Config) (out []Transition) {
	add := func(kind string, of int) { out = append(out, Transition{kind, of}) }
	for i, m := range w.members {
		if w.looked[i] != nil {
			add("resume", i)
			continue
		}
		if w.used[usedCommands] < c.MaxCommands {
			add("tick", i)
		}
		if w.read[i] < len(w.log) {
			add("apply", i)
		}
		if _, holds := m.Holds(leaseName, w.clock(c, i)); holds && w.used[usedActs] < c.MaxRequests {
			add("act", i)
			if w.used[usedPauses] < c.MaxPauses {
				add("pause", i)
			}
		}
	}
	if int(w.now/timeStep) < c.MaxTimeSteps {
		add("time", 0)
	}
	copies := w.used[usedCopies] < c.MaxDuplicates
	for i := range w.commands {
		add("commit", i)
		if copies {
			add("copy", i)
		}
	}
	for i := range w.acts {
		add("deliver", i)
		if copies {
			add("copy-act", i)
		}
	}
	return out
}

// next gives the state after an event, nil if the event changes nothing; the
// error is the property that it broke.
func (w *state) next(c Config, e Transition) (*state, error) {
	n := *w
	with := func(i int) *lease.Client {
		n.members = slices.Clone(w.members)
		n.members[i] = w.members[i].Clone()
		return n.members[i]
	}
	switch e.Kind {
	case "time":
		n.now += timeStep
	case "tick":
		sent := with(e.Index).Tick(w.clock(c, e.Index), true)
		if len(sent) == 0 {
			return nil, nil
		}
		n.commands = append(slices.Clone(w.commands), sent...)
		n.used[usedCommands] += len(sent)
	case "apply":
		at := w.read[e.Index]
		with(e.Index).Apply(w.log[at], lease.Token{Term: 1, Index: uint64(at + 1)}, w.clock(c, e.Index))
		n.read = slices.Clone(w.read)
		n.read[e.Index]++
	case "commit", "copy":
		n.log = append(slices.Clone(w.log), w.commands[e.Index])
		if e.Kind == "copy" {
			n.used[usedCopies]++
		} else {
			n.commands = slices.Delete(slices.Clone(w.commands), e.Index, e.Index+1)
		}
	case "act", "pause":
		token, _ := w.members[e.Index].Holds(leaseName, w.clock(c, e.Index))
		n.used[usedActs]++
		if e.Kind == "act" {
			n.acts = append(slices.Clone(w.acts), request{e.Index, token})
			break
		}
		n.looked = slices.Clone(w.looked)
		n.looked[e.Index] = &request{e.Index, token}
		n.used[usedPauses]++
	case "resume":
		n.acts = append(slices.Clone(w.acts), *w.looked[e.Index])
		n.looked = slices.Clone(w.looked)
		n.looked[e.Index] = nil
	case "deliver", "copy-act":
		if err := n.receive(c, w.acts[e.Index]); err != nil {
			return &n, err
		}
		if e.Kind == "copy-act" {
			n.used[usedCopies]++
		} else {
			n.acts = slices.Delete(slices.Clone(w.acts), e.Index, e.Index+1)
		}
	default:
		return nil, fmt.Errorf("modelcheck: event %q is none", e.Kind)
	}
	holders := 0
	for i, m := range n.members {
		if _, ok := m.Holds(leaseName, n.clock(c, i)); ok {
			holders++
		}
	}
	if holders > 1 {
		return &n, fmt.Errorf("%d members hold the lease at one instant", holders)
	}
	return &n, nil
}

// receive is the receiver: a fence that has seen what was accepted so far.
func (n *state) receive(c Config, a request) error {
	var f lease.Fence
	if err := f.Admit(leaseName, n.highest); err != nil {
		return err
	}
	if f.Admit(leaseName, a.token) != nil && !c.DisableFence {
		return nil // refused, as it should be
	}
	if a.token.Compare(n.highest) < 0 {
		return fmt.Errorf("the receiver accepted %v after %v", a.token, n.highest)
	}
	n.highest = a.token
	for _, o := range n.owners {
		if o.token == a.token && o.by != a.by {
			return fmt.Errorf("members %d and %d acted under %v", o.by, a.by, a.token)
		}
	}
	if !slices.Contains(n.owners, a) {
		n.owners = append(slices.Clone(n.owners), a)
	}
	return nil
}

// fingerprint tells states apart, but for a chance of one in 2^64 a pair. What is on
// the way is a set: its order decides nothing.
func (w *state) fingerprint(c Config, seed maphash.Seed) uint64 {
	var b []byte
	num := func(vs ...int) {
		for _, v := range vs {
			b = binary.AppendVarint(b, int64(v))
		}
	}
	command := func(x lease.Command) {
		b = append(append(b, x.Kind...), x.Owner.Member...)
		num(int(x.Token.Index), int(x.Renewals), int(x.Nonce))
	}
	set := func(n int, item func(i int)) { // adds the hash of each
		var sum uint64
		for i := range n {
			from := len(b)
			item(i)
			sum += maphash.Bytes(seed, b[from:])
			b = b[:from]
		}
		b = binary.LittleEndian.AppendUint64(b, sum)
		num(n)
	}
	num(int(w.now), int(w.highest.Index), len(w.log))
	num(w.used[:]...)
	least := len(w.log)
	for i, m := range w.members {
		b = m.AppendState(b, w.clock(c, i))
		num(w.read[i])
		least = min(least, w.read[i])
		if w.looked[i] != nil {
			num(int(w.looked[i].token.Index))
		} else {
			num(-1)
		}
	}
	for _, x := range w.log[least:] { // what all have read decides nothing more
		command(x)
	}
	of := func(acts []request) func(int) {
		return func(i int) { num(acts[i].by, int(acts[i].token.Index)) }
	}
	set(len(w.commands), func(i int) { command(w.commands[i]) })
	set(len(w.acts), of(w.acts))
	set(len(w.owners), of(w.owners))
	return maphash.Bytes(seed, b)
}

// successor is what an event made of a state.
type successor struct {
	w     *state
	key   uint64
	from  int // place of the state before, among all
	event Transition
	err   error
}

// frontierState is a state whose events have not been walked yet.
type frontierState struct {
	w  *state
	at int // its place among all
}

// expand walks all events of some states.
func expand(c Config, seed maphash.Seed, states []frontierState) (out []successor) {
	for _, o := range states {
		for _, e := range o.w.enabled(c) {
			n, err := o.w.next(c, e)
			if err != nil {
				return append(out, successor{from: o.at, event: e, err: err})
			}
			if n != nil {
				out = append(out, successor{n, n.fingerprint(c, seed), o.at, e, nil})
			}
		}
	}
	return out
}

// batchSize is how many states one goroutine walks at a time.
const batchSize = 512

// Run walks all orders of events, on all cores. The error is a *Violation
// where a property did not hold.
func Run(c Config) (Result, error) {
	first, err := initialState(c)
	if err != nil {
		return Result{}, err
	}
	seed := maphash.MakeSeed()
	known := map[uint64]bool{first.fingerprint(c, seed): true}
	traces := []successor{{from: -1}}
	level := []frontierState{{first, 0}}
	r := Result{States: 1}
	for ; len(level) > 0; r.Depth++ {
		parts := slices.Collect(slices.Chunk(level, batchSize))
		found := make([][]successor, len(parts))
		var wg sync.WaitGroup
		room := make(chan struct{}, runtime.GOMAXPROCS(0))
		for i, part := range parts {
			room <- struct{}{}
			wg.Go(func() {
				found[i] = expand(c, seed, part)
				<-room
			})
		}
		wg.Wait()
		level = nil
		for _, n := range slices.Concat(found...) {
			if n.err != nil {
				v := &ViolationError{Invariant: n.err.Error(), Trace: []Transition{n.event}}
				for at := n.from; traces[at].from >= 0; at = traces[at].from {
					v.Trace = append(v.Trace, traces[at].event)
				}
				slices.Reverse(v.Trace)
				return r, v
			}
			if !known[n.key] {
				known[n.key] = true
				level = append(level, frontierState{n.w, len(traces)})
				traces = append(traces, successor{from: n.from, event: n.event})
				r.States++
			}
		}
	}
	return r, nil
}

// Replay plays a violation's events again, and gives the property that they
// break; nil if they break none.
func Replay(c Config, events []Transition) error {
	w, err := initialState(c)
	for _, e := range events {
		if err != nil {
			return err
		}
		if !slices.Contains(w.enabled(c), e) {
			return fmt.Errorf("modelcheck: %s can't happen there", e)
		}
		if w, err = w.next(c, e); w == nil {
			return fmt.Errorf("modelcheck: %s changes nothing there: %w", e, err)
		}
	}
	return err
}
