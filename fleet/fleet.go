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

// leaveTimeout is how long a member that ends waits for its leave to spread.
const leaveTimeout = 300 * time.Millisecond

// Fleet is this process's membership.
type Fleet struct {
	config            Config
	log               *slog.Logger
	self              lease.Owner
	healthView        *healthView
	quotaAgents       map[string]*QuotaAgent // those that the fleet has
	rolloutDriver     *rolloutDriver
	membership        *gossip.Membership
	cancel            context.CancelFunc
	gossipStarted     chan struct{} // closed when there are members to tell
	healthCheckerDone chan struct{} // closed when the worker has ended
	quotaDone         chan struct{} // closed when the budgets are no longer kept
	rolloutDone       chan struct{} // closed when no change is driven any more

	// Of a voter; nil in other members.
	stateMachine *stateMachine
	node         *consensus.Node
	transport    *rafttransport.Transport
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
	f := &Fleet{config: c, log: c.Logger, gossipStarted: make(chan struct{}), healthCheckerDone: make(chan struct{}), quotaDone: make(chan struct{}),
		rolloutDone: make(chan struct{})}
	if f.log == nil {
		f.log = slog.Default()
	}
	f.self = lease.Owner{Member: c.Self, Incarnation: newIncarnation()}
	fence := &lease.Fence{}
	f.healthView = &healthView{log: f.log, fence: fence, latest: map[string]DependencyHealth{}, maxAge: 5*c.ProbeEvery + 2*c.Term}
	began := time.Now()
	clock := func() time.Duration { return time.Duration(float64(time.Since(began)) * c.ClockRate) }
	f.quotaAgents = map[string]*QuotaAgent{}
	for _, b := range []struct {
		kind  string
		news  byte
		ask   byte
		total uint64
	}{{Calls, updateCallsQuota, requestCallsTransfer, c.Budget}, {Repeats, updateRetryQuota, requestRetryTransfer, c.Repeats}} {
		if b.total > 0 {
			var err error
			if f.quotaAgents[b.kind], err = newQuotaAgent(b.kind, b.news, b.ask, b.total, c.horizon(), f, clock); err != nil {
				return nil, err
			}
		}
	}
	f.rolloutDriver = newRolloutDriver(f)
	raft := ""
	if c.Role == Voter {
		if err := f.startVoter(fence, clock); err != nil {
			return nil, err
		}
		raft = f.transport.Addr().String()
		f.rolloutDriver.machine, f.rolloutDriver.node = f.stateMachine, f.node
	}
	var err error
	if f.membership, err = gossip.Start(gossip.Options{Fleet: c.Fleet, Self: c.Self, Listen: c.Gossip, Seeds: c.Seeds,
		Role: string(c.Role), Delegate: delegate{f}, Logger: f.log}); err != nil {
		f.stopVoter()
		return nil, err
	}
	f.rolloutDriver.send, f.rolloutDriver.sendReliable = f.membership.Send, f.membership.SendReliable
	close(f.gossipStarted)
	ctx, stop := context.WithCancel(context.Background())
	f.cancel = stop
	go f.runHealthChecker(ctx)
	go f.runQuotaAgents(ctx)
	go func() {
		defer close(f.rolloutDone)
		if c.Window > 0 {
			f.rolloutDriver.run(ctx)
		}
	}()
	f.log.Info("fleet", "name", c.Self, "role", string(c.Role), "raft", raft, "gossip", f.membership.Addr())
	return f, nil
}

func (f *Fleet) startVoter(fence *lease.Fence, clock func() time.Duration) error {
	wanted := []string{HealthLease}
	if len(f.quotaAgents) > 0 {
		wanted = append(wanted, QuotaLease)
	}
	if f.config.Window > 0 {
		wanted = append(wanted, RolloutLease)
	}
	member, err := lease.NewClient(f.self, f.config.timing(), wanted)
	if err != nil {
		return err
	}
	f.stateMachine = &stateMachine{log: f.log, fence: fence, leaseClient: member, ownerChanged: make(chan struct{}, 1), clock: clock,
		waiters: map[uint64]chan error{}, allocators: map[string]*quota.Allocator{}, onAccountsChanged: func(of string, accounts []quota.Delta) { f.quotaAgents[of].mergeAccounts(accounts) }}
	for kind, b := range f.quotaAgents {
		f.stateMachine.allocators[kind] = quota.NewAllocator(b.total)
	}
	peers := maps.Clone(f.config.Voters)
	delete(peers, f.config.Self)
	ready := make(chan struct{})
	f.transport, err = rafttransport.Listen(rafttransport.Options{Fleet: f.config.Fleet, Self: f.config.Self, Listen: f.config.Raft, Peers: peers, Logger: f.log,
		Receive: func(b []byte) {
			if <-ready; f.node != nil { // nil where it did not start
				f.node.Receive(b)
			}
		}})
	if err != nil {
		return err
	}
	defer close(ready)
	f.node, err = consensus.Start(consensus.Options{Self: f.config.Self, Voters: f.config.Voters, Join: f.config.Join, OnMembershipChange: f.setPeers,
		ElectionTimeout: f.config.Election, Dir: f.config.Dir, StateMachine: f.stateMachine, Send: f.transport.Send, Logger: f.log})
	if err != nil {
		go f.transport.Close()
		return err
	}
	return nil
}

// setPeers has the voters be reached that the log has, by the addresses of this
// process's own file where that names them.
func (f *Fleet) setPeers(voters []consensus.Voter) {
	peers := map[string]string{}
	for _, v := range voters {
		peers[v.Name] = cmp.Or(f.config.Voters[v.Name], v.Address)
	}
	f.transport.SetPeers(peers)
}

// The kinds of news, as a piece's first byte.
const (
	updateHealth     = 'j'
	updateCallsQuota = 'c'
	updateRetryQuota = 'r'

	// These go to one member each, and are not passed on.
	requestCallsTransfer = 'C'
	requestRetryTransfer = 'R'
	messageReport        = 'p' // of a member to a voter
	messageDirective     = 'd' // of the owner of Rollout to a member
)

// delegate is what the members tell each other: gossip.Delegate.
type delegate struct{ f *Fleet }

// MergeUpdate implements gossip.Delegate.
func (n delegate) MergeUpdate(piece []byte) (about string, isNews bool) {
	if len(piece) == 0 {
		return "", false
	}
	switch piece[0] {
	case updateHealth:
		return n.f.healthView.mergeUpdate(piece[1:])
	case messageReport:
		n.f.rolloutDriver.receiveReport(piece[1:])
	case messageDirective:
		n.f.rolloutDriver.receiveDirective(piece[1:])
	}
	for _, b := range n.f.quotaAgents {
		switch piece[0] {
		case b.updateKind:
			return b.mergeUpdate(piece[1:])
		case b.requestKind:
			b.handleRequest(piece[1:])
		}
	}
	return "", false
}

// KnownUpdates implements gossip.Delegate.
func (n delegate) KnownUpdates() (out [][]byte) {
	for _, p := range n.f.healthView.encodedUpdates() {
		out = append(out, append([]byte{updateHealth}, p...))
	}
	for _, b := range n.f.quotaAgents {
		out = append(out, b.encodedUpdates()...)
	}
	return out
}

// broadcast spreads a piece of news, once there is anybody to broadcast.
func (f *Fleet) broadcast(about string, piece []byte) {
	select {
	case <-f.gossipStarted:
		f.membership.Broadcast(about, piece)
	default: // it comes by KnownUpdates
	}
}

// send gives a piece of news to one member only, once, if it arrives.
func (f *Fleet) send(to string, piece []byte) {
	select {
	case <-f.gossipStarted:
		f.membership.Send(to, piece)
	default:
	}
}

// aliveMembers names the members that are thought to be aliveMembers, voters those of them
// that vote; none before this one has joined.
func (f *Fleet) aliveMembers() []string {
	select {
	case <-f.gossipStarted:
		return f.membership.Alive()
	default:
		return nil
	}
}

func (f *Fleet) aliveVoters() []string {
	select {
	case <-f.gossipStarted:
		return f.membership.AliveWithRole(string(Voter))
	default:
		return nil
	}
}

// QuotaAgent is this member's part of one of the fleet's budgets, nil where there is
// none of that kind.
func (f *Fleet) QuotaAgent(kind string) *QuotaAgent { return f.quotaAgents[kind] }

// Repeat takes one of the repeats of calls that the fleet may make; false where
// none is left here for now. A fleet without such a budget has no bound.
func (f *Fleet) Repeat() bool {
	b := f.quotaAgents[Repeats]
	if b == nil {
		return true
	}
	put, ok := b.TryAcquire()
	if ok {
		time.AfterFunc(f.config.repeatHold(), put)
	}
	return ok
}

// runQuotaAgents keeps this member's part of the budgets.
func (f *Fleet) runQuotaAgents(ctx context.Context) {
	defer close(f.quotaDone)
	if len(f.quotaAgents) == 0 {
		return
	}
	ticker := time.NewTicker(quotaTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, b := range f.quotaAgents {
			if orders := b.tick(f.stateMachine); len(orders) > 0 {
				f.node.RunInLoop(func() [][]byte { return orders })
			}
		}
	}
}

// Owner tells whether this process may act as the owner of a lease now, and
// under which token. It is to be asked right before each act, and the token to
// go with the act.
func (f *Fleet) Owner(name string) (lease.Token, bool) {
	if f.stateMachine == nil {
		return lease.Token{}, false
	}
	return f.stateMachine.holds(name)
}

// DependencyHealth is the latest word on the shared dependency that this member has;
// its State is Unknown where there was none for five probes and two terms.
func (f *Fleet) DependencyHealth() DependencyHealth { return f.healthView.current() }

// Stats counts.
func (f *Fleet) Stats() Stats {
	s := Stats{Alive: len(f.membership.Alive()), State: f.DependencyHealth().State}
	_, s.Owner = f.Owner(HealthLease)
	s.Messages, s.Bytes = f.membership.Sent()
	if f.transport != nil {
		messages, bytes := f.transport.Sent()
		s.Messages, s.Bytes = s.Messages+messages, s.Bytes+bytes
	}
	s.Budgets = map[string]BudgetStats{}
	for kind, b := range f.quotaAgents {
		rights, used := b.Usage()
		s.Budgets[kind] = BudgetStats{int(rights), int(used), f.stateMachine.freeRights(kind)}
	}
	f.healthView.mu.Lock()
	defer f.healthView.mu.Unlock()
	s.Stale = f.healthView.stale
	return s
}

// runHealthChecker probes and publishes while this process owns the lease.
func (f *Fleet) runHealthChecker(ctx context.Context) {
	defer close(f.healthCheckerDone)
	client := &http.Client{Timeout: f.config.Term}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(f.config.ProbeEvery)
	defer ticker.Stop()
	var moved <-chan struct{}
	if f.stateMachine != nil {
		moved = f.stateMachine.ownerChanged
	}
	var held lease.Token
	for seq := uint64(1); ; seq++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-moved: // a new owner begins at once
		}
		token, ok := f.Owner(HealthLease)
		if held != (lease.Token{}) && (!ok || token != held) {
			f.log.Warn("lease_lapsed", "lease", HealthLease, "token", held.String())
		}
		if held = token; !ok {
			held = lease.Token{}
			continue
		}
		state, took := probeDependency(ctx, f.config.Probe, f.config.Slow)
		if now, ok := f.Owner(HealthLease); !ok || now != token { // it ran out meanwhile
			continue
		}
		f.publishHealth(ctx, client, DependencyHealth{Lease: HealthLease, Token: token, Seq: seq, By: f.config.Self, State: state, Took: took})
	}
}

func (f *Fleet) publishHealth(ctx context.Context, client *http.Client, j DependencyHealth) {
	piece, err := json.Marshal(j)
	if err != nil {
		f.log.Error("fleet_publish_failed", "error", err.Error())
		return
	}
	f.healthView.mergeUpdate(piece)
	f.membership.Broadcast(j.Lease, append([]byte{updateHealth}, piece...))
	if f.config.Publish == "" {
		return
	}
	if err := publishHealth(ctx, client, f.config.Publish, j); err != nil && ctx.Err() == nil {
		f.log.Warn("fleet_publish_failed", "token", j.Token.String(), "error", err.Error())
	}
}

// Stop gives up what this process owns, hands leadership on, takes leave, and
// ends. It takes no longer than within, and a little.
func (f *Fleet) Stop(within time.Duration) {
	f.cancel()
	<-f.healthCheckerDone
	<-f.quotaDone
	<-f.rolloutDone
	if f.stateMachine != nil {
		until := time.Now().Add(within)
		f.node.RunInLoop(f.stateMachine.resign)
		for f.stateMachine.ownsAnyLease(f.self) && time.Now().Before(until) {
			select {
			case <-f.stateMachine.ownerChanged:
			case <-time.After(f.config.Election / 10):
			case <-f.node.Done():
				until = time.Time{}
			}
		}
		f.node.TransferLeadership()
		f.node.RunInLoop(func() [][]byte { return nil }) // the transfer of leadership has been sent
	}
	if err := f.membership.Stop(leaveTimeout); err != nil {
		f.log.Debug("fleet_leave", "error", err.Error())
	}
	f.stopVoter()
}

func (f *Fleet) stopVoter() {
	if f.stateMachine == nil {
		return
	}
	if err := f.node.Stop(); err != nil {
		f.log.Warn("fleet_voter_stopped", "error", err.Error())
	}
	f.transport.Close()
}
