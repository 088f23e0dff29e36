package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"quincerail.example/quincerail/fleet/quota"
)

// noNode is the index of no node.
const noNode = -1

// Fleet is a fleet at work.
type Fleet struct {
	config       Config
	rng          *rand.Rand
	now          time.Duration
	round        int
	nodes        []*node
	incarnations int // started so far, of all members
	allocator    *quota.Allocator
	logIndex     uint64
	leader       *quota.AllocatorLeader
	leaderNode   int               // noNode for none
	delayed      map[int][]message // by the round in which they arrive
	stateSizes   map[*quota.MemberState]int
	accountSizes map[*quota.Account]int
	maxOvershoot int64
}

// node is the place of one member.
type node struct {
	member          *quota.Member
	id              quota.ID
	partition       int
	paused          bool
	pausedLastRound bool
	dead            bool
	clockRate       float64
	clockOffset     time.Duration
	demand          uint64
	inUse           uint64 // at the dependency, whatever the member itself knows
	queue           []*queuedDelta
	queued          map[quota.ID]*queuedDelta // those in queue
	repeatOrder     []quota.ID                // whose deltas fill the rest of its messages, in turn
	repeatNext      int                       // index in repeatOrder
	sentBytes       int
}

// running reports whether the node runs: it is neither dead nor paused.
func (n *node) running() bool { return !n.dead && !n.paused }

// New makes a fleet whose members know nothing but each other's names.
func New(c Config) (*Fleet, error) {
	f := &Fleet{
		config: c, rng: rand.New(rand.NewPCG(c.Seed, 17)), allocator: quota.NewAllocator(c.Capacity),
		delayed: map[int][]message{}, stateSizes: map[*quota.MemberState]int{}, accountSizes: map[*quota.Account]int{},
		maxOvershoot: math.MinInt64,
	}
	for i := range c.Members {
		drift := c.MaxClockDrift * (2*f.rng.Float64() - 1)
		f.nodes = append(f.nodes, &node{clockRate: 1 + drift, clockOffset: time.Duration(f.rng.Int64N(int64(time.Hour)))})
		if err := f.start(i); err != nil {
			return nil, err
		}
	}
	f.ElectLeader(0)
	f.drawDemands()
	return f, nil
}

// start begins a new incarnation of a member.
func (f *Fleet) start(i int) error {
	f.incarnations++
	incarnation := uint64(f.incarnations)
	n := f.nodes[i]
	n.id = quota.ID{Member: fmt.Sprint("n", i), Incarnation: incarnation}
	member, err := quota.NewMember(n.id, f.config.Timing, rand.New(rand.NewPCG(f.config.Seed, incarnation)))
	if err != nil {
		return err
	}
	n.member, n.dead, n.paused = member, false, false
	n.queue, n.queued = nil, map[quota.ID]*queuedDelta{}
	n.repeatOrder, n.repeatNext = nil, 0
	return nil
}

// Step plays one round.
func (f *Fleet) Step() {
	f.round++
	f.now += f.config.RoundInterval
	if f.config.ReshuffleRounds > 0 && f.round%f.config.ReshuffleRounds == 0 {
		f.drawDemands()
	}
	f.deliverDelayed()
	f.runWorkload()
	for i, n := range f.nodes {
		if n.running() {
			f.tick(i, n)
		}
	}
	for _, i := range f.rng.Perm(len(f.nodes)) {
		if n := f.nodes[i]; n.running() {
			for range f.config.Fanout {
				f.gossip(i, n)
			}
		}
	}
}

// tick has a member send its messages; one that was fenced goes on as a new
// incarnation.
func (f *Fleet) tick(i int, n *node) {
	if n.member.Fenced() {
		n.inUse = 0
		if err := f.start(i); err != nil {
			panic(err) // the timing was valid before
		}
	}
	messages := n.member.Tick(f.clock(n))
	if messages.Broadcast != nil {
		f.enqueue(n, *messages.Broadcast)
		f.sendDelta(n, f.leaderNode, *messages.Broadcast)
	}
	for _, transfer := range messages.Transfers {
		f.sendDelta(n, f.indexOf(transfer.To), transfer.Delta)
	}
	if messages.Request != nil {
		f.sendRequest(i, n, messages)
	}
	if i == f.leaderNode {
		f.tickLeader(n)
	}
}

// ElectLeader runs the allocator's leader on a member from now on. In a fleet the
// log makes sure that there is only one, which hears a majority: ElectLeader
// refuses a member that does not, and leaves the allocator without a leader.
func (f *Fleet) ElectLeader(i int) bool {
	candidate := f.nodes[i]
	connected := 0
	for _, n := range f.nodes {
		if n.running() && n.partition == candidate.partition {
			connected++
		}
	}
	if 2*connected <= len(f.nodes) || !candidate.running() {
		f.leaderNode = noNode
		return false
	}
	f.leaderNode = i
	f.leader = quota.NewAllocatorLeader(f.config.Capacity, f.config.Timing, f.clock(candidate))
	for _, id := range slices.SortedFunc(maps.Keys(f.allocator.Accounts), byIncarnation) { // which it has from the log
		f.merge(candidate, quota.Delta{ID: id, Account: f.allocator.Accounts[id]})
	}
	return true
}

// tickLeader ticks the allocator's leader, and applies its commands at once.
func (f *Fleet) tickLeader(n *node) {
	commands, acks := f.leader.Tick(f.clock(n), n.member.State(), f.allocator)
	for _, ack := range acks {
		f.merge(n, ack)
		f.sendDelta(n, f.indexOf(ack.ID), ack)
	}
	for _, command := range commands {
		f.logIndex++
		changed, err := f.allocator.Apply(command, f.logIndex)
		if err != nil {
			continue // it is proposed again while it is called for
		}
		for _, delta := range changed {
			f.merge(n, delta)
			if !delta.Account.Fenced {
				f.sendDelta(n, f.indexOf(delta.ID), delta)
			}
		}
	}
}

// merge has a member take in a delta, and queue for others what was new.
func (f *Fleet) merge(n *node, d quota.Delta) {
	if forward, ok := n.member.Merge(d); ok {
		f.enqueue(n, forward)
	}
}

// clock returns the time by the node's own clock.
func (f *Fleet) clock(n *node) time.Duration {
	return n.clockOffset + time.Duration(float64(f.now)*n.clockRate)
}

// indexOf returns the node that runs an incarnation, noNode if none does any more.
func (f *Fleet) indexOf(id quota.ID) int {
	var i int
	if _, err := fmt.Sscanf(id.Member, "n%d", &i); err != nil || f.nodes[i].id != id {
		return noNode
	}
	return i
}

// byIncarnation orders IDs, so that a seed gives one order: an incarnation is that
// of one member only.
func byIncarnation(a, b quota.ID) int { return cmp.Compare(a.Incarnation, b.Incarnation) }
