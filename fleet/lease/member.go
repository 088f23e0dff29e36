package lease

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Timing is how long grants last. All members must be told the same.
type Timing struct {
	Duration      time.Duration // of a grant or renewal
	ClockDrift    float64       // most that a member's clock runs fast or slow by, as a share: 0.05 is 5%
	RenewInterval time.Duration // between two renewals, and until a lost command is sent again
}

// Validate gives an error that names the field that makes no sense.
func (t Timing) Validate() error {
	switch {
	case t.Duration <= 0:
		return fmt.Errorf("lease: term %v, more than 0 wanted", t.Duration)
	case !(t.ClockDrift >= 0 && t.ClockDrift <= 0.2):
		return fmt.Errorf("lease: drift %v, 0 to 0.2 wanted", t.ClockDrift)
	case t.RenewInterval <= 0 || t.RenewInterval > t.ownerDuration()/2:
		return fmt.Errorf("lease: renew %v, more than 0 and at most half of %v wanted", t.RenewInterval, t.ownerDuration())
	}
	return nil
}

// ownerDuration is how long after its command was sent an owner stops acting.
func (t Timing) ownerDuration() time.Duration {
	return time.Duration(float64(t.Duration) * (1 - t.ClockDrift))
}

// observerDuration is how long after it applied a command another member asks.
func (t Timing) observerDuration() time.Duration {
	return time.Duration(float64(t.Duration) * (1 + t.ClockDrift))
}

// OwnerChange is a lease that changed owners, for the log: To is zero where it was
// given up.
type OwnerChange struct {
	Lease    string
	From, To Owner
	Token    Token
}

// Client is one voter's part: its copy of the table, what it holds and until
// when, and when to ask. Times are readings of its own clock, which must not
// go back; only differences count. A Client is not safe for concurrent use.
type Client struct {
	self       Owner
	timing     Timing
	leaseNames []string
	table      Table
	states     map[string]leaseState
	lastNonce  uint64
	resigned   bool
}

// leaseState is what a member knows of a lease beside its grant.
type leaseState struct {
	lastAppliedAt   time.Duration    // when it applied the lease's latest command
	heldUntil       time.Duration    // the owner acts before this only
	pendingCommands []pendingCommand // commands of its own on the way, oldest first
}

type pendingCommand struct {
	nonce  uint64
	sentAt time.Duration
}

// most commands of one lease that are remembered as on the way.
const maxPendingCommands = 16

// NewClient makes a member that wants the named leases.
func NewClient(self Owner, timing Timing, wanted []string) (*Client, error) {
	if err := timing.Validate(); err != nil {
		return nil, err
	}
	if self == (Owner{}) {
		return nil, fmt.Errorf("lease: a member without a name")
	}
	return &Client{self: self, timing: timing, leaseNames: slices.Clone(wanted), states: make(map[string]leaseState)}, nil
}

// Restore takes over a snapshot's table at a time, and gives what moved by it.
// Its grants count as applied at that time, so that they are waited out in full.
func (m *Client) Restore(t Table, now time.Duration) (moves []OwnerChange) {
	was := m.table
	m.table = t
	for _, name := range t.Leases() {
		g, s := t.Grant(name), m.states[name]
		s.lastAppliedAt = now
		if g.Owner != m.self {
			s.heldUntil = 0
		}
		m.states[name] = s
		if old := was.Grant(name); old.Token != g.Token || old.Owner != g.Owner {
			moves = append(moves, OwnerChange{Lease: name, From: old.Owner, To: g.Owner, Token: g.Token})
		}
	}
	return moves
}

// Table is the member's copy of the grants, for a snapshot; it must not be changed.
func (m *Client) Table() *Table { return &m.table }

// Tick gives the commands to send at a time: renewals of what the member
// holds, and, if it may ask, a Take for each wanted lease that is free or has
// run out. Who may ask is the caller's to say (the leader of the voters does,
// so that not all ask at once); it is no matter of safety.
func (m *Client) Tick(now time.Duration, ask bool) []Command {
	var out []Command
	for _, name := range m.leaseNames {
		g, s := m.table.Grant(name), m.states[name]
		if n := len(s.pendingCommands); n > 0 && now-s.pendingCommands[n-1].sentAt < m.timing.RenewInterval {
			continue // one is on the way
		}
		switch {
		case m.resigned:
		case g.Owner == m.self && now < s.heldUntil:
			if now >= s.heldUntil-m.timing.ownerDuration()+m.timing.RenewInterval { // since the command that it holds by was sent
				out = append(out, m.command(Renew, name, now))
			}
		case ask && (g.Free() || now >= s.lastAppliedAt+m.timing.observerDuration()): // also what it held itself
			out = append(out, m.command(Acquire, name, now))
		}
	}
	return out
}

// command makes a command about a lease's present grant, and remembers when it
// was sent.
func (m *Client) command(k CommandKind, name string, now time.Duration) Command {
	g, s := m.table.Grant(name), m.states[name]
	m.lastNonce++
	s.pendingCommands = append(s.pendingCommands[max(0, len(s.pendingCommands)-maxPendingCommands+1):len(s.pendingCommands):len(s.pendingCommands)], pendingCommand{m.lastNonce, now})
	m.states[name] = s
	c := Command{Kind: k, Lease: name, Owner: m.self, Token: g.Token, Nonce: m.lastNonce}
	if k == Acquire {
		c.Renewals = g.Renewals
	}
	return c
}

// Apply takes in the command at a place of the log. The Move is nil where
// the lease keeps its owner.
func (m *Client) Apply(c Command, at Token, now time.Duration) *OwnerChange {
	was := m.table.Grant(c.Lease)
	granted := m.table.Apply(c, at)
	g, s := m.table.Grant(c.Lease), m.states[c.Lease]
	if granted {
		s.lastAppliedAt = now
	}
	if i := slices.IndexFunc(s.pendingCommands, func(x pendingCommand) bool { return c.Owner == m.self && x.nonce == c.Nonce }); i >= 0 {
		if granted && c.Kind != Release {
			s.heldUntil = s.pendingCommands[i].sentAt + m.timing.ownerDuration()
		}
		s.pendingCommands = slices.Clone(s.pendingCommands[i+1:])
	}
	if g.Owner != m.self {
		s.heldUntil = 0
	}
	m.states[c.Lease] = s
	if g.Token == was.Token && g.Owner == was.Owner {
		return nil
	}
	return &OwnerChange{Lease: c.Lease, From: was.Owner, To: g.Owner, Token: g.Token}
}

// Holds tells whether the member may act as the owner of a lease at a time,
// and under which token. It is to be asked right before each act.
func (m *Client) Holds(name string, now time.Duration) (Token, bool) {
	g := m.table.Grant(name)
	return g.Token, g.Owner == m.self && now < m.states[name].heldUntil
}

// Resign has the member ask for nothing more, and gives the commands that give
// up what it holds; from then on it holds nothing.
func (m *Client) Resign(now time.Duration) []Command {
	m.resigned = true
	var out []Command
	for _, name := range m.leaseNames {
		if _, ok := m.Holds(name, now); ok {
			out = append(out, m.command(Release, name, now))
			s := m.states[name]
			s.heldUntil = 0
			m.states[name] = s
		}
	}
	return out
}

// Clone copies the member, for exploring what may become of it.
func (m *Client) Clone() *Client {
	c := *m
	c.table.grants, c.states = maps.Clone(m.table.grants), maps.Clone(m.states)
	return &c
}

// AppendState appends what decides the member's future at a time: two members
// of equal states do the same from then on. Times are given as ages.
func (m *Client) AppendState(b []byte, now time.Duration) []byte {
	for _, name := range m.leaseNames {
		g, s := m.table.Grant(name), m.states[name]
		b = append(b, g.Owner.Member...)
		for _, v := range []uint64{g.Owner.Incarnation, g.Token.Term, g.Token.Index, g.Renewals, m.lastNonce,
			uint64(min(now-s.lastAppliedAt, m.timing.observerDuration())), uint64(max(s.heldUntil-now, 0)), uint64(len(s.pendingCommands))} {
			b = binary.AppendUvarint(b, v)
		}
		for _, x := range s.pendingCommands {
			b = binary.AppendUvarint(binary.AppendUvarint(b, x.nonce), uint64(now-x.sentAt))
		}
	}
	return b
}
