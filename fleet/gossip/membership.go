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
	// pushPullInterval is the time between two exchanges of all known updates with
	// another member.
	pushPullInterval = 5 * time.Second
	// deadNodeReclaimTime is how long a dead member's name stays bound to its address.
	// After that, a member with this name is accepted at another address. A member that
	// restarts at another address learns that it was declared dead only in a push/pull
	// exchange, which the library makes less frequent in large fleets.
	deadNodeReclaimTime = time.Second
)

// Options configure a member. Logger is optional.
type Options struct {
	Fleet  string // name of the fleet; members of different fleets ignore each other
	Self   string // name of this member
	Listen string // address for UDP and TCP; port 0 for any free port
	// Seeds maps the names of members to join to their addresses. Seeds are always
	// contacted at these addresses, regardless of the addresses that they advertise.
	Seeds    map[string]string
	Role     string // role that this member advertises; see AliveWithRole
	Delegate Delegate
	Logger   *slog.Logger // nil for slog.Default()
}

// Delegate stores the received updates. Its methods are called from several
// goroutines and must not block.
type Delegate interface {
	// MergeUpdate merges a received update. An update may be received more than once
	// and in any order. MergeUpdate returns the update's topic and whether the update
	// was new; a new update is broadcast.
	MergeUpdate(update []byte) (topic string, isNew bool)
	// KnownUpdates returns the updates to send in a push/pull exchange, from which a
	// member that joins or was disconnected gets the updates that it missed.
	KnownUpdates() [][]byte
}

// UnknownMemberError reports that no member with the name is known to be alive.
type UnknownMemberError struct{ Name string }

func (e *UnknownMemberError) Error() string {
	return fmt.Sprintf("gossip: no member named %s is known to be alive", e.Name)
}

// Membership is a running member. Its methods are safe for concurrent use.
type Membership struct {
	list       *memberlist.Memberlist
	created    atomic.Pointer[memberlist.Memberlist] // list once Create has returned it; used by the library's goroutines
	broadcasts memberlist.TransmitLimitedQueue
	seeds      []seed
	log        *slog.Logger
	traffic    *trafficCounts
	stopping   chan struct{}
	joinerDone chan struct{}
}

// Start listens on a member's address and joins the seeds in the background. The
// attempts are repeated until Stop, so no seed needs to be running yet.
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
		return nil, fmt.Errorf("gossip: creating the memberlist: %w", errors.Join(err, config.Transport.Shutdown()))
	}
	m.created.Store(m.list)
	go m.joinSeeds()
	return m, nil
}

// configure listens on the member's address and returns the library's
// configuration.
func (m *Membership) configure(options Options) (*memberlist.Config, error) {
	host, portText, err := net.SplitHostPort(options.Listen)
	if err != nil {
		return nil, fmt.Errorf("gossip: parsing the listen address: %w", err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, fmt.Errorf("gossip: parsing the listen port %q: %w", portText, err)
	}
	libraryLog := slog.NewLogLogger(m.log.Handler(), slog.LevelDebug)
	netTransport, err := listen(host, port, libraryLog)
	if err != nil {
		return nil, fmt.Errorf("gossip: listening on %s: %w", options.Listen, err)
	}
	config := memberlist.DefaultLANConfig()
	config.Name, config.Label, config.Logger = options.Self, options.Fleet, libraryLog
	config.BindAddr, config.BindPort = host, netTransport.GetAutoBindPort()
	config.AdvertiseAddr, config.AdvertisePort = host, netTransport.GetAutoBindPort()
	config.Transport = seedTransport{netTransport, options.Seeds, m.traffic}
	config.Delegate = memberlistDelegate{options.Delegate, m, options.Role}
	config.DeadNodeReclaimTime, config.PushPullInterval = deadNodeReclaimTime, pushPullInterval
	return config, nil
}

// Addr returns the address that this member advertises.
func (m *Membership) Addr() string { return m.list.LocalNode().Address() }

// Alive returns the sorted names of the members that are believed to be alive,
// including this one.
func (m *Membership) Alive() []string {
	return m.aliveNames(func(*memberlist.Node) bool { return true })
}

// AliveWithRole returns the sorted names of the members with a role that are
// believed to be alive, including this one.
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

// memberCount returns the number of members for the broadcast queue. It returns 1
// before memberlist.Create has returned, because the library's goroutines may already
// call it then.
func (m *Membership) memberCount() int {
	if list := m.created.Load(); list != nil {
		return list.NumMembers()
	}
	return 1
}

// Traffic returns the number of datagrams that this member has sent plus the number
// of streams that it has opened, and the number of bytes sent in them or received on
// the streams.
func (m *Membership) Traffic() (messages, bytes int64) {
	return m.traffic.messages.Load(), m.traffic.bytes.Load()
}

// Broadcast queues an update for all members. It replaces a queued update with the
// same topic.
func (m *Membership) Broadcast(topic string, update []byte) {
	m.broadcasts.QueueBroadcast(broadcast{topic, update})
}

// Send sends an update to the named member in a datagram, which may be lost. It
// does nothing if the member is not known to be alive.
func (m *Membership) Send(to string, update []byte) {
	node := m.findAlive(to)
	if node == nil {
		return
	}
	if err := m.list.SendBestEffort(node, update); err != nil {
		m.log.Debug("fleet_send", "to", to, "error", err.Error())
	}
}

// SendReliable sends an update, which may be too long for a datagram, to the named
// member on a stream, and blocks until it is sent. It returns an
// *UnknownMemberError if the member is not known to be alive. The update may be
// lost even if the error is nil.
func (m *Membership) SendReliable(to string, update []byte) error {
	node := m.findAlive(to)
	if node == nil {
		return &UnknownMemberError{Name: to}
	}
	if err := m.list.SendReliable(node, update); err != nil {
		return fmt.Errorf("gossip: sending to %s: %w", to, err)
	}
	return nil
}

// findAlive returns the named member, or nil if it is not known to be alive.
func (m *Membership) findAlive(name string) *memberlist.Node {
	for _, n := range m.list.Members() {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// Stop broadcasts that the member leaves, waits up to leaveTimeout until the
// broadcast is sent, and shuts the member down.
func (m *Membership) Stop(leaveTimeout time.Duration) error {
	close(m.stopping)
	<-m.joinerDone
	leaveErr := m.list.Leave(leaveTimeout)
	if err := m.list.Shutdown(); err != nil {
		return fmt.Errorf("gossip: shutting down the memberlist: %w", err)
	}
	if leaveErr != nil {
		return fmt.Errorf("gossip: leaving the fleet: %w", leaveErr)
	}
	return nil
}
