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
	Term  time.Duration // of a grant or renewal
	Drift float64       // most that a member's clock runs fast or slow by, as a share: 0.05 is 5%
	Renew time.Duration // between two renewals, and until a lost command is sent again
}

// Validate gives an error that names the field that makes no sense.
func (t Timing) Validate() error {
	switch {
	case t.Term <= 0:
		return fmt.Errorf("lease: term %v, more than 0 wanted", t.Term)
	case !(t.Drift >= 0 && t.Drift <= 0.2):
		return fmt.Errorf("lease: drift %v, 0 to 0.2 wanted", t.Drift)
	case t.Renew <= 0 || t.Renew > t.stop()/2:
		return fmt.Errorf("lease: renew %v, more than 0 and at most half of %v wanted", t.Renew, t.stop())
	}
	return nil
}

// stop is how long after its command was sent an owner stops acting.
func (t Timing) stop() time.Duration { return time.Duration(float64(t.Term) * (1 - t.Drift)) }

// wait is how long after it applied a command another member asks.
func (t Timing) wait() time.Duration { return time.Duration(float64(t.Term) * (1 + t.Drift)) }

// Move is a lease that changed owners, for the log: To is zero where it was
// given up.
type Move struct {
	Lease    string
	From, To Owner
	Token    Token
}

// Member is one voter's part: its copy of the table, what it holds and until
// when, and when to ask. Times are readings of its own clock, which must not
// go back; only differences count. A Member is not safe for concurrent use.
type Member struct {
	self    Owner
	timing  Timing
	wanted  []string
	table   Table
	states  map[string]state
	nonce   uint64
	retired bool
}

// state is what a member knows of a lease beside its grant.
type state struct {
	seen  time.Duration // when it applied the lease's latest command
	until time.Duration // the owner acts before this only
	sent  []sent        // commands of its own on the way, oldest first
}

type sent struct {
	nonce uint64
	at    time.Duration
}

// most commands of one lease that are remembered as on the way.
const mostSent = 16

// NewMember makes a member that wants the named leases.
func NewMember(self Owner, timing Timing, wanted []string) (*Member, error) {
	if err := timing.Validate(); err != nil {
		return nil, err
	}
	if self == (Owner{}) {
		return nil, fmt.Errorf("lease: a member without a name")
	}
	return &Member{self: self, timing: timing, wanted: slices.Clone(wanted), states: make(map[string]state)}, nil
}

// Restore takes over a snapshot's table at a time, and gives what moved by it.
// Its grants count as applied at that time, so that they are waited out in full.
func (m *Member) Restore(t Table, now time.Duration) (moves []Move) {
	was := m.table
	m.table = t
	for _, name := range t.Leases() {
		g, s := t.Grant(name), m.states[name]
		s.seen = now
		if g.Owner != m.self {
			s.until = 0
		}
		m.states[name] = s
		if old := was.Grant(name); old.Token != g.Token || old.Owner != g.Owner {
			moves = append(moves, Move{Lease: name, From: old.Owner, To: g.Owner, Token: g.Token})
		}
	}
	return moves
}

// Table is the member's copy of the grants, for a snapshot; it must not be changed.
func (m *Member) Table() *Table { return &m.table }

// Tick gives the commands to send at a time: renewals of what the member
// holds, and, if it may ask, a Take for each wanted lease that is free or has
// run out. Who may ask is the caller's to say (the leader of the voters does,
// so that not all ask at once); it is no matter of safety.
func (m *Member) Tick(now time.Duration, ask bool) []Command {
	var out []Command
	for _, name := range m.wanted {
		g, s := m.table.Grant(name), m.states[name]
		if n := len(s.sent); n > 0 && now-s.sent[n-1].at < m.timing.Renew {
			continue // one is on the way
		}
		switch {
		case m.retired:
		case g.Owner == m.self && now < s.until:
			if now >= s.until-m.timing.stop()+m.timing.Renew { // since the command that it holds by was sent
				out = append(out, m.command(Renew, name, now))
			}
		case ask && (g.Free() || now >= s.seen+m.timing.wait()): // also what it held itself
			out = append(out, m.command(Take, name, now))
		}
	}
	return out
}

// command makes a command about a lease's present grant, and remembers when it
// was sent.
func (m *Member) command(k Kind, name string, now time.Duration) Command {
	g, s := m.table.Grant(name), m.states[name]
	m.nonce++
	s.sent = append(s.sent[max(0, len(s.sent)-mostSent+1):len(s.sent):len(s.sent)], sent{m.nonce, now})
	m.states[name] = s
	c := Command{Kind: k, Lease: name, By: m.self, Token: g.Token, Nonce: m.nonce}
	if k == Take {
		c.Renewals = g.Renewals
	}
	return c
}

// Applied takes in the command at a place of the log. The Move is nil where
// the lease keeps its owner.
func (m *Member) Applied(c Command, at Token, now time.Duration) *Move {
	was := m.table.Grant(c.Lease)
	granted := m.table.Apply(c, at)
	g, s := m.table.Grant(c.Lease), m.states[c.Lease]
	if granted {
		s.seen = now
	}
	if i := slices.IndexFunc(s.sent, func(x sent) bool { return c.By == m.self && x.nonce == c.Nonce }); i >= 0 {
		if granted && c.Kind != Release {
			s.until = s.sent[i].at + m.timing.stop()
		}
		s.sent = slices.Clone(s.sent[i+1:])
	}
	if g.Owner != m.self {
		s.until = 0
	}
	m.states[c.Lease] = s
	if g.Token == was.Token && g.Owner == was.Owner {
		return nil
	}
	return &Move{Lease: c.Lease, From: was.Owner, To: g.Owner, Token: g.Token}
}

// Holds tells whether the member may act as the owner of a lease at a time,
// and under which token. It is to be asked right before each act.
func (m *Member) Holds(name string, now time.Duration) (Token, bool) {
	g := m.table.Grant(name)
	return g.Token, g.Owner == m.self && now < m.states[name].until
}

// Retire has the member ask for nothing more, and gives the commands that give
// up what it holds; from then on it holds nothing.
func (m *Member) Retire(now time.Duration) []Command {
	m.retired = true
	var out []Command
	for _, name := range m.wanted {
		if _, ok := m.Holds(name, now); ok {
			out = append(out, m.command(Release, name, now))
			s := m.states[name]
			s.until = 0
			m.states[name] = s
		}
	}
	return out
}

// Clone copies the member, for exploring what may become of it.
func (m *Member) Clone() *Member {
	c := *m
	c.table.grants, c.states = maps.Clone(m.table.grants), maps.Clone(m.states)
	return &c
}

// AppendState appends what decides the member's future at a time: two members
// of equal states do the same from then on. Times are given as ages.
func (m *Member) AppendState(b []byte, now time.Duration) []byte {
	for _, name := range m.wanted {
		g, s := m.table.Grant(name), m.states[name]
		b = append(b, g.Owner.Member...)
		for _, v := range []uint64{g.Owner.Life, g.Token.Term, g.Token.Index, g.Renewals, m.nonce,
			uint64(min(now-s.seen, m.timing.wait())), uint64(max(s.until-now, 0)), uint64(len(s.sent))} {
			b = binary.AppendUvarint(b, v)
		}
		for _, x := range s.sent {
			b = binary.AppendUvarint(binary.AppendUvarint(b, x.nonce), uint64(now-x.at))
		}
	}
	return b
}
