// Package simulation plays fleets of thousands of members on one machine: the
// code of package quota itself, over a network and clocks that are simulated,
// from a fixed seed. Time goes in rounds of gossip.
package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quincerail.example/quincerail/fleet/quota"
)

// Config is a fleet and its network.
type Config struct {
	Members   int
	Total     uint64 // the budget: what all may have in hand together
	Seed      uint64
	Round     time.Duration // between two rounds of gossip
	Fanout    int           // members that each talks to in a round
	Bytes     int           // of one message at most
	Loss      float64       // share of messages lost
	Double    float64       // share that arrives twice
	Late      float64       // share that arrives some rounds later
	Timing    quota.Timing
	Drift     float64 // clocks run fast or slow by up to this much, drawn for each
	Load      float64 // what all want together, as a share of Total
	Skew      float64 // a member's want goes with its rank to the power of -Skew
	Reshuffle int     // rounds after which other members want most; 0 for never
}

// mostRepeats is how many items a message repeats at most.
const mostRepeats = 32

// lateRounds is how late a late message is at most.
const lateRounds = 20

// node is one member's place.
type node struct {
	m       *quota.Member
	id      quota.ID
	group   int // of a partition
	paused  bool
	stopped bool // paused for longer than anything is in hand
	dead    bool
	rate    float64
	offset  time.Duration
	wants   uint64
	used    uint64 // in hand at the dependency, whatever the member itself knows
	queue   []*queued
	waits   map[quota.ID]*queued // what is in the queue
	rest    []quota.ID           // whose items it sends when it has nothing new, in turn
	restAt  int
	bytes   int
	refused uint64
}

// queued is a piece of news on its way out.
type queued struct {
	item quota.Delta
	size int
	left int // times that it is still sent
}

// letter is a message on its way.
type letter struct {
	to    int
	group int
	items []quota.Delta
	ask   *quota.TransferRequest
}

// Fleet is a fleet at work.
type Fleet struct {
	conf   Config
	rng    *rand.Rand
	now    time.Duration
	round  int
	nodes  []*node
	bank   *quota.Allocator
	index  uint64
	keeper *quota.AllocatorLeader
	owner  int // place of the keeper's node
	late   map[int][]letter
	rows   map[*quota.MemberState]int // sizes on the wire
	others map[*quota.Account]int
	again  int
	over   int64 // most that was in hand beyond Total
}

// New makes a fleet whose members know nobody but by the names of all.
func New(c Config) (*Fleet, error) {
	f := &Fleet{conf: c, rng: rand.New(rand.NewPCG(c.Seed, 17)), bank: quota.NewAllocator(c.Total), late: map[int][]letter{},
		rows: map[*quota.MemberState]int{}, others: map[*quota.Account]int{}, over: math.MinInt64}
	for i := range c.Members {
		n := &node{rate: 1 + c.Drift*(2*f.rng.Float64()-1), offset: time.Duration(f.rng.Int64N(int64(time.Hour)))}
		f.nodes = append(f.nodes, n)
		if err := f.start(i); err != nil {
			return nil, err
		}
	}
	f.Keep(0)
	f.shuffle()
	return f, nil
}

// start begins a new life of a member.
func (f *Fleet) start(i int) error {
	f.again++
	n := f.nodes[i]
	n.id = quota.ID{Member: fmt.Sprint("n", i), Incarnation: uint64(f.again)}
	m, err := quota.NewMember(n.id, f.conf.Timing, rand.New(rand.NewPCG(f.conf.Seed, uint64(f.again))))
	if err != nil {
		return err
	}
	n.m, n.dead, n.paused, n.queue, n.rest, n.restAt = m, false, false, nil, nil, 0
	n.waits = map[quota.ID]*queued{}
	return nil
}

// shuffle draws who wants how much.
func (f *Fleet) shuffle() {
	weights, sum := make([]float64, len(f.nodes)), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -f.conf.Skew)
		sum += weights[i]
	}
	f.rng.Shuffle(len(weights), func(i, j int) { weights[i], weights[j] = weights[j], weights[i] })
	for i, n := range f.nodes {
		n.wants = uint64(weights[i]/sum*f.conf.Load*float64(f.conf.Total) + 0.5)
	}
}

// Keep hands the bank to a member's keeper, which comes into office now. It is
// the log that makes sure that there is one only, and that it hears a majority:
// Keep refuses a member that does not, and leaves the bank without a keeper.
func (f *Fleet) Keep(i int) bool {
	near := 0
	for _, n := range f.nodes {
		if !n.dead && !n.paused && n.group == f.nodes[i].group {
			near++
		}
	}
	if f.owner = -1; 2*near <= len(f.nodes) || f.nodes[i].dead || f.nodes[i].paused {
		return false
	}
	f.owner = i
	f.keeper = quota.NewAllocatorLeader(f.conf.Total, f.conf.Timing, f.clock(f.nodes[i]))
	for id, a := range f.bank.Accounts { // the log has told it
		f.merge(f.nodes[i], quota.Delta{ID: id, Account: a})
	}
	return true
}

// Partition puts members into groups that don't hear each other.
func (f *Fleet) Partition(group func(i int) int) {
	for i, n := range f.nodes {
		n.group = group(i)
	}
}

// Pause stops members, or lets them go on.
func (f *Fleet) Pause(i int, on bool) { f.nodes[i].paused = on }

// Kill ends a member's process; what it had in hand ends with it.
func (f *Fleet) Kill(i int) { f.nodes[i].dead, f.nodes[i].used = true, 0 }

// Restart begins a new life of a member that was killed, under its old name.
func (f *Fleet) Restart(i int) error { return f.start(i) }

func (f *Fleet) clock(n *node) time.Duration {
	return n.offset + time.Duration(float64(f.now)*n.rate)
}

// merge has a member take an item in, and pass on what was news.
func (f *Fleet) merge(n *node, i quota.Delta) {
	if news, ok := n.m.Merge(i, f.clock(n)); ok {
		f.send(n, news)
	}
}

// send queues news, in place of older news of the same ID.
func (f *Fleet) send(n *node, i quota.Delta) {
	times := int(math.Ceil(3*math.Log10(float64(len(f.nodes)+1)))) / f.conf.Fanout * f.conf.Fanout
	times = max(times, f.conf.Fanout)
	q := n.waits[i.ID]
	if q == nil {
		q = &queued{i, f.size(i), times}
		n.queue, n.waits[i.ID] = append(n.queue, q), q
		return
	}
	if i.MemberState == nil {
		i.MemberState = q.item.MemberState
	}
	if i.Account == nil {
		i.Account = q.item.Account
	}
	*q = queued{i, f.size(i), times}
}

// mostSizes is how many sizes are remembered: they keep what they are of alive.
const mostSizes = 1 << 15

// size is an item's length on the wire.
func (f *Fleet) size(i quota.Delta) int {
	return 8 + len(i.ID.Member) + sizeOf(f.rows, i.MemberState) + sizeOf(f.others, i.Account)
}

// sizeOf is the length of a part of an item, 0 where that is missing.
func sizeOf[T any](known map[*T]int, p *T) int {
	if p == nil {
		return 0
	}
	n, ok := known[p]
	if !ok {
		b, err := cbor.Marshal(p)
		if err != nil {
			panic(err) // plain records
		}
		if len(known) >= mostSizes {
			clear(known)
		}
		n = len(b)
		known[p] = n
	}
	return n
}

// Step plays one round.
func (f *Fleet) Step() {
	f.round++
	f.now += f.conf.Round
	if f.conf.Reshuffle > 0 && f.round%f.conf.Reshuffle == 0 {
		f.shuffle()
	}
	for _, l := range f.late[f.round] {
		f.deliver(l)
	}
	delete(f.late, f.round)
	f.work()
	for i, n := range f.nodes {
		if n.dead || n.paused {
			continue
		}
		if n.m.Fenced() { // the fleet gave it up: it begins anew
			n.used = 0
			if err := f.start(i); err != nil {
				panic(err) // the timing was right before
			}
		}
		said := n.m.Tick(f.clock(n))
		if said.Broadcast != nil {
			f.send(n, *said.Broadcast)
			f.tell(n, f.owner, *said.Broadcast) // the keeper hears beats soon
		}
		for _, g := range said.Transfers {
			f.tell(n, f.place(g.To), g.Delta)
		}
		if said.Request != nil {
			for k := range quota.RequestFanout {
				to := f.rng.IntN(len(f.nodes))
				if k < len(said.RequestTo) {
					to = f.place(said.RequestTo[k])
				}
				if to >= 0 && to != i {
					n.bytes += askSize
					f.post(letter{to: to, group: n.group, ask: said.Request})
				}
			}
		}
		if i == f.owner {
			f.keep(n)
		}
	}
	for _, i := range f.rng.Perm(len(f.nodes)) {
		if n := f.nodes[i]; !n.dead && !n.paused {
			for range f.conf.Fanout {
				f.talk(i, n)
			}
		}
	}
}

// askSize is about what an Ask takes on the wire.
const askSize = 64

// tell has a member say something to one other alone.
func (f *Fleet) tell(n *node, to int, i quota.Delta) {
	if to < 0 || f.nodes[to] == n {
		return
	}
	n.bytes += f.size(i)
	f.post(letter{to: to, group: n.group, items: []quota.Delta{i}})
}

// keep has the keeper decide; its orders come to the bank at once.
func (f *Fleet) keep(n *node) {
	orders, acks := f.keeper.Tick(f.clock(n), n.m.State(), f.bank)
	for _, a := range acks {
		f.merge(n, a)
		f.tell(n, f.place(a.ID), a)
	}
	for _, o := range orders {
		f.index++
		items, err := f.bank.Apply(o, f.index)
		if err != nil {
			continue // it comes again if it is still called for
		}
		for _, i := range items {
			if f.merge(n, i); !i.Account.Fenced {
				f.tell(n, f.place(i.ID), i)
			}
		}
	}
}

// work ends what was in hand and takes as much as each wants; then it counts.
func (f *Fleet) work() {
	var used uint64
	for _, n := range f.nodes {
		held := n.used
		n.used = 0
		if n.paused && !n.stopped { // what it had in hand goes on for its time
			n.used = held
		}
		n.stopped = n.paused
		if !n.dead && !n.paused {
			for range n.m.InUse() {
				n.m.Release()
			}
			for range n.wants {
				if n.m.TryAcquire(f.clock(n)) {
					n.used++
				} else {
					n.refused++
				}
			}
		}
		used += n.used
	}
	f.over = max(f.over, int64(used)-int64(f.conf.Total))
}

// talk has a member send one message to another.
func (f *Fleet) talk(from int, n *node) {
	to := f.rng.IntN(len(f.nodes))
	if to == from {
		return
	}
	l := letter{to: to, group: n.group}
	room := f.conf.Bytes
	for sent := 0; sent < len(n.queue) && (sent == 0 || n.queue[sent].size <= room-f.conf.Bytes/4); sent++ {
		l.items = append(l.items, n.queue[sent].item)
		room -= n.queue[sent].size
		n.queue[sent].left--
	}
	sent := len(l.items)
	rest := n.queue[sent:]
	for _, q := range n.queue[:sent] { // what was sent goes behind
		if q.left > 0 {
			rest = append(rest, q)
		} else {
			delete(n.waits, q.item.ID)
		}
	}
	n.queue = rest
	f.repeat(n, &l, room)
	for _, i := range l.items {
		n.bytes += f.size(i)
	}
	f.post(l)
}

// place finds where a life is, -1 if it is over.
func (f *Fleet) place(id quota.ID) int {
	var i int
	if _, err := fmt.Sscanf(id.Member, "n%d", &i); err != nil || f.nodes[i].id != id {
		return -1
	}
	return i
}

// post has a message arrive, or what else becomes of it.
func (f *Fleet) post(l letter) {
	switch p := f.rng.Float64(); {
	case p < f.conf.Loss:
	case p < f.conf.Loss+f.conf.Double:
		f.deliver(l)
		f.later(l)
	case p < f.conf.Loss+f.conf.Double+f.conf.Late:
		f.later(l)
	default:
		f.deliver(l)
	}
}

// repeat fills the rest of a message, a quarter at least, with what a member
// knows, in turn: what was lost, or missed in a partition, comes so.
func (f *Fleet) repeat(n *node, l *letter, room int) {
	s := n.m.State()
	for range mostRepeats {
		if n.restAt >= len(n.rest) {
			n.restAt, n.rest = 0, n.rest[:0]
			for id := range s.Members {
				n.rest = append(n.rest, id)
			}
			for id := range s.Accounts {
				if s.Members[id] == nil {
					n.rest = append(n.rest, id)
				}
			}
			slices.SortFunc(n.rest, func(a, b quota.ID) int { return int(a.Incarnation) - int(b.Incarnation) })
			if len(n.rest) == 0 {
				return
			}
			f.rng.Shuffle(len(n.rest), func(i, j int) { n.rest[i], n.rest[j] = n.rest[j], n.rest[i] })
		}
		id := n.rest[n.restAt]
		i := quota.Delta{ID: id, MemberState: s.Members[id], Account: s.Accounts[id]}
		size := f.size(i)
		if size > room && len(l.items) > 0 {
			return
		}
		room -= size
		l.items = append(l.items, i)
		n.restAt++
	}
}

func (f *Fleet) later(l letter) {
	at := f.round + 1 + f.rng.IntN(lateRounds)
	f.late[at] = append(f.late[at], l)
}

func (f *Fleet) deliver(l letter) {
	n := f.nodes[l.to]
	if n.dead || n.paused || n.group != l.group {
		return
	}
	for _, i := range l.items {
		f.merge(n, i)
	}
	if l.ask != nil {
		n.m.HandleRequest(*l.ask, f.clock(n))
	}
}

// Overshoot is the most that all had in hand beyond the budget so far; below
// zero where the budget was never used up.
func (f *Fleet) Overshoot() int64 { return f.over }

// Served is what all have in hand now, and what they want, at most Total.
func (f *Fleet) Served() (used, want uint64) {
	for _, n := range f.nodes {
		if !n.dead && !n.paused {
			used += n.used
			want += n.wants
		}
	}
	return used, min(want, f.conf.Total)
}

// SentBytes is what each member sent so far, in the mean.
func (f *Fleet) SentBytes() float64 {
	sum := 0
	for _, n := range f.nodes {
		sum += n.bytes
	}
	return float64(sum) / float64(len(f.nodes))
}

// Marks is what is known of each life by anybody who is alive: to ask later
// whether all know as much.
func (f *Fleet) Marks() map[quota.ID]uint64 {
	marks := map[quota.ID]uint64{}
	for _, n := range f.nodes {
		if n.dead || n.paused {
			continue
		}
		for id, r := range n.m.State().Members {
			marks[id] = max(marks[id], r.Heartbeat)
		}
	}
	return marks
}

// Know tells whether all who are alive know as much as the marks say.
func (f *Fleet) Know(marks map[quota.ID]uint64) bool {
	for _, n := range f.nodes {
		if n.dead || n.paused {
			continue
		}
		rows := n.m.State().Members
		for id, beat := range marks {
			if r := rows[id]; r == nil || r.Heartbeat < beat {
				return false
			}
		}
	}
	return true
}

// Rights is the sum of what all who are alive may have in hand, and what the
// bank has free.
func (f *Fleet) Rights() (held, free uint64) {
	for _, n := range f.nodes {
		if !n.dead {
			held += n.m.Rights()
		}
	}
	return held, f.bank.Free
}
