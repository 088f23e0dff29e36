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

// leaveTimeout bounds how long Stop waits for gossip to spread the leave message.
const leaveTimeout = 300 * time.Millisecond

// Fleet is this process's membership. Its methods are safe for concurrent use.
type Fleet struct {
	config        Config
	log           *slog.Logger
	self          lease.Owner
	fence         *lease.Fence
	clock         func() time.Duration // times leases and quotas
	healthView    *healthView
	quotaAgents   map[string]*QuotaAgent // by the quota's name; only the configured quotas
	rolloutDriver *rolloutDriver
	membership    *gossip.Membership // set before gossipStarted is closed

	cancel            context.CancelFunc // stops the workers
	gossipStarted     chan struct{}      // closed when membership is set
	healthCheckerDone chan struct{}      // closed when the health checker has returned
	quotaDone         chan struct{}      // closed when runQuotaAgents has returned
	rolloutDone       chan struct{}      // closed when the rollout driver has returned

	// Set in voters only.
	stateMachine *stateMachine
	node         *consensus.Node
	transport    *rafttransport.Transport
}

// Stats holds statistics of a member.
type Stats struct {
	AliveMembers    int                   // members that gossip considers alive, including this one
	OwnsHealthLease bool                  // this process may act as the owner of HealthLease
	MessagesSent    int64                 // to other members, by gossip and by Raft
	BytesSent       int64                 // to other members, by gossip and by Raft
	StaleUpdates    int                   // health updates rejected for a stale fencing token
	Dependency      DependencyState       // latest known state of the shared dependency
	Quotas          map[string]QuotaStats // by the quota's name
}

// QuotaStats holds the statistics of one quota at a member.
type QuotaStats struct {
	Rights int // rights that this member holds
	InUse  int // rights of this member in use
	Free   int // rights granted to no member, according to the log; 0 if this member is not a voter
}

// Start starts this process's membership. The other members need not run yet.
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
	f.log.Info(eventJoined, "name", config.Self, "role", string(config.Role), "raft", raftAddress, "gossip", f.membership.Addr())
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

// newIncarnation returns a random incarnation number, which is never 0.
func newIncarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails (crypto/rand)
	return binary.BigEndian.Uint64(b[:])>>1 + 1
}

// start starts the units. After an error, the caller must call stopVoter.
func (f *Fleet) start() error {
	if err := f.createQuotaAgents(); err != nil {
		return err
	}
	f.rolloutDriver = newRolloutDriver(f)
	if f.config.Role == RoleVoter {
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
		Fleet:    f.config.FleetName,
		Self:     f.config.Self,
		Listen:   f.config.GossipAddress,
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
		if f.config.RolloutWindow > 0 {
			f.rolloutDriver.run(ctx)
		}
	}()
}

// HoldsLease reports whether this process may act as the owner of a lease now, and
// returns the fencing token. Call it right before each action and send the token with
// the action.
func (f *Fleet) HoldsLease(name string) (lease.Token, bool) {
	if f.stateMachine == nil {
		return lease.Token{}, false
	}
	return f.stateMachine.holdsLease(name)
}

// DependencyHealth returns the latest known health of the shared dependency. Its
// State is DependencyUnknown after five probe intervals and two lease durations
// without an update.
func (f *Fleet) DependencyHealth() DependencyHealth { return f.healthView.current() }

// Stats returns the member's statistics.
func (f *Fleet) Stats() Stats {
	s := Stats{
		AliveMembers: len(f.membership.Alive()),
		StaleUpdates: f.healthView.staleUpdates(),
		Dependency:   f.DependencyHealth().State,
		Quotas:       map[string]QuotaStats{},
	}
	_, s.OwnsHealthLease = f.HoldsLease(HealthLease)
	s.MessagesSent, s.BytesSent = f.membership.Traffic()
	if f.transport != nil {
		messages, bytes := f.transport.Sent()
		s.MessagesSent, s.BytesSent = s.MessagesSent+messages, s.BytesSent+bytes
	}
	for name, agent := range f.quotaAgents {
		rights, used := agent.Usage()
		s.Quotas[name] = QuotaStats{Rights: int(rights), InUse: int(used), Free: f.stateMachine.freeRights(name)}
	}
	return s
}

// Stop stops the workers, resigns this process's leases, transfers leadership and
// leaves the fleet. It waits at most timeout for the log to have the resignations.
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
