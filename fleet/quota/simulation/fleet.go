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

// noNode is the node index that stands for no node.
const noNode = -1

// Fleet is a simulated fleet: its members, its allocator with the leader, and the
// messages in transit.
type Fleet struct {
	config       Config
	rng          *rand.Rand
	now          time.Duration
	round        int
	nodes        []*node
	incarnations int // number of incarnations of all members started so far
	allocator    *quota.Allocator
	logIndex     uint64
	leader       *quota.AllocatorLeader
	leaderNode   int               // index of the node that runs leader, noNode for none
	delayed      map[int][]message // by arrival round
	stateSizes   map[*quota.MemberState]int
	accountSizes map[*quota.Account]int
	maxOvershoot int64
}

// node runs one member; its index in Fleet.nodes stays the same for all incarnations.
type node struct {
	member          *quota.Member
	id              quota.ID
	partition       int
	paused          bool
	pausedLastRound bool
	killed          bool
	clockRate       float64
	clockOffset     time.Duration
	demand          uint64
	inUse           uint64 // units in use at the dependency; may differ from member.InUse
	queue           []*queuedDelta
	queued          map[quota.ID]*queuedDelta // the deltas of queue by member
	repeatOrder     []quota.ID                // order in which known deltas fill the rest of its messages
	nextRepeat      int                       // index in repeatOrder
	sentBytes       int
}

// running reports whether the node is neither killed nor paused.
func (n *node) running() bool { return !n.killed && !n.paused }

// New returns a fleet whose members have empty states. They know only each other's
// names.
func New(c Config) (*Fleet, error) {
	f := &Fleet{
		config: c, rng: rand.New(rand.NewPCG(c.Seed, 17)), allocator: quota.NewAllocator(c.Capacity),
		delayed: map[int][]message{}, stateSizes: map[*quota.MemberState]int{}, accountSizes: map[*quota.Account]int{},
		maxOvershoot: math.MinInt64,
	}
	for i := range c.Members {
		drift := float64(c.MaxClockDrift * (2*f.rng.Float64() - 1))
		f.nodes = append(f.nodes, &node{clockRate: 1 + drift, clockOffset: time.Duration(f.rng.Int64N(int64(time.Hour)))})
		if err := f.start(i); err != nil {
			return nil, err
		}
	}
	f.ElectLeader(0)
	f.drawDemands()
	return f, nil
}

// start starts a new incarnation of a member.
func (f *Fleet) start(i int) error {
	f.incarnations++
	incarnation := uint64(f.incarnations)
	n := f.nodes[i]
	n.id = quota.ID{Member: fmt.Sprint("n", i), Incarnation: incarnation}
	member, err := quota.NewMember(n.id, f.config.Timing, rand.New(rand.NewPCG(f.config.Seed, incarnation)))
	if err != nil {
		return err
	}
	n.member, n.killed, n.paused = member, false, false
	n.queue, n.queued = nil, map[quota.ID]*queuedDelta{}
	n.repeatOrder, n.nextRepeat = nil, 0
	return nil
}

// Step runs one round: it advances the time, delivers delayed messages, runs the workload,
// ticks the running members, and lets them gossip. In every ReshuffleRounds-th round it also
// draws new demands, before the deliveries.
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

// tick ticks a member and sends its messages. A fenced member first starts as a new
// incarnation.
func (f *Fleet) tick(i int, n *node) {
	if n.member.Fenced() {
		n.inUse = 0
		if err := f.start(i); err != nil {
			panic(err) // the timing was valid for the first incarnation
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

// ElectLeader makes a member run the allocator's leader. In a real fleet the replicated
// log ensures that there is only one leader, which is connected to a majority. If the
// member is not running or not connected to a majority of the members, ElectLeader
// returns false and the allocator has no leader.
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
	for _, id := range slices.SortedFunc(maps.Keys(f.allocator.Accounts), compareIncarnations) { // known from the log
		f.merge(candidate, quota.Delta{ID: id, Account: f.allocator.Accounts[id]})
	}
	return true
}

// tickLeader ticks the allocator's leader and applies its commands immediately.
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
			continue // the leader proposes it again if it is still needed
		}
		for _, delta := range changed {
			f.merge(n, delta)
			if !delta.Account.Fenced {
				f.sendDelta(n, f.indexOf(delta.ID), delta)
			}
		}
	}
}

// merge merges a delta into a member and queues the part to forward.
func (f *Fleet) merge(n *node, d quota.Delta) {
	if forward, ok := n.member.Merge(d); ok {
		f.enqueue(n, forward)
	}
}

// clock returns the time of the node's own clock.
func (f *Fleet) clock(n *node) time.Duration {
	return n.clockOffset + time.Duration(float64(f.now)*n.clockRate)
}

// indexOf returns the index of the node that runs an incarnation, noNode if none does.
func (f *Fleet) indexOf(id quota.ID) int {
	var i int
	if _, err := fmt.Sscanf(id.Member, "n%d", &i); err != nil || f.nodes[i].id != id {
		return noNode
	}
	return i
}

// compareIncarnations orders IDs, so that a seed determines the order. Incarnation
// numbers are unique in a Fleet.
func compareIncarnations(a, b quota.ID) int { return cmp.Compare(a.Incarnation, b.Incarnation) }
