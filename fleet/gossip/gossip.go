// Package gossip tells all members of a fleet, hundreds of them, of each other
// and of small pieces of news, over github.com/hashicorp/memberlist (Das,
// Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
// Group Membership Protocol", 2002). It decides nothing: who is alive is a hint
// here, never a proof that a lease has ended.
package gossip

import (
	"fmt"
	"log"
	"log/slog"
	"net"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// Options are what a member is made of.
type Options struct {
	Fleet  string // two fleets never talk
	Self   string
	Listen string // address of UDP and TCP, port 0 for any
	// Seeds are members to join by, name to address. They are always reached by
	// these addresses, whatever they tell of themselves.
	Seeds  map[string]string
	Role   string // that this member tells all others of itself
	Delegate   Delegate
	Logger *slog.Logger // nil for slog.Default()
}

// Delegate is what is spread beside the membership. Its methods are called from
// several goroutines and must not block.
type Delegate interface {
	// MergeUpdate takes in a piece of news, once or more often, in any order, and
	// tells what it is about and whether it was news: it is passed on then.
	MergeUpdate(piece []byte) (about string, news bool)
	// KnownUpdates gives the pieces that one who joins, or was cut off, should hear.
	KnownUpdates() [][]byte
}

// Membership is a member at work.
type Membership struct {
	list    *memberlist.Memberlist
	created atomic.Pointer[memberlist.Memberlist] // the same, once there is one
	queue   memberlist.TransmitLimitedQueue
	seeds   []string
	log     *slog.Logger
	sent    *counts
	stop    chan struct{}
	done    chan struct{}
}

// counts are what went over the network: datagrams sent, and both ways of the
// streams that were opened here.
type counts struct{ messages, bytes atomic.Int64 }

// exchangeEvery is how often two members exchange all they know.
const exchangeEvery = 5 * time.Second

// rejoinEvery is how often the seeds are tried again that are not known as alive.
const rejoinEvery = time.Second

// Start opens a member's address and joins the seeds, again and again until they
// answer: none needs to be up yet.
func Start(opt Options) (*Membership, error) {
	host, port, err := net.SplitHostPort(opt.Listen)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	bind, err := strconv.Atoi(port)
	if err != nil {
		return nil, fmt.Errorf("gossip: port %q: %w", port, err)
	}
	logger := opt.Logger
	if logger == nil {
		logger = slog.Default()
	}
	remarks := slog.NewLogLogger(logger.Handler(), slog.LevelDebug)
	udp, err := listen(host, bind, remarks)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	m := &Membership{log: logger, sent: &counts{}, stop: make(chan struct{}), done: make(chan struct{})}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.Logger = opt.Self, opt.Fleet, remarks
	c.BindAddr, c.BindPort = host, udp.GetAutoBindPort()
	c.AdvertiseAddr, c.AdvertisePort = host, udp.GetAutoBindPort()
	c.Transport = routed{udp, opt.Seeds, m.sent}
	c.Delegate = memberlistDelegate{opt.Delegate, m, opt.Role}
	// A member that restarts comes back at another address, which the others take
	// only once they have found the old one dead; nobody tells it so but in an
	// exchange of whole states (the library makes them rarer in large fleets).
	c.DeadNodeReclaimTime, c.PushPullInterval = time.Second, exchangeEvery
	m.queue = memberlist.TransmitLimitedQueue{RetransmitMult: c.RetransmitMult, NumNodes: m.count}
	if m.list, err = memberlist.Create(c); err != nil {
		udp.Shutdown()
		return nil, fmt.Errorf("gossip: %w", err)
	}
	m.created.Store(m.list)
	for name, address := range opt.Seeds {
		if name != opt.Self {
			m.seeds = append(m.seeds, name+"/"+address)
		}
	}
	sort.Strings(m.seeds)
	go m.join()
	return m, nil
}

// bindTries is how often any port is tried: one that is free for TCP may be taken
// for UDP.
const bindTries = 10

func listen(host string, port int, remarks *log.Logger) (t *memberlist.NetTransport, err error) {
	for range bindTries {
		t, err = memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: remarks})
		if err == nil || port != 0 {
			break
		}
	}
	return t, err
}

// Addr is the member's own address.
func (m *Membership) Addr() string { return m.list.LocalNode().Address() }

// Alive names the members that are thought to be alive, in order.
func (m *Membership) Alive() []string {
	var names []string
	for _, n := range m.list.Members() {
		names = append(names, n.Name)
	}
	sort.Strings(names)
	return names
}

// AliveWithRole names the members of a role that are thought to be alive, in order.
func (m *Membership) AliveWithRole(role string) []string {
	var names []string
	for _, n := range m.list.Members() {
		if string(n.Meta) == role {
			names = append(names, n.Name)
		}
	}
	sort.Strings(names)
	return names
}

// count is asked by the library's goroutines, also before Create has returned.
func (m *Membership) count() int {
	if l := m.created.Load(); l != nil {
		return l.NumMembers()
	}
	return 1
}

// Sent gives how many datagrams and streams, and bytes of both, went over the
// network from here.
func (m *Membership) Sent() (messages, bytes int64) { return m.sent.messages.Load(), m.sent.bytes.Load() }

// Broadcast spreads a piece of news; a later piece about the same matter takes the
// place of one that is still being spread.
func (m *Membership) Broadcast(about string, piece []byte) {
	m.queue.QueueBroadcast(broadcast{about, piece})
}

// Send gives a piece of news to one member by name, as a datagram that may be
// lost. It does nothing where the member is not known.
func (m *Membership) Send(to string, piece []byte) {
	if n := m.find(to); n != nil {
		if err := m.list.SendBestEffort(n, piece); err != nil {
			m.log.Debug("fleet_send", "to", to, "error", err.Error())
		}
	}
}

// SendReliable gives a piece of news, which may be too long for a datagram, to one
// member by name, on a stream; it blocks until the piece was sent. The error says
// that it was not, or that the member is not known; without one it may be lost
// still.
func (m *Membership) SendReliable(to string, piece []byte) error {
	n := m.find(to)
	if n == nil {
		return fmt.Errorf("gossip: no member %s", to)
	}
	if err := m.list.SendReliable(n, piece); err != nil {
		return fmt.Errorf("gossip: %w", err)
	}
	return nil
}

// find gives a member by name, nil where it is not known as alive.
func (m *Membership) find(name string) *memberlist.Node {
	for _, n := range m.list.Members() {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// Stop takes leave of the others, waits for that to spread for a time at most,
// and ends.
func (m *Membership) Stop(within time.Duration) error {
	close(m.stop)
	<-m.done
	leave := m.list.Leave(within)
	if err := m.list.Shutdown(); err != nil {
		return fmt.Errorf("gossip: %w", err)
	}
	if leave != nil {
		return fmt.Errorf("gossip: %w", leave)
	}
	return nil
}

// join joins the seeds, and joins again those that are not known as alive: a
// member that everybody else took for dead hears of nobody.
func (m *Membership) join() {
	defer close(m.done)
	for ticker := time.NewTicker(rejoinEvery); ; {
		alive := map[string]bool{}
		for _, name := range m.Alive() {
			alive[name] = true
		}
		for _, seed := range m.seeds {
			if name, _, _ := strings.Cut(seed, "/"); !alive[name] {
				if _, err := m.list.Join([]string{seed}); err != nil {
					m.log.Debug("fleet_join", "seed", seed, "error", err.Error())
				}
			}
		}
		select {
		case <-m.stop:
			ticker.Stop()
			return
		case <-ticker.C:
		}
	}
}

// routed reaches seeds by the addresses that the operator gave.
type routed struct {
	*memberlist.NetTransport
	via  map[string]string
	sent *counts
}

func (r routed) reach(a memberlist.Address) memberlist.Address {
	if address, ok := r.via[a.Name]; ok {
		a.Addr = address
	}
	return a
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (r routed) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	r.sent.messages.Add(1)
	r.sent.bytes.Add(int64(len(b)))
	return r.NetTransport.WriteToAddress(b, r.reach(a))
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (r routed) DialAddressTimeout(a memberlist.Address, within time.Duration) (net.Conn, error) {
	c, err := r.NetTransport.DialAddressTimeout(r.reach(a), within)
	if err != nil {
		return nil, err
	}
	r.sent.messages.Add(1)
	return counted{c, r.sent}, nil
}

// counted is a stream whose bytes are counted.
type counted struct {
	net.Conn
	sent *counts
}

// Read implements net.Conn.
func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.sent.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.bytes.Add(int64(n))
	return n, err
}

// broadcast is a piece of news on its way.
type broadcast struct {
	about string
	piece []byte
}

// Name implements memberlist.NamedBroadcast.
func (b broadcast) Name() string { return b.about }

// Invalidates implements memberlist.Broadcast.
func (b broadcast) Invalidates(o memberlist.Broadcast) bool {
	other, ok := o.(broadcast)
	return ok && other.about == b.about
}

// Message implements memberlist.Broadcast.
func (b broadcast) Message() []byte { return b.piece }

// Finished implements memberlist.Broadcast.
func (b broadcast) Finished() {}
