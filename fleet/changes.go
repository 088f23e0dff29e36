package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/fleet/rollout"
)

// Rollout names the lease on driving a change through the fleet.
const Rollout = "rollout"

// ErrNoVoter is given where a member that votes on nothing is asked for what
// only the voters know.
var ErrNoVoter = errors.New("fleet: this member is no voter: ask one")

// Subject is what a rollout changes, and compares: this process. Its methods are
// called from the fleet's goroutines.
type Subject interface {
	// Totals gives what was counted since the process began.
	Totals() rollout.Totals
	// Apply puts settings in force: a JSON merge patch (RFC 7396) on those of the
	// process's own file, nil for the file alone. With an error nothing has changed.
	Apply(patch json.RawMessage) error
}

// changes is a member's part in rollouts: every member reports to the voters and
// follows the owner's directions; the owner decides what comes next.
type changes struct {
	conf    *Config
	log     *slog.Logger
	life    uint64
	machine *machine // nil but in voters
	node    interface{ RunInLoop(func() [][]byte) }
	voters  func() []string // names of those that are known
	send    func(to string, piece []byte)
	stream  func(to string, piece []byte) error
	owner   func(name string) (lease.Token, bool)

	mu        sync.Mutex
	subject   Subject
	seq       uint64
	collector *rollout.Collector // of what members report; kept by each voter, so that the next owner need not begin anew
	follower  rollout.Follower
	told      chan rollout.Directive // the latest direction that is to be carried out
	telling   map[string]bool        // members that a direction is on the way to
}

func newChanges(f *Fleet) *changes {
	return &changes{conf: &f.conf, log: f.log, life: f.self.Incarnation, voters: f.voters, owner: f.Owner,
		collector: rollout.NewCollector(), told: make(chan rollout.Directive, 1), telling: map[string]bool{}}
}

// Follow has the fleet report what a subject counts, and carry out settings there.
func (f *Fleet) Follow(s Subject) {
	f.changes.mu.Lock()
	defer f.changes.mu.Unlock()
	f.changes.subject = s
}

// report makes this process's next report; nil while there is nobody to report of.
func (c *changes) report(leaving bool) *rollout.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.subject == nil {
		return nil
	}
	c.seq++
	number, refused, reason := c.follower.Settings()
	return &rollout.Report{Server: c.conf.Self, Zone: c.conf.Zone, Incarnation: c.life, Sequence: c.seq, Version: c.conf.Version,
		Settings: number, RejectedSettings: refused, RejectionReason: reason, Leaving: leaving, Totals: c.subject.Totals()}
}

// tell reports to all voters that are known.
func (c *changes) tell(leaving bool) {
	r := c.report(leaving)
	if r == nil {
		return
	}
	piece, err := cbor.Marshal(r)
	if err != nil {
		c.log.Error("fleet_report", "error", err.Error())
		return
	}
	piece = append([]byte{newsReport}, piece...)
	for _, to := range c.voters() {
		if to == c.conf.Self {
			c.heardReport(piece[1:])
		} else {
			c.send(to, piece)
		}
	}
}

// heardReport takes in what a member says of itself.
func (c *changes) heardReport(piece []byte) {
	r, ok := unpack[rollout.Report](c.log, piece)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.collector.Observe(r)
}

// heardDirection takes in the owner's word on this process's settings.
func (c *changes) heardDirection(piece []byte) {
	d, ok := unpack[rollout.Directive](c.log, piece)
	if !ok {
		return
	}
	c.mu.Lock()
	apply, err := c.follower.Accept(d)
	c.mu.Unlock()
	if err != nil {
		c.log.Warn("fleet_direction_refused", "settings", d.SettingsNumber, "error", err.Error())
		return
	}
	if !apply {
		return
	}
	select { // the latest counts
	case <-c.told:
	default:
	}
	select {
	case c.told <- d:
	default: // a later one was put there meanwhile
	}
}

// carryOut takes settings over as they are told.
func (c *changes) carryOut(ctx context.Context) {
	for {
		var d rollout.Directive
		select {
		case <-ctx.Done():
			return
		case d = <-c.told:
		}
		c.mu.Lock()
		subject := c.subject
		c.mu.Unlock()
		if subject == nil {
			continue // it is told again
		}
		err := subject.Apply(d.Patch)
		c.mu.Lock()
		c.follower.Applied(d, err)
		c.mu.Unlock()
		if err != nil {
			c.log.Warn("settings_turned_down", "settings", d.SettingsNumber, "error", err.Error())
		} else {
			c.log.Info("settings", "settings", d.SettingsNumber, "token", d.Token.String(), "entry", d.Index)
		}
	}
}

// run reports, and drives the change while this process owns its lease.
func (c *changes) run(ctx context.Context) {
	carried := make(chan struct{})
	go func() {
		c.carryOut(ctx)
		close(carried)
	}()
	defer func() { <-carried }()
	ticker := time.NewTicker(c.conf.Window)
	defer ticker.Stop()
	var held lease.Token
	for {
		select {
		case <-ctx.Done():
			c.tell(true)
			return
		case <-ticker.C:
		}
		c.tell(false)
		if c.machine != nil {
			held = c.drive(held)
		}
	}
}

// drive ends a window. It gives the token under which this process owned the
// lease: the first window after it came is not judged, as part of it may have
// been judged by the owner before.
func (c *changes) drive(held lease.Token) lease.Token {
	record := c.machine.changes()
	kind := rollout.Program
	if record.Plan != nil {
		kind = record.Plan.Kind
	}
	c.mu.Lock()
	samples := c.collector.EndWindow(kind)
	c.mu.Unlock()
	token, ok := c.owner(Rollout)
	if !ok {
		return lease.Token{}
	}
	c.direct(&record, token)
	if token == held && !record.Ended() {
		c.propose(command{Rollout: &rolloutOrder{Token: token, Order: record.NextCommand(samples)}})
	}
	return token
}

func (c *changes) propose(o command) {
	entries := encode(c.log, o)
	c.node.RunInLoop(func() [][]byte { return entries })
}

// direct tells servers that run other settings than they should which ones to
// run. What it says is what the log has, under the owner's token.
func (c *changes) direct(record *rollout.Record, token lease.Token) {
	of, others := record.DesiredSettings()
	c.mu.Lock()
	reports := c.collector.LatestReports()
	c.mu.Unlock()
	for _, r := range reports {
		n, ok := of[r.Server]
		if !ok {
			n = others
		}
		if r.Settings == n || r.RejectedSettings == n && n != 0 || r.Leaving {
			continue
		}
		piece, err := cbor.Marshal(rollout.Directive{Token: token, Index: record.Index, SettingsNumber: n, Patch: record.Patches[n]})
		if err != nil {
			c.log.Error("fleet_direction", "error", err.Error())
			return
		}
		if r.Server == c.conf.Self {
			c.heardDirection(piece)
			continue
		}
		c.mu.Lock()
		busy := c.telling[r.Server]
		c.telling[r.Server] = true
		c.mu.Unlock()
		if busy { // the last one has not got there yet
			continue
		}
		go func() {
			if err := c.stream(r.Server, append([]byte{newsDirection}, piece...)); err != nil {
				c.log.Debug("fleet_direction", "to", r.Server, "error", err.Error())
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			delete(c.telling, r.Server)
		}()
	}
}

// ChangeStatus is what a voter knows of the fleet's changes.
type ChangeStatus struct {
	Record  rollout.Record    `json:"record"`
	Owner   string            `json:"owner"`   // of the lease Rollout
	Token   lease.Token       `json:"token"`   // of its grant
	Desired map[string]string `json:"desired"` // version of the program that each server of a plan is to run
	Servers []ServerStatus    `json:"servers"` // that this voter has heard of
}

// ServerStatus is what a server said of itself last.
type ServerStatus struct {
	Name       string `json:"name"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Settings   uint64 `json:"settings"`
	TurnedDown uint64 `json:"turned_down,omitempty"`
	Reason     string `json:"reason,omitempty"`
	Leaving    bool   `json:"leaving,omitempty"`
}

// Change gives what this voter knows of the fleet's changes; ErrNoVoter at
// another member.
func (f *Fleet) Change() (ChangeStatus, error) {
	if f.machine == nil {
		return ChangeStatus{}, ErrNoVoter
	}
	var s ChangeStatus
	s.Record = f.machine.changes()
	s.Desired = s.Record.DesiredVersions()
	s.Owner, s.Token = f.machine.grant(Rollout)
	f.changes.mu.Lock()
	defer f.changes.mu.Unlock()
	for _, r := range f.changes.collector.LatestReports() {
		s.Servers = append(s.Servers, ServerStatus{r.Server, r.Zone, r.Version, r.Settings, r.RejectedSettings, r.RejectionReason, r.Leaving})
	}
	return s, nil
}

// StartChange begins a plan; patch is that of settings, nil for a plan for the
// program. A plan without servers is for all that this voter has heard of. The
// error says why it was turned down, or wraps ctx's where the log did not take it
// in time.
func (f *Fleet) StartChange(ctx context.Context, p rollout.Plan, patch json.RawMessage) error {
	if f.machine == nil {
		return ErrNoVoter
	}
	if len(p.Servers) == 0 {
		f.changes.mu.Lock()
		for _, r := range f.changes.collector.LatestReports() {
			if !r.Leaving {
				p.Servers = append(p.Servers, rollout.Server{Name: r.Server, Zone: r.Zone})
			}
		}
		f.changes.mu.Unlock()
	}
	return f.changes.ask(ctx, rollout.Command{Kind: rollout.Start, Plan: &p, Patch: patch})
}

// StopChange halts the plan of an ID: all its servers go back.
func (f *Fleet) StopChange(ctx context.Context, id, reason string) error {
	if f.machine == nil {
		return ErrNoVoter
	}
	return f.changes.ask(ctx, rollout.Command{Kind: rollout.Stop, ID: id, Reason: reason})
}

// askAgain is how often an order that may have been lost is proposed again.
const askAgain = 300 * time.Millisecond

// ask has an operator's order entered into the log, and gives what came of it.
func (c *changes) ask(ctx context.Context, o rollout.Command) error {
	nonce := rand.Uint64()
	outcome := c.machine.await(nonce)
	defer c.machine.forget(nonce)
	for {
		c.propose(command{Rollout: &rolloutOrder{Nonce: nonce, Order: o}})
		select {
		case err := <-outcome:
			return err
		case <-ctx.Done():
			return fmt.Errorf("fleet: the log did not take the order: %w", ctx.Err())
		case <-time.After(askAgain):
		}
	}
}
