package lease

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// maxPendingCommands bounds how many unanswered commands a client remembers for
// each lease.
const maxPendingCommands = 16

// OwnerChange reports that a lease passed from one owner to another.
type OwnerChange struct {
	Lease    string
	From, To Owner // the zero Owner where the lease was or is free
	Token    Token // of the latest grant
}

// Client is one voter's side of the leases: its replica of the table, until when
// it holds which lease, and when to send commands. Times are readings of the
// voter's own clock, which must not go back; only differences count. A Client is
// not safe for concurrent use.
type Client struct {
	self       Owner
	timing     Timing
	leaseNames []string // that it tries to own
	table      Table
	states     map[string]leaseState
	lastNonce  uint64
	resigned   bool
}

// leaseState is what a client knows of a lease beside its grant.
type leaseState struct {
	lastAppliedAt   time.Duration // when the client applied the latest granted command
	heldUntil       time.Duration // the client may act as the owner before this time only
	pendingCommands []pendingCommand
}

// pendingCommand is a command that the client sent and has not applied yet.
type pendingCommand struct {
	nonce  uint64
	sentAt time.Duration
}

// NewClient returns a client that tries to own the named leases. The error is a
// *ConfigError.
func NewClient(self Owner, timing Timing, leaseNames []string) (*Client, error) {
	if err := timing.Validate(); err != nil {
		return nil, err
	}
	if self == (Owner{}) {
		return nil, &ConfigError{"Owner", self, "other than the zero Owner, which stands for a free lease"}
	}
	return &Client{
		self:       self,
		timing:     timing,
		leaseNames: slices.Clone(leaseNames),
		states:     make(map[string]leaseState),
	}, nil
}

// Restore replaces the table by that of a snapshot and returns the leases whose
// owner changed. The client counts all grants as applied now, so it waits for
// their full duration.
func (c *Client) Restore(table Table, now time.Duration) []OwnerChange {
	former := c.table
	c.table = table
	var changes []OwnerChange
	for _, name := range table.Leases() {
		grant, state := table.Grant(name), c.states[name]
		state.lastAppliedAt = now
		if grant.Owner != c.self {
			state.heldUntil = 0
		}
		c.states[name] = state
		if change := ownerChange(name, former.Grant(name), grant); change != nil {
			changes = append(changes, *change)
		}
	}
	return changes
}

// Table returns the client's replica of the table, for a snapshot. It must not
// be modified.
func (c *Client) Table() *Table { return &c.table }

// Tick returns the commands to propose: renewals of the leases that the client
// holds and, if mayAcquire, an Acquire for each of its leases that is free or has
// expired. Usually only the voters' leader may acquire, so that clients do not
// compete; the invariants do not depend on that.
func (c *Client) Tick(now time.Duration, mayAcquire bool) []Command {
	if c.resigned {
		return nil
	}
	var commands []Command
	for _, name := range c.leaseNames {
		if kind, due := c.dueCommand(name, now, mayAcquire); due {
			commands = append(commands, c.newCommand(kind, name, now))
		}
	}
	return commands
}

// dueCommand returns the command that a lease needs now, if any.
func (c *Client) dueCommand(name string, now time.Duration, mayAcquire bool) (kind CommandKind, due bool) {
	grant, state := c.table.Grant(name), c.states[name]
	if state.awaitsAnswer(now, c.timing.RenewInterval) {
		return "", false
	}
	if grant.Owner == c.self && now < state.heldUntil {
		grantSentAt := state.heldUntil - c.timing.ownerDuration()
		return Renew, now >= grantSentAt+c.timing.RenewInterval
	}
	// A client whose own grant has expired waits like any other.
	expired := now >= state.lastAppliedAt+c.timing.observerDuration()
	return Acquire, mayAcquire && (grant.Free() || expired)
}

// awaitsAnswer reports whether the latest command was sent less than
// retryInterval ago and has not been applied yet.
func (s leaseState) awaitsAnswer(now, retryInterval time.Duration) bool {
	n := len(s.pendingCommands)
	return n > 0 && now-s.pendingCommands[n-1].sentAt < retryInterval
}

// newCommand returns a command on the present grant of a lease, and records when
// it was sent.
func (c *Client) newCommand(kind CommandKind, name string, now time.Duration) Command {
	grant, state := c.table.Grant(name), c.states[name]
	c.lastNonce++
	latest := state.pendingCommands[max(0, len(state.pendingCommands)-maxPendingCommands+1):]
	// The array behind the slice may be shared with a clone, so it is not appended to.
	state.pendingCommands = append(slices.Clip(latest), pendingCommand{c.lastNonce, now})
	c.states[name] = state
	command := Command{Kind: kind, Lease: name, Owner: c.self, Token: grant.Token, Nonce: c.lastNonce}
	if kind == Acquire {
		command.Renewals = grant.Renewals
	}
	return command
}

// Apply applies a committed command; the token is the term and index of its log
// entry. It returns nil if the lease kept its owner.
func (c *Client) Apply(command Command, token Token, now time.Duration) *OwnerChange {
	name := command.Lease
	before := c.table.Grant(name)
	granted := c.table.Apply(command, token)
	after, state := c.table.Grant(name), c.states[name]
	if granted {
		state.lastAppliedAt = now
	}
	if command.Owner == c.self {
		sentAt, pending := state.removePending(command.Nonce)
		if pending && granted && command.Kind != Release {
			state.heldUntil = sentAt + c.timing.ownerDuration()
		}
	}
	if after.Owner != c.self {
		state.heldUntil = 0
	}
	c.states[name] = state
	return ownerChange(name, before, after)
}

// removePending removes a pending command and all that were sent before it, and
// returns when it was sent. The second result is false if there is no such
// command: it is a duplicate, or of a former incarnation.
func (s *leaseState) removePending(nonce uint64) (sentAt time.Duration, found bool) {
	i := slices.IndexFunc(s.pendingCommands, func(p pendingCommand) bool { return p.nonce == nonce })
	if i < 0 {
		return 0, false
	}
	sentAt = s.pendingCommands[i].sentAt
	s.pendingCommands = slices.Clone(s.pendingCommands[i+1:])
	return sentAt, true
}

// ownerChange compares two states of a lease; nil if it kept its owner.
func ownerChange(name string, before, after Grant) *OwnerChange {
	if after.Token == before.Token && after.Owner == before.Owner {
		return nil
	}
	return &OwnerChange{Lease: name, From: before.Owner, To: after.Owner, Token: after.Token}
}

// Holds reports whether the client may act as the owner of a lease now, and
// under which token. Callers ask right before each act.
func (c *Client) Holds(name string, now time.Duration) (Token, bool) {
	grant := c.table.Grant(name)
	return grant.Token, grant.Owner == c.self && now < c.states[name].heldUntil
}

// Resign returns a Release for each lease that the client holds. From then on it
// holds none and sends nothing.
func (c *Client) Resign(now time.Duration) []Command {
	c.resigned = true
	var commands []Command
	for _, name := range c.leaseNames {
		if _, holds := c.Holds(name, now); !holds {
			continue
		}
		commands = append(commands, c.newCommand(Release, name, now))
		state := c.states[name]
		state.heldUntil = 0
		c.states[name] = state
	}
	return commands
}

// Clone returns a copy of the client, for a model checker.
func (c *Client) Clone() *Client {
	clone := *c
	clone.table.grants = maps.Clone(c.table.grants)
	clone.states = maps.Clone(c.states)
	return &clone
}

// AppendState appends an encoding of all that decides the client's behaviour
// after now: two clients with equal encodings behave alike. Times are encoded
// relative to now.
func (c *Client) AppendState(b []byte, now time.Duration) []byte {
	for _, name := range c.leaseNames {
		grant, state := c.table.Grant(name), c.states[name]
		b = append(b, grant.Owner.Member...)
		for _, v := range []uint64{
			grant.Owner.Incarnation, grant.Token.Term, grant.Token.Index, grant.Renewals,
			c.lastNonce,
			uint64(min(now-state.lastAppliedAt, c.timing.observerDuration())), // longer makes no difference
			uint64(max(state.heldUntil-now, 0)),
			uint64(len(state.pendingCommands)),
		} {
			b = binary.AppendUvarint(b, v)
		}
		for _, p := range state.pendingCommands {
			b = binary.AppendUvarint(b, p.nonce)
			b = binary.AppendUvarint(b, uint64(now-p.sentAt))
		}
	}
	return b
}
