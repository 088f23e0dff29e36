package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"net/http"
	"time"

	"quincerail.example/quincerail/fleet/consensus"
	"quincerail.example/quincerail/fleet/gossip"
	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/fleet/quota"
	"quincerail.example/quincerail/fleet/rafttransport"
)

// leaveWithin is how long a member that ends waits for its leave to spread.
const leaveWithin = 300 * time.Millisecond

// Fleet is this process's membership.
type Fleet struct {
	conf    Config
	log     *slog.Logger
	self    lease.Owner
	board   *board
	budgets map[string]*Budget // those that the fleet has
	changes *changes
	members *gossip.Membership
	stop    context.CancelFunc
	joined  chan struct{} // closed when there are members to tell
	worked  chan struct{} // closed when the worker has ended
	shared  chan struct{} // closed when the budgets are no longer kept
	changed chan struct{} // closed when no change is driven any more

	// Of a voter; nil in other members.
	machine   *machine
	node      *consensus.Node
	transport *rafttransport.Transport
}

// Stats are a member's counts.
type Stats struct {
	Alive    int   // members that are thought to be alive, this one too
	Owner    bool  // of the lease Registry
	Messages int64 // sent to other members, voters' among them
	Bytes    int64 // likewise
	Stale    int   // pieces of fleet work refused for their token
	State    State // of the shared dependency, as this member knows
	Budgets  map[string]BudgetStats
}

// BudgetStats are a member's part of one budget.
type BudgetStats struct {
	Rights int // that this member may have in hand
	InHand int // of them used
	Free   int // that nobody holds, as a voter's log says; 0 at other members
}

// Start joins the fleet. Others need not be up yet.
func Start(c Config) (*Fleet, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	f := &Fleet{conf: c, log: c.Logger, joined: make(chan struct{}), worked: make(chan struct{}), shared: make(chan struct{}),
		changed: make(chan struct{})}
	if f.log == nil {
		f.log = slog.Default()
	}
	f.self = lease.Owner{Member: c.Self, Incarnation: newLife()}
	fence := &lease.Fence{}
	f.board = &board{log: f.log, fence: fence, latest: map[string]Judgement{}, fresh: 5*c.ProbeEvery + 2*c.Term}
	began := time.Now()
	clock := func() time.Duration { return time.Duration(float64(time.Since(began)) * c.ClockRate) }
	f.budgets = map[string]*Budget{}
	for _, b := range []struct {
		kind  string
		news  byte
		ask   byte
		total uint64
	}{{Calls, newsCalls, newsAskCalls, c.Budget}, {Repeats, newsRepeats, newsAskRepeats, c.Repeats}} {
		if b.total > 0 {
			var err error
			if f.budgets[b.kind], err = newBudget(b.kind, b.news, b.ask, b.total, c.horizon(), f, clock); err != nil {
				return nil, err
			}
		}
	}
	f.changes = newChanges(f)
	raft := ""
	if c.Role == Voter {
		if err := f.startVoter(fence, clock); err != nil {
			return nil, err
		}
		raft = f.transport.Addr().String()
		f.changes.machine, f.changes.node = f.machine, f.node
	}
	var err error
	if f.members, err = gossip.Start(gossip.Options{Fleet: c.Fleet, Self: c.Self, Listen: c.Gossip, Seeds: c.Seeds,
		Role: string(c.Role), Delegate: news{f}, Logger: f.log}); err != nil {
		f.stopVoter()
		return nil, err
	}
	f.changes.send, f.changes.stream = f.members.Send, f.members.SendReliable
	close(f.joined)
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	go f.work(ctx)
	go f.share(ctx)
	go func() {
		defer close(f.changed)
		if c.Window > 0 {
			f.changes.run(ctx)
		}
	}()
	f.log.Info("fleet", "name", c.Self, "role", string(c.Role), "raft", raft, "gossip", f.members.Addr())
	return f, nil
}

func (f *Fleet) startVoter(fence *lease.Fence, clock func() time.Duration) error {
	wanted := []string{Registry}
	if len(f.budgets) > 0 {
		wanted = append(wanted, Bank)
	}
	if f.conf.Window > 0 {
		wanted = append(wanted, Rollout)
	}
	member, err := lease.NewClient(f.self, f.conf.timing(), wanted)
	if err != nil {
		return err
	}
	f.machine = &machine{log: f.log, fence: fence, member: member, moved: make(chan struct{}, 1), clock: clock,
		asked: map[uint64]chan error{}, banks: map[string]*quota.Allocator{}, changed: func(of string, accounts []quota.Delta) { f.budgets[of].changed(accounts) }}
	for kind, b := range f.budgets {
		f.machine.banks[kind] = quota.NewAllocator(b.total)
	}
	peers := maps.Clone(f.conf.Voters)
	delete(peers, f.conf.Self)
	ready := make(chan struct{})
	f.transport, err = rafttransport.Listen(rafttransport.Options{Fleet: f.conf.Fleet, Self: f.conf.Self, Listen: f.conf.Raft, Peers: peers, Logger: f.log,
		Receive: func(b []byte) {
			if <-ready; f.node != nil { // nil where it did not start
				f.node.Receive(b)
			}
		}})
	if err != nil {
		return err
	}
	defer close(ready)
	f.node, err = consensus.Start(consensus.Options{Self: f.conf.Self, Voters: f.conf.Voters, Join: f.conf.Join, OnMembershipChange: f.reach,
		ElectionTimeout: f.conf.Election, Dir: f.conf.Dir, StateMachine: f.machine, Send: f.transport.Send, Logger: f.log})
	if err != nil {
		go f.transport.Close()
		return err
	}
	return nil
}

// reach has the voters be reached that the log has, by the addresses of this
// process's own file where that names them.
func (f *Fleet) reach(voters []consensus.Voter) {
	peers := map[string]string{}
	for _, v := range voters {
		peers[v.Name] = cmp.Or(f.conf.Voters[v.Name], v.Address)
	}
	f.transport.SetPeers(peers)
}

// The kinds of news, as a piece's first byte.
const (
	newsJudgement = 'j'
	newsCalls     = 'c'
	newsRepeats   = 'r'

	// These go to one member each, and are not passed on.
	newsAskCalls   = 'C'
	newsAskRepeats = 'R'
	newsReport     = 'p' // of a member to a voter
	newsDirection  = 'd' // of the owner of Rollout to a member
)

// news is what the members tell each other: gossip.Delegate.
type news struct{ f *Fleet }

// MergeUpdate implements gossip.Delegate.
func (n news) MergeUpdate(piece []byte) (about string, isNews bool) {
	if len(piece) == 0 {
		return "", false
	}
	switch piece[0] {
	case newsJudgement:
		return n.f.board.heard(piece[1:])
	case newsReport:
		n.f.changes.heardReport(piece[1:])
	case newsDirection:
		n.f.changes.heardDirection(piece[1:])
	}
	for _, b := range n.f.budgets {
		switch piece[0] {
		case b.news:
			return b.heard(piece[1:])
		case b.ask:
			b.heardAsk(piece[1:])
		}
	}
	return "", false
}

// KnownUpdates implements gossip.Delegate.
func (n news) KnownUpdates() (out [][]byte) {
	for _, p := range n.f.board.pieces() {
		out = append(out, append([]byte{newsJudgement}, p...))
	}
	for _, b := range n.f.budgets {
		out = append(out, b.latest()...)
	}
	return out
}

// tell spreads a piece of news, once there is anybody to tell.
func (f *Fleet) tell(about string, piece []byte) {
	select {
	case <-f.joined:
		f.members.Broadcast(about, piece)
	default: // it comes by KnownUpdates
	}
}

// send gives a piece of news to one member only, once, if it arrives.
func (f *Fleet) send(to string, piece []byte) {
	select {
	case <-f.joined:
		f.members.Send(to, piece)
	default:
	}
}

// alive names the members that are thought to be alive, voters those of them
// that vote; none before this one has joined.
func (f *Fleet) alive() []string {
	select {
	case <-f.joined:
		return f.members.Alive()
	default:
		return nil
	}
}

func (f *Fleet) voters() []string {
	select {
	case <-f.joined:
		return f.members.AliveWithRole(string(Voter))
	default:
		return nil
	}
}

// Budget is this member's part of one of the fleet's budgets, nil where there is
// none of that kind.
func (f *Fleet) Budget(kind string) *Budget { return f.budgets[kind] }

// Repeat takes one of the repeats of calls that the fleet may make; false where
// none is left here for now. A fleet without such a budget has no bound.
func (f *Fleet) Repeat() bool {
	b := f.budgets[Repeats]
	if b == nil {
		return true
	}
	put, ok := b.Take()
	if ok {
		time.AfterFunc(f.conf.repeatHold(), put)
	}
	return ok
}

// share keeps this member's part of the budgets.
func (f *Fleet) share(ctx context.Context) {
	defer close(f.shared)
	if len(f.budgets) == 0 {
		return
	}
	ticker := time.NewTicker(budgetTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, b := range f.budgets {
			if orders := b.tick(f.machine); len(orders) > 0 {
				f.node.RunInLoop(func() [][]byte { return orders })
			}
		}
	}
}

// Owner tells whether this process may act as the owner of a lease now, and
// under which token. It is to be asked right before each act, and the token to
// go with the act.
func (f *Fleet) Owner(name string) (lease.Token, bool) {
	if f.machine == nil {
		return lease.Token{}, false
	}
	return f.machine.holds(name)
}

// Judgement is the latest word on the shared dependency that this member has;
// its State is Unknown where there was none for five probes and two terms.
func (f *Fleet) Judgement() Judgement { return f.board.judgement() }

// Stats counts.
func (f *Fleet) Stats() Stats {
	s := Stats{Alive: len(f.members.Alive()), State: f.Judgement().State}
	_, s.Owner = f.Owner(Registry)
	s.Messages, s.Bytes = f.members.Sent()
	if f.transport != nil {
		messages, bytes := f.transport.Sent()
		s.Messages, s.Bytes = s.Messages+messages, s.Bytes+bytes
	}
	s.Budgets = map[string]BudgetStats{}
	for kind, b := range f.budgets {
		rights, used := b.Rights()
		s.Budgets[kind] = BudgetStats{int(rights), int(used), f.machine.free(kind)}
	}
	f.board.mu.Lock()
	defer f.board.mu.Unlock()
	s.Stale = f.board.stale
	return s
}

// work probes and publishes while this process owns the lease.
func (f *Fleet) work(ctx context.Context) {
	defer close(f.worked)
	client := &http.Client{Timeout: f.conf.Term}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(f.conf.ProbeEvery)
	defer ticker.Stop()
	var moved <-chan struct{}
	if f.machine != nil {
		moved = f.machine.moved
	}
	var held lease.Token
	for seq := uint64(1); ; seq++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-moved: // a new owner begins at once
		}
		token, ok := f.Owner(Registry)
		if held != (lease.Token{}) && (!ok || token != held) {
			f.log.Warn("lease_lapsed", "lease", Registry, "token", held.String())
		}
		if held = token; !ok {
			held = lease.Token{}
			continue
		}
		state, took := probe(ctx, f.conf.Probe, f.conf.Slow)
		if now, ok := f.Owner(Registry); !ok || now != token { // it ran out meanwhile
			continue
		}
		f.publish(ctx, client, Judgement{Lease: Registry, Token: token, Seq: seq, By: f.conf.Self, State: state, Took: took})
	}
}

func (f *Fleet) publish(ctx context.Context, client *http.Client, j Judgement) {
	piece, err := json.Marshal(j)
	if err != nil {
		f.log.Error("fleet_publish_failed", "error", err.Error())
		return
	}
	f.board.heard(piece)
	f.members.Broadcast(j.Lease, append([]byte{newsJudgement}, piece...))
	if f.conf.Publish == "" {
		return
	}
	if err := put(ctx, client, f.conf.Publish, j); err != nil && ctx.Err() == nil {
		f.log.Warn("fleet_publish_failed", "token", j.Token.String(), "error", err.Error())
	}
}

// Stop gives up what this process owns, hands leadership on, takes leave, and
// ends. It takes no longer than within, and a little.
func (f *Fleet) Stop(within time.Duration) {
	f.stop()
	<-f.worked
	<-f.shared
	<-f.changed
	if f.machine != nil {
		until := time.Now().Add(within)
		f.node.RunInLoop(f.machine.retire)
		for f.machine.owns(f.self) && time.Now().Before(until) {
			select {
			case <-f.machine.moved:
			case <-time.After(f.conf.Election / 10):
			case <-f.node.Done():
				until = time.Time{}
			}
		}
		f.node.TransferLeadership()
		f.node.RunInLoop(func() [][]byte { return nil }) // the transfer of leadership has been sent
	}
	if err := f.members.Stop(leaveWithin); err != nil {
		f.log.Debug("fleet_leave", "error", err.Error())
	}
	f.stopVoter()
}

func (f *Fleet) stopVoter() {
	if f.machine == nil {
		return
	}
	if err := f.node.Stop(); err != nil {
		f.log.Warn("fleet_voter_stopped", "error", err.Error())
	}
	f.transport.Close()
}
