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
	Members         int
	Capacity        uint64 // the budget: what all may have in hand together
	Seed            uint64
	RoundInterval   time.Duration // between two rounds of gossip
	Fanout          int           // members that each talks to in a round
	MaxMessageBytes int           // of one message at most
	LossRate        float64       // share of messages lost
	DuplicateRate   float64       // share that arrives twice
	DelayRate       float64       // share that arrives some rounds later
	Timing          quota.Timing
	MaxClockDrift   float64 // clocks run fast or slow by up to this much, drawn for each
	Load            float64 // what all want together, as a share of Total
	Skew            float64 // a member's want goes with its rank to the power of -Skew
	ReshuffleRounds int     // rounds after which other members want most; 0 for never
}

// maxRepeatedDeltas is how many items a message repeats at most.
const maxRepeatedDeltas = 32

// maxDelayRounds is how late a late message is at most.
const maxDelayRounds = 20

// node is one member's place.
type node struct {
	member          *quota.Member
	id              quota.ID
	partition       int // of a partition
	paused          bool
	pausedLastRound bool // paused for longer than anything is in hand
	dead            bool
	clockRate       float64
	clockOffset     time.Duration
	demand          uint64
	inUse           uint64 // in hand at the dependency, whatever the member itself knows
	queue           []*queuedDelta
	queued          map[quota.ID]*queuedDelta // what is in the queue
	repeatOrder     []quota.ID                // whose items it sends when it has nothing new, in turn
	repeatNext      int
	sentBytes       int
	refused         uint64
}

// queuedDelta is a piece of news on its way out.
type queuedDelta struct {
	delta     quota.Delta
	size      int
	sendsLeft int // times that it is still sent
}

// message is a message on its way.
type message struct {
	to        int
	partition int
	deltas    []quota.Delta
	request   *quota.TransferRequest
}

// Fleet is a fleet at work.
type Fleet struct {
	config       Config
	rng          *rand.Rand
	now          time.Duration
	round        int
	nodes        []*node
	allocator    *quota.Allocator
	logIndex     uint64
	leader       *quota.AllocatorLeader
	leaderNode   int // place of the keeper's node
	delayed      map[int][]message
	stateSizes   map[*quota.MemberState]int // sizes on the wire
	accountSizes map[*quota.Account]int
	incarnations int
	maxOvershoot int64 // most that was in hand beyond Total
}

// New makes a fleet whose members know nobody but by the names of all.
func New(c Config) (*Fleet, error) {
	f := &Fleet{config: c, rng: rand.New(rand.NewPCG(c.Seed, 17)), allocator: quota.NewAllocator(c.Capacity), delayed: map[int][]message{},
		stateSizes: map[*quota.MemberState]int{}, accountSizes: map[*quota.Account]int{}, maxOvershoot: math.MinInt64}
	for i := range c.Members {
		n := &node{clockRate: 1 + c.MaxClockDrift*(2*f.rng.Float64()-1), clockOffset: time.Duration(f.rng.Int64N(int64(time.Hour)))}
		f.nodes = append(f.nodes, n)
		if err := f.start(i); err != nil {
			return nil, err
		}
	}
	f.ElectLeader(0)
	f.drawDemands()
	return f, nil
}

// start begins a new life of a member.
func (f *Fleet) start(i int) error {
	f.incarnations++
	n := f.nodes[i]
	n.id = quota.ID{Member: fmt.Sprint("n", i), Incarnation: uint64(f.incarnations)}
	m, err := quota.NewMember(n.id, f.config.Timing, rand.New(rand.NewPCG(f.config.Seed, uint64(f.incarnations))))
	if err != nil {
		return err
	}
	n.member, n.dead, n.paused, n.queue, n.repeatOrder, n.repeatNext = m, false, false, nil, nil, 0
	n.queued = map[quota.ID]*queuedDelta{}
	return nil
}

// drawDemands draws who wants how much.
func (f *Fleet) drawDemands() {
	weights, sum := make([]float64, len(f.nodes)), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -f.config.Skew)
		sum += weights[i]
	}
	f.rng.Shuffle(len(weights), func(i, j int) { weights[i], weights[j] = weights[j], weights[i] })
	for i, n := range f.nodes {
		n.demand = uint64(weights[i]/sum*f.config.Load*float64(f.config.Capacity) + 0.5)
	}
}

// ElectLeader hands the bank to a member's keeper, which comes into office now. It is
// the log that makes sure that there is one only, and that it hears a majority:
// ElectLeader refuses a member that does not, and leaves the bank without a keeper.
func (f *Fleet) ElectLeader(i int) bool {
	near := 0
	for _, n := range f.nodes {
		if !n.dead && !n.paused && n.partition == f.nodes[i].partition {
			near++
		}
	}
	if f.leaderNode = -1; 2*near <= len(f.nodes) || f.nodes[i].dead || f.nodes[i].paused {
		return false
	}
	f.leaderNode = i
	f.leader = quota.NewAllocatorLeader(f.config.Capacity, f.config.Timing, f.clock(f.nodes[i]))
	for id, a := range f.allocator.Accounts { // the log has told it
		f.merge(f.nodes[i], quota.Delta{ID: id, Account: a})
	}
	return true
}

// Partition puts members into groups that don't hear each other.
func (f *Fleet) Partition(group func(i int) int) {
	for i, n := range f.nodes {
		n.partition = group(i)
	}
}

// Pause stops members, or lets them go on.
func (f *Fleet) Pause(i int, on bool) { f.nodes[i].paused = on }

// Kill ends a member's process; what it had in hand ends with it.
func (f *Fleet) Kill(i int) { f.nodes[i].dead, f.nodes[i].inUse = true, 0 }

// Restart begins a new life of a member that was killed, under its old name.
func (f *Fleet) Restart(i int) error { return f.start(i) }

func (f *Fleet) clock(n *node) time.Duration {
	return n.clockOffset + time.Duration(float64(f.now)*n.clockRate)
}

// merge has a member take an item in, and pass on what was news.
func (f *Fleet) merge(n *node, i quota.Delta) {
	if news, ok := n.member.Merge(i); ok {
		f.enqueue(n, news)
	}
}

// enqueue queues news, in place of older news of the same ID.
func (f *Fleet) enqueue(n *node, i quota.Delta) {
	times := int(math.Ceil(3*math.Log10(float64(len(f.nodes)+1)))) / f.config.Fanout * f.config.Fanout
	times = max(times, f.config.Fanout)
	q := n.queued[i.ID]
	if q == nil {
		q = &queuedDelta{i, f.size(i), times}
		n.queue, n.queued[i.ID] = append(n.queue, q), q
		return
	}
	if i.MemberState == nil {
		i.MemberState = q.delta.MemberState
	}
	if i.Account == nil {
		i.Account = q.delta.Account
	}
	*q = queuedDelta{i, f.size(i), times}
}

// maxCachedSizes is how many sizes are remembered: they keep what they are of alive.
const maxCachedSizes = 1 << 15

// size is an item's length on the wire.
func (f *Fleet) size(i quota.Delta) int {
	return 8 + len(i.ID.Member) + sizeOf(f.stateSizes, i.MemberState) + sizeOf(f.accountSizes, i.Account)
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
		if len(known) >= maxCachedSizes {
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
	f.now += f.config.RoundInterval
	if f.config.ReshuffleRounds > 0 && f.round%f.config.ReshuffleRounds == 0 {
		f.drawDemands()
	}
	for _, l := range f.delayed[f.round] {
		f.deliver(l)
	}
	delete(f.delayed, f.round)
	f.runWorkload()
	for i, n := range f.nodes {
		if n.dead || n.paused {
			continue
		}
		if n.member.Fenced() { // the fleet gave it up: it begins anew
			n.inUse = 0
			if err := f.start(i); err != nil {
				panic(err) // the timing was right before
			}
		}
		said := n.member.Tick(f.clock(n))
		if said.Broadcast != nil {
			f.enqueue(n, *said.Broadcast)
			f.sendDelta(n, f.leaderNode, *said.Broadcast) // the keeper hears beats soon
		}
		for _, g := range said.Transfers {
			f.sendDelta(n, f.indexOf(g.To), g.Delta)
		}
		if said.Request != nil {
			for k := range quota.RequestFanout {
				to := f.rng.IntN(len(f.nodes))
				if k < len(said.RequestTo) {
					to = f.indexOf(said.RequestTo[k])
				}
				if to >= 0 && to != i {
					n.sentBytes += requestBytes
					f.transmit(message{to: to, partition: n.partition, request: said.Request})
				}
			}
		}
		if i == f.leaderNode {
			f.tickLeader(n)
		}
	}
	for _, i := range f.rng.Perm(len(f.nodes)) {
		if n := f.nodes[i]; !n.dead && !n.paused {
			for range f.config.Fanout {
				f.gossip(i, n)
			}
		}
	}
}

// requestBytes is about what an Ask takes on the wire.
const requestBytes = 64

// sendDelta has a member say something to one other alone.
func (f *Fleet) sendDelta(n *node, to int, i quota.Delta) {
	if to < 0 || f.nodes[to] == n {
		return
	}
	n.sentBytes += f.size(i)
	f.transmit(message{to: to, partition: n.partition, deltas: []quota.Delta{i}})
}

// tickLeader has the keeper decide; its orders come to the bank at once.
func (f *Fleet) tickLeader(n *node) {
	orders, acks := f.leader.Tick(f.clock(n), n.member.State(), f.allocator)
	for _, a := range acks {
		f.merge(n, a)
		f.sendDelta(n, f.indexOf(a.ID), a)
	}
	for _, o := range orders {
		f.logIndex++
		items, err := f.allocator.Apply(o, f.logIndex)
		if err != nil {
			continue // it comes again if it is still called for
		}
		for _, i := range items {
			if f.merge(n, i); !i.Account.Fenced {
				f.sendDelta(n, f.indexOf(i.ID), i)
			}
		}
	}
}

// runWorkload ends what was in hand and takes as much as each wants; then it counts.
func (f *Fleet) runWorkload() {
	var used uint64
	for _, n := range f.nodes {
		held := n.inUse
		n.inUse = 0
		if n.paused && !n.pausedLastRound { // what it had in hand goes on for its time
			n.inUse = held
		}
		n.pausedLastRound = n.paused
		if !n.dead && !n.paused {
			for range n.member.InUse() {
				n.member.Release()
			}
			for range n.demand {
				if n.member.TryAcquire(f.clock(n)) {
					n.inUse++
				} else {
					n.refused++
				}
			}
		}
		used += n.inUse
	}
	f.maxOvershoot = max(f.maxOvershoot, int64(used)-int64(f.config.Capacity))
}

// gossip has a member send one message to another.
func (f *Fleet) gossip(from int, n *node) {
	to := f.rng.IntN(len(f.nodes))
	if to == from {
		return
	}
	l := message{to: to, partition: n.partition}
	room := f.config.MaxMessageBytes
	for sent := 0; sent < len(n.queue) && (sent == 0 || n.queue[sent].size <= room-f.config.MaxMessageBytes/4); sent++ {
		l.deltas = append(l.deltas, n.queue[sent].delta)
		room -= n.queue[sent].size
		n.queue[sent].sendsLeft--
	}
	sent := len(l.deltas)
	rest := n.queue[sent:]
	for _, q := range n.queue[:sent] { // what was sent goes behind
		if q.sendsLeft > 0 {
			rest = append(rest, q)
		} else {
			delete(n.queued, q.delta.ID)
		}
	}
	n.queue = rest
	f.fillWithKnown(n, &l, room)
	for _, i := range l.deltas {
		n.sentBytes += f.size(i)
	}
	f.transmit(l)
}

// indexOf finds where a life is, -1 if it is over.
func (f *Fleet) indexOf(id quota.ID) int {
	var i int
	if _, err := fmt.Sscanf(id.Member, "n%d", &i); err != nil || f.nodes[i].id != id {
		return -1
	}
	return i
}

// transmit has a message arrive, or what else becomes of it.
func (f *Fleet) transmit(l message) {
	switch p := f.rng.Float64(); {
	case p < f.config.LossRate:
	case p < f.config.LossRate+f.config.DuplicateRate:
		f.deliver(l)
		f.delay(l)
	case p < f.config.LossRate+f.config.DuplicateRate+f.config.DelayRate:
		f.delay(l)
	default:
		f.deliver(l)
	}
}

// fillWithKnown fills the rest of a message, a quarter at least, with what a member
// knows, in turn: what was lost, or missed in a partition, comes so.
func (f *Fleet) fillWithKnown(n *node, l *message, room int) {
	s := n.member.State()
	for range maxRepeatedDeltas {
		if n.repeatNext >= len(n.repeatOrder) {
			n.repeatNext, n.repeatOrder = 0, n.repeatOrder[:0]
			for id := range s.Members {
				n.repeatOrder = append(n.repeatOrder, id)
			}
			for id := range s.Accounts {
				if s.Members[id] == nil {
					n.repeatOrder = append(n.repeatOrder, id)
				}
			}
			slices.SortFunc(n.repeatOrder, func(a, b quota.ID) int { return int(a.Incarnation) - int(b.Incarnation) })
			if len(n.repeatOrder) == 0 {
				return
			}
			f.rng.Shuffle(len(n.repeatOrder), func(i, j int) { n.repeatOrder[i], n.repeatOrder[j] = n.repeatOrder[j], n.repeatOrder[i] })
		}
		id := n.repeatOrder[n.repeatNext]
		i := quota.Delta{ID: id, MemberState: s.Members[id], Account: s.Accounts[id]}
		size := f.size(i)
		if size > room && len(l.deltas) > 0 {
			return
		}
		room -= size
		l.deltas = append(l.deltas, i)
		n.repeatNext++
	}
}

func (f *Fleet) delay(l message) {
	at := f.round + 1 + f.rng.IntN(maxDelayRounds)
	f.delayed[at] = append(f.delayed[at], l)
}

func (f *Fleet) deliver(l message) {
	n := f.nodes[l.to]
	if n.dead || n.paused || n.partition != l.partition {
		return
	}
	for _, i := range l.deltas {
		f.merge(n, i)
	}
	if l.request != nil {
		n.member.HandleRequest(*l.request)
	}
}

// Overshoot is the most that all had in hand beyond the budget so far; below
// zero where the budget was never used up.
func (f *Fleet) Overshoot() int64 { return f.maxOvershoot }

// Served is what all have in hand now, and what they want, at most Total.
func (f *Fleet) Served() (used, want uint64) {
	for _, n := range f.nodes {
		if !n.dead && !n.paused {
			used += n.inUse
			want += n.demand
		}
	}
	return used, min(want, f.config.Capacity)
}

// MeanSentBytes is what each member sent so far, in the mean.
func (f *Fleet) MeanSentBytes() float64 {
	sum := 0
	for _, n := range f.nodes {
		sum += n.sentBytes
	}
	return float64(sum) / float64(len(f.nodes))
}

// LatestHeartbeats is what is known of each life by anybody who is alive: to ask later
// whether all know as much.
func (f *Fleet) LatestHeartbeats() map[quota.ID]uint64 {
	marks := map[quota.ID]uint64{}
	for _, n := range f.nodes {
		if n.dead || n.paused {
			continue
		}
		for id, r := range n.member.State().Members {
			marks[id] = max(marks[id], r.Heartbeat)
		}
	}
	return marks
}

// Converged tells whether all who are alive know as much as the marks say.
func (f *Fleet) Converged(marks map[quota.ID]uint64) bool {
	for _, n := range f.nodes {
		if n.dead || n.paused {
			continue
		}
		rows := n.member.State().Members
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
			held += n.member.Rights()
		}
	}
	return held, f.allocator.Free
}
