package gossip

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// pushPullInterval is how often two members exchange all they know.
	pushPullInterval = 5 * time.Second
	// deadNodeReclaimTime is when a member that restarts at another address may take
	// its name over: nobody tells it that it was thought dead but in an exchange of
	// whole states, which the library makes rarer in large fleets.
	deadNodeReclaimTime = time.Second
)

// Options are what a member is made of.
type Options struct {
	Fleet  string // members of different fleets don't talk to each other
	Self   string
	Listen string // address of UDP and TCP, port 0 for any
	// Seeds are members to join by, name to address. They are always reached by
	// these addresses, whatever they advertise.
	Seeds    map[string]string
	Role     string // that this member advertises
	Delegate Delegate
	Logger   *slog.Logger // nil for slog.Default()
}

// Delegate keeps what the updates say. Its methods are called from several
// goroutines and must not block.
type Delegate interface {
	// MergeUpdate takes in an update, once or more often, in any order, and returns
	// the topic that it is about and whether it was new: it is broadcast then.
	MergeUpdate(update []byte) (topic string, isNew bool)
	// KnownUpdates returns the updates that a member which joins, or was cut off,
	// should get.
	KnownUpdates() [][]byte
}

// UnknownMemberError reports that a member is not known to be alive.
type UnknownMemberError struct{ Name string }

func (e *UnknownMemberError) Error() string {
	return fmt.Sprintf("gossip: no member %s", e.Name)
}

// Membership is a running member. Its methods are safe for concurrent use.
type Membership struct {
	list       *memberlist.Memberlist
	created    atomic.Pointer[memberlist.Memberlist] // list, once there is one, for the library's goroutines
	broadcasts memberlist.TransmitLimitedQueue
	seeds      []seed
	log        *slog.Logger
	traffic    *trafficCounts
	stopping   chan struct{}
	joinerDone chan struct{}
}

// Start opens a member's address and joins the seeds, again and again until they
// answer: none needs to be up yet.
func Start(options Options) (*Membership, error) {
	m := &Membership{
		log: options.Logger, traffic: &trafficCounts{}, seeds: otherSeeds(options),
		stopping: make(chan struct{}), joinerDone: make(chan struct{}),
	}
	if m.log == nil {
		m.log = slog.Default()
	}
	config, err := m.configure(options)
	if err != nil {
		return nil, err
	}
	m.broadcasts = memberlist.TransmitLimitedQueue{RetransmitMult: config.RetransmitMult, NumNodes: m.memberCount}
	if m.list, err = memberlist.Create(config); err != nil {
		return nil, fmt.Errorf("gossip: %w", errors.Join(err, config.Transport.Shutdown()))
	}
	m.created.Store(m.list)
	go m.joinSeeds()
	return m, nil
}

// configure opens the member's address, and returns the library's configuration.
func (m *Membership) configure(options Options) (*memberlist.Config, error) {
	host, portText, err := net.SplitHostPort(options.Listen)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, fmt.Errorf("gossip: port %q: %w", portText, err)
	}
	libraryLog := slog.NewLogLogger(m.log.Handler(), slog.LevelDebug)
	network, err := listen(host, port, libraryLog)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	config := memberlist.DefaultLANConfig()
	config.Name, config.Label, config.Logger = options.Self, options.Fleet, libraryLog
	config.BindAddr, config.BindPort = host, network.GetAutoBindPort()
	config.AdvertiseAddr, config.AdvertisePort = host, network.GetAutoBindPort()
	config.Transport = seedTransport{network, options.Seeds, m.traffic}
	config.Delegate = memberlistDelegate{options.Delegate, m, options.Role}
	config.DeadNodeReclaimTime, config.PushPullInterval = deadNodeReclaimTime, pushPullInterval
	return config, nil
}

// Addr is the member's own address.
func (m *Membership) Addr() string { return m.list.LocalNode().Address() }

// Alive returns the names of the members that are thought to be alive, in order.
func (m *Membership) Alive() []string {
	return m.aliveNames(func(*memberlist.Node) bool { return true })
}

// AliveWithRole returns the names of the members of a role that are thought to be
// alive, in order.
func (m *Membership) AliveWithRole(role string) []string {
	return m.aliveNames(func(n *memberlist.Node) bool { return string(n.Meta) == role })
}

func (m *Membership) aliveNames(include func(*memberlist.Node) bool) []string {
	var names []string
	for _, n := range m.list.Members() {
		if include(n) {
			names = append(names, n.Name)
		}
	}
	slices.Sort(names)
	return names
}

// memberCount is called by the library's goroutines, also before Create returns.
func (m *Membership) memberCount() int {
	if list := m.created.Load(); list != nil {
		return list.NumMembers()
	}
	return 1
}

// Traffic returns how many datagrams and streams, and bytes of both, went over the
// network from here.
func (m *Membership) Traffic() (messages, bytes int64) {
	return m.traffic.messages.Load(), m.traffic.bytes.Load()
}

// Broadcast spreads an update to all members; a later update about the same topic
// replaces one that is still being spread.
func (m *Membership) Broadcast(topic string, update []byte) {
	m.broadcasts.QueueBroadcast(broadcast{topic, update})
}

// Send sends an update to one member by name, as a datagram that may be lost. It
// does nothing where the member is not known to be alive.
func (m *Membership) Send(to string, update []byte) {
	node := m.findAlive(to)
	if node == nil {
		return
	}
	if err := m.list.SendBestEffort(node, update); err != nil {
		m.log.Debug("fleet_send", "to", to, "error", err.Error())
	}
}

// SendReliable sends an update, which may be too long for a datagram, to one member
// by name, on a stream; it blocks until the update was sent. The error is an
// *UnknownMemberError where the member is not known to be alive. Without an error
// the update may still be lost.
func (m *Membership) SendReliable(to string, update []byte) error {
	node := m.findAlive(to)
	if node == nil {
		return &UnknownMemberError{Name: to}
	}
	if err := m.list.SendReliable(node, update); err != nil {
		return fmt.Errorf("gossip: send to %s: %w", to, err)
	}
	return nil
}

// find returns a member by name, nil where it is not known to be alive.
func (m *Membership) findAlive(name string) *memberlist.Node {
	for _, n := range m.list.Members() {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// Stop announces that the member leaves, waits for that to spread for leaveTimeout
// at most, and ends.
func (m *Membership) Stop(leaveTimeout time.Duration) error {
	close(m.stopping)
	<-m.joinerDone
	leaveErr := m.list.Leave(leaveTimeout)
	if err := m.list.Shutdown(); err != nil {
		return fmt.Errorf("gossip: shut down: %w", err)
	}
	if leaveErr != nil {
		return fmt.Errorf("gossip: leave: %w", leaveErr)
	}
	return nil
}
