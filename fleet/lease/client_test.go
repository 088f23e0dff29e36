package lease

import (
	"slices"
	"testing"
	"time"
)

var timing = Timing{Duration: time.Second, ClockDrift: 0.05, RenewInterval: 250 * time.Millisecond}

func newClient(t *testing.T, name string) *Client {
	t.Helper()
	c, err := NewClient(Owner{name, 1}, timing, []string{"probe"})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// clockOffset is by how much the clock of pair's b is ahead of a's.
const clockOffset = 50 * time.Hour

// pair is two clients that apply the same log. Its methods take readings of a's
// clock.
type pair struct {
	t     *testing.T
	a, b  *Client
	index uint64 // of the latest log entry
}

// commit has both clients apply commands; it returns the changes that a reports.
func (p *pair) commit(now time.Duration, commands []Command) (changes []OwnerChange) {
	for _, command := range commands {
		p.index++
		token := Token{1, p.index}
		if change := p.a.Apply(command, token, now+10*time.Millisecond); change != nil {
			changes = append(changes, *change)
		}
		p.b.Apply(command, token, now+clockOffset)
	}
	return changes
}

func (p *pair) tickB(now time.Duration, mayAcquire bool) []Command {
	return p.b.Tick(now+clockOffset, mayAcquire)
}

func (p *pair) wantHolds(c *Client, now time.Duration, want bool, what string) {
	p.t.Helper()
	if _, holds := c.Holds("probe", now); holds != want {
		p.t.Errorf("%s: holds %t, want %t", what, holds, want)
	}
}

func (p *pair) wantCommands(got []Command, what string, kinds ...CommandKind) {
	p.t.Helper()
	var gotKinds []CommandKind
	for _, command := range got {
		gotKinds = append(gotKinds, command.Kind)
	}
	if !slices.Equal(gotKinds, kinds) {
		p.t.Errorf("%s: sends %v, want %v", what, gotKinds, kinds)
	}
}

func (p *pair) wantChanges(got []OwnerChange, what string, want ...OwnerChange) {
	p.t.Helper()
	if !slices.Equal(got, want) {
		p.t.Fatalf("%s: changes %v, want %v", what, got, want)
	}
}

// TestLeaseLifecycle acquires a lease, renews it, lets it expire and pass to
// another client, and releases it.
func TestLeaseLifecycle(t *testing.T) {
	p := &pair{t: t, a: newClient(t, "a"), b: newClient(t, "b")}
	const ms = time.Millisecond

	acquire := p.a.Tick(0, true)
	p.wantCommands(acquire, "a client that may acquire", Acquire)
	p.wantCommands(p.tickB(0, false), "a client that may not acquire")
	p.wantChanges(p.commit(0, acquire), "an Acquire of a free lease",
		OwnerChange{"probe", Owner{}, Owner{"a", 1}, Token{1, 1}})
	if token, holds := p.a.Holds("probe", 949*ms); !holds || token != (Token{1, 1}) {
		t.Errorf("before the duration less the drift: holds %t, token %v", holds, token)
	}
	p.wantHolds(p.a, 950*ms, false, "after the duration less the drift")

	p.wantCommands(p.a.Tick(240*ms, true), "before the renewal interval has passed")
	p.wantChanges(p.commit(300*ms, p.a.Tick(300*ms, false)), "a renewal")
	p.wantHolds(p.a, 1200*ms, true, "after a renewal")
	p.wantCommands(p.tickB(1300*ms, true), "before the renewed lease has expired")

	lateRenewal := p.a.Tick(600*ms, false)
	takeOver := p.tickB(1350*ms, true)
	p.wantCommands(takeOver, "after the renewed lease has expired", Acquire)
	p.wantChanges(p.commit(1350*ms, takeOver), "an Acquire of an expired lease",
		OwnerChange{"probe", Owner{"a", 1}, Owner{"b", 1}, Token{1, 3}})
	p.wantCommands(lateRenewal, "after the renewal interval", Renew)
	p.wantChanges(p.commit(1360*ms, lateRenewal), "a renewal after the lease has passed on")
	p.wantHolds(p.a, 700*ms, false, "a lease that has passed on")

	release := p.b.Resign(1400*ms + clockOffset)
	p.wantHolds(p.b, 1400*ms+clockOffset, false, "after resigning")
	p.wantCommands(release, "a client that resigns", Release)
	p.commit(1400*ms, release)
	p.wantCommands(p.a.Tick(1700*ms, true), "a released lease is free at once", Acquire)
	p.wantCommands(p.tickB(5000*ms, true), "a client that has resigned")
}

// TestRestore has a client catch up by a snapshot: it reports the owner changes
// in it, stops holding a lease that has passed on, and waits for the new owner's
// full duration.
func TestRestore(t *testing.T) {
	a, b := newClient(t, "a"), newClient(t, "b")
	a.Apply(a.Tick(0, true)[0], Token{1, 1}, 0)
	b.Apply(Command{Kind: Acquire, Lease: "probe", Owner: Owner{"b", 1}, Nonce: 9}, Token{2, 5}, 0)
	changes := a.Restore(*b.Table(), 500*time.Millisecond)
	if !slices.Equal(changes, []OwnerChange{{"probe", Owner{"a", 1}, Owner{"b", 1}, Token{2, 5}}}) {
		t.Errorf("changes: %v", changes)
	}
	if _, holds := a.Holds("probe", 500*time.Millisecond); holds {
		t.Error("holds a lease that has passed on")
	}
	if len(a.Tick(1540*time.Millisecond, true)) != 0 || len(a.Tick(1550*time.Millisecond, true)) != 1 {
		t.Error("does not send an Acquire the duration plus the drift after the snapshot")
	}
}
