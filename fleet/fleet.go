package fleet

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"time"

	"quincerail.example/quincerail/fleet/consensus"
	"quincerail.example/quincerail/fleet/gossip"
	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/fleet/rafttransport"
)

// leaveTimeout is how long a member that stops waits for its leave to spread.
const leaveTimeout = 300 * time.Millisecond

// Fleet is this process's membership. Its methods are safe for concurrent use.
type Fleet struct {
	config        Config
	log           *slog.Logger
	self          lease.Owner
	fence         *lease.Fence
	clock         func() time.Duration // that leases and quotas are counted by
	healthView    *healthView
	quotaAgents   map[string]*QuotaAgent // by the name of the quota; those that the fleet has
	rolloutDriver *rolloutDriver
	membership    *gossip.Membership // set before gossipStarted is closed

	cancel            context.CancelFunc // ends the workers
	gossipStarted     chan struct{}      // closed when membership may be used
	healthCheckerDone chan struct{}      // closed when the worker has ended
	quotaDone         chan struct{}      // likewise
	rolloutDone       chan struct{}      // likewise

	// Of a voter; nil in other members.
	stateMachine *stateMachine
	node         *consensus.Node
	transport    *rafttransport.Transport
}

// Stats are a member's counts.
type Stats struct {
	Alive    int   // members that are thought to be alive, this one too
	Owner    bool  // of HealthLease
	Messages int64 // sent to other members, to voters among them
	Bytes    int64 // likewise
	Stale    int   // updates refused for their token
	State    State // of the shared dependency, as this member knows
	Budgets  map[string]BudgetStats
}

// BudgetStats are a member's part of one quota.
type BudgetStats struct {
	Rights int // that this member may have in flight
	InHand int // of them used
	Free   int // that nobody holds, as a voter's log has it; 0 at other members
}

// Start joins the fleet. Others need not run yet.
func Start(config Config) (*Fleet, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	f := newFleet(config)
	if err := f.start(); err != nil {
		f.stopVoter()
		return nil, err
	}
	raftAddress := ""
	if f.transport != nil {
		raftAddress = f.transport.Addr().String()
	}
	f.log.Info(eventFleetJoined, "name", config.Self, "role", string(config.Role), "raft", raftAddress, "gossip", f.membership.Addr())
	return f, nil
}

func newFleet(config Config) *Fleet {
	began := time.Now()
	f := &Fleet{
		config: config,
		log:    cmp.Or(config.Logger, slog.Default()),
		self:   lease.Owner{Member: config.Self, Incarnation: newIncarnation()},
		fence:  &lease.Fence{},
		clock: func() time.Duration {
			return time.Duration(float64(time.Since(began)) * config.ClockRate)
		},
		quotaAgents:       map[string]*QuotaAgent{},
		gossipStarted:     make(chan struct{}),
		healthCheckerDone: make(chan struct{}),
		quotaDone:         make(chan struct{}),
		rolloutDone:       make(chan struct{}),
	}
	f.healthView = newHealthView(f.log, f.fence, config.healthMaxAge())
	return f
}

// newIncarnation draws the number of an incarnation; it is never 0.
func newIncarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails (crypto/rand)
	return binary.BigEndian.Uint64(b[:])>>1 + 1
}

// start starts the units. Where it fails, stopVoter ends what it started.
func (f *Fleet) start() error {
	if err := f.createQuotaAgents(); err != nil {
		return err
	}
	f.rolloutDriver = newRolloutDriver(f)
	if f.config.Role == Voter {
		if err := f.startVoter(); err != nil {
			return err
		}
		f.rolloutDriver.stateMachine, f.rolloutDriver.node = f.stateMachine, f.node
	}
	if err := f.startGossip(); err != nil {
		return err
	}
	f.startWorkers()
	return nil
}

func (f *Fleet) startGossip() error {
	var err error
	f.membership, err = gossip.Start(gossip.Options{
		Fleet:    f.config.Fleet,
		Self:     f.config.Self,
		Listen:   f.config.Gossip,
		Seeds:    f.config.Seeds,
		Role:     string(f.config.Role),
		Delegate: delegate{f},
		Logger:   f.log,
	})
	if err != nil {
		return err
	}
	f.rolloutDriver.send, f.rolloutDriver.sendReliable = f.membership.Send, f.membership.SendReliable
	close(f.gossipStarted)
	return nil
}

func (f *Fleet) startWorkers() {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	checker := newHealthChecker(f)
	go func() {
		defer close(f.healthCheckerDone)
		checker.run(ctx)
	}()
	go func() {
		defer close(f.quotaDone)
		f.runQuotaAgents(ctx)
	}()
	go func() {
		defer close(f.rolloutDone)
		if f.config.Window > 0 {
			f.rolloutDriver.run(ctx)
		}
	}()
}

// Owner reports whether this process may act as the owner of a lease now, and under
// which token. Call it right before each act, and send the token with the act.
func (f *Fleet) Owner(name string) (lease.Token, bool) {
	if f.stateMachine == nil {
		return lease.Token{}, false
	}
	return f.stateMachine.holds(name)
}

// DependencyHealth returns the latest health of the shared dependency that this
// member knows. Its State is Unknown where there was no update for five probes and
// two terms.
func (f *Fleet) DependencyHealth() DependencyHealth { return f.healthView.current() }

// Stats returns the member's counts.
func (f *Fleet) Stats() Stats {
	s := Stats{
		Alive:   len(f.membership.Alive()),
		Stale:   f.healthView.staleUpdates(),
		State:   f.DependencyHealth().State,
		Budgets: map[string]BudgetStats{},
	}
	_, s.Owner = f.Owner(HealthLease)
	s.Messages, s.Bytes = f.membership.Traffic()
	if f.transport != nil {
		messages, bytes := f.transport.Sent()
		s.Messages, s.Bytes = s.Messages+messages, s.Bytes+bytes
	}
	for kind, agent := range f.quotaAgents {
		rights, used := agent.Usage()
		s.Budgets[kind] = BudgetStats{Rights: int(rights), InHand: int(used), Free: f.stateMachine.freeRights(kind)}
	}
	return s
}

// Stop ends the workers, resigns this process's leases, transfers leadership and
// leaves. It waits for the log to have the resignations for timeout at most.
func (f *Fleet) Stop(timeout time.Duration) {
	f.cancel()
	<-f.healthCheckerDone
	<-f.quotaDone
	<-f.rolloutDone
	if f.stateMachine != nil {
		f.resignLeases(timeout)
	}
	if err := f.membership.Stop(leaveTimeout); err != nil {
		f.log.Debug(eventLeaveFailed, "error", err.Error())
	}
	f.stopVoter()
}
