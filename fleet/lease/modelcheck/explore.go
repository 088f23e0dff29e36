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

const name = "work"

// tick is how far a true clock moves in one step of time.
const tick = 100 * time.Millisecond

// Config is the size of the walk.
type Config struct {
	Timing   lease.Timing
	Rates    []float64 // of each member's clock: 1 is true, 1.1 runs a tenth fast
	Steps    int       // of true time
	Commands int       // sent by all members at most
	Copies   int       // of commands and acts that arrive twice, at most
	Pauses   int       // of members that have looked and not sent yet, at most
	Acts     int       // sent by all members at most
	Unfenced bool      // the receiver accepts any token: to see that the walk finds what that does
}

// Event is one step of a sequence.
type Event struct {
	Kind string // time, tick, commit, copy, apply, act, pause, resume, deliver, copy-act
	Of   int    // the member, or the place among the commands or acts on the way
}

// String gives the event as Replay takes it.
func (e Event) String() string {
	if e.Kind == "time" {
		return e.Kind
	}
	return fmt.Sprintf("%s:%d", e.Kind, e.Of)
}

// Violation is a property that did not hold, and the events that led there.
type Violation struct {
	Property string
	Events   []Event
}

func (v *Violation) Error() string {
	words := make([]string, len(v.Events))
	for i, e := range v.Events {
		words[i] = e.String()
	}
	return fmt.Sprintf("modelcheck: %s, after: %s", v.Property, strings.Join(words, " "))
}

// Result is how far a walk came.
type Result struct {
	States int // that differ
	Depth  int // events of the longest sequence
}

// act is a piece of fleet work: what an owner sends the receiver.
type act struct {
	by    int
	token lease.Token
}

// world is one state. Its slices are replaced, never written into.
type world struct {
	now      time.Duration
	members  []*lease.Client
	read     []int           // how much of the log each member has applied
	log      []lease.Command // what the voters agreed on
	commands []lease.Command // on the way to the log
	acts     []act           // on the way to the receiver
	looked   []*act          // a paused member found that it holds the lease, and has not sent yet
	highest  lease.Token     // that the receiver accepted
	owners   []act           // who acted under each token, as the receiver accepted it
	used     [4]int          // of Commands, Copies, Pauses, Acts
}

const (
	usedCommands = iota
	usedCopies
	usedPauses
	usedActs
)

func begin(c Config) (*world, error) {
	n := len(c.Rates)
	w := &world{read: make([]int, n), looked: make([]*act, n)}
	for i := range n {
		m, err := lease.NewClient(lease.Owner{Member: fmt.Sprint("m", i), Incarnation: 1}, c.Timing, []string{name})
		if err != nil {
			return nil, err
		}
		w.members = append(w.members, m)
	}
	return w, nil
}

// clock is what a member's clock shows; each has an offset of its own.
func (w *world) clock(c Config, i int) time.Duration {
	return time.Duration(i)*time.Hour + time.Duration(float64(w.now)*c.Rates[i])
}

// events lists what can happen next. A member that does nothing for a while is
// in the list too, as time goes on without it; a pause is one that comes between
// its look at the lease and its act.
func (w *world) events(c Config) (out []Event) {
	add := func(kind string, of int) { out = append(out, Event{kind, of}) }
	for i, m := range w.members {
		if w.looked[i] != nil {
			add("resume", i)
			continue
		}
		if w.used[usedCommands] < c.Commands {
			add("tick", i)
		}
		if w.read[i] < len(w.log) {
			add("apply", i)
		}
		if _, holds := m.Holds(name, w.clock(c, i)); holds && w.used[usedActs] < c.Acts {
			add("act", i)
			if w.used[usedPauses] < c.Pauses {
				add("pause", i)
			}
		}
	}
	if int(w.now/tick) < c.Steps {
		add("time", 0)
	}
	copies := w.used[usedCopies] < c.Copies
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

// step gives the state after an event, nil if the event changes nothing; the
// error is the property that it broke.
func (w *world) step(c Config, e Event) (*world, error) {
	n := *w
	with := func(i int) *lease.Client {
		n.members = slices.Clone(w.members)
		n.members[i] = w.members[i].Clone()
		return n.members[i]
	}
	switch e.Kind {
	case "time":
		n.now += tick
	case "tick":
		sent := with(e.Of).Tick(w.clock(c, e.Of), true)
		if len(sent) == 0 {
			return nil, nil
		}
		n.commands = append(slices.Clone(w.commands), sent...)
		n.used[usedCommands] += len(sent)
	case "apply":
		at := w.read[e.Of]
		with(e.Of).Apply(w.log[at], lease.Token{Term: 1, Index: uint64(at + 1)}, w.clock(c, e.Of))
		n.read = slices.Clone(w.read)
		n.read[e.Of]++
	case "commit", "copy":
		n.log = append(slices.Clone(w.log), w.commands[e.Of])
		if e.Kind == "copy" {
			n.used[usedCopies]++
		} else {
			n.commands = slices.Delete(slices.Clone(w.commands), e.Of, e.Of+1)
		}
	case "act", "pause":
		token, _ := w.members[e.Of].Holds(name, w.clock(c, e.Of))
		n.used[usedActs]++
		if e.Kind == "act" {
			n.acts = append(slices.Clone(w.acts), act{e.Of, token})
			break
		}
		n.looked = slices.Clone(w.looked)
		n.looked[e.Of] = &act{e.Of, token}
		n.used[usedPauses]++
	case "resume":
		n.acts = append(slices.Clone(w.acts), *w.looked[e.Of])
		n.looked = slices.Clone(w.looked)
		n.looked[e.Of] = nil
	case "deliver", "copy-act":
		if err := n.receive(c, w.acts[e.Of]); err != nil {
			return &n, err
		}
		if e.Kind == "copy-act" {
			n.used[usedCopies]++
		} else {
			n.acts = slices.Delete(slices.Clone(w.acts), e.Of, e.Of+1)
		}
	default:
		return nil, fmt.Errorf("modelcheck: event %q is none", e.Kind)
	}
	holders := 0
	for i, m := range n.members {
		if _, ok := m.Holds(name, n.clock(c, i)); ok {
			holders++
		}
	}
	if holders > 1 {
		return &n, fmt.Errorf("%d members hold the lease at one instant", holders)
	}
	return &n, nil
}

// receive is the receiver: a fence that has seen what was accepted so far.
func (n *world) receive(c Config, a act) error {
	var f lease.Fence
	if err := f.Admit(name, n.highest); err != nil {
		return err
	}
	if f.Admit(name, a.token) != nil && !c.Unfenced {
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

// key tells states apart, but for a chance of one in 2^64 a pair. What is on
// the way is a set: its order decides nothing.
func (w *world) key(c Config, seed maphash.Seed) uint64 {
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
	of := func(acts []act) func(int) {
		return func(i int) { num(acts[i].by, int(acts[i].token.Index)) }
	}
	set(len(w.commands), func(i int) { command(w.commands[i]) })
	set(len(w.acts), of(w.acts))
	set(len(w.owners), of(w.owners))
	return maphash.Bytes(seed, b)
}

// next is what an event made of a state.
type next struct {
	w     *world
	key   uint64
	from  int // place of the state before, among all
	event Event
	err   error
}

// open is a state whose events have not been walked yet.
type open struct {
	w  *world
	at int // its place among all
}

// expand walks all events of some states.
func expand(c Config, seed maphash.Seed, states []open) (out []next) {
	for _, o := range states {
		for _, e := range o.w.events(c) {
			n, err := o.w.step(c, e)
			if err != nil {
				return append(out, next{from: o.at, event: e, err: err})
			}
			if n != nil {
				out = append(out, next{n, n.key(c, seed), o.at, e, nil})
			}
		}
	}
	return out
}

// chunk is how many states one goroutine walks at a time.
const chunk = 512

// Run walks all orders of events, on all cores. The error is a *Violation
// where a property did not hold.
func Run(c Config) (Result, error) {
	first, err := begin(c)
	if err != nil {
		return Result{}, err
	}
	seed := maphash.MakeSeed()
	known := map[uint64]bool{first.key(c, seed): true}
	traces := []next{{from: -1}}
	level := []open{{first, 0}}
	r := Result{States: 1}
	for ; len(level) > 0; r.Depth++ {
		parts := slices.Collect(slices.Chunk(level, chunk))
		found := make([][]next, len(parts))
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
				v := &Violation{Property: n.err.Error(), Events: []Event{n.event}}
				for at := n.from; traces[at].from >= 0; at = traces[at].from {
					v.Events = append(v.Events, traces[at].event)
				}
				slices.Reverse(v.Events)
				return r, v
			}
			if !known[n.key] {
				known[n.key] = true
				level = append(level, open{n.w, len(traces)})
				traces = append(traces, next{from: n.from, event: n.event})
				r.States++
			}
		}
	}
	return r, nil
}

// Replay plays a violation's events again, and gives the property that they
// break; nil if they break none.
func Replay(c Config, events []Event) error {
	w, err := begin(c)
	for _, e := range events {
		if err != nil {
			return err
		}
		if !slices.Contains(w.events(c), e) {
			return fmt.Errorf("modelcheck: %s can't happen there", e)
		}
		if w, err = w.step(c, e); w == nil {
			return fmt.Errorf("modelcheck: %s changes nothing there: %w", e, err)
		}
	}
	return err
}
