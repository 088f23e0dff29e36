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

// clockOffset is the difference between b's and a's clock in a clientPair.
const clockOffset = 50 * time.Hour

// clientPair has two clients that apply the same log. Its methods except wantHolds
// take readings of a's clock.
type clientPair struct {
	t     *testing.T
	a, b  *Client
	index uint64 // of the latest log entry
}

// commit applies commands to b now and to a 10 ms later, and returns the owner
// changes that a reports.
func (p *clientPair) commit(now time.Duration, commands []Command) (changes []OwnerChange) {
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

// tickB calls b's Tick at a reading of a's clock.
func (p *clientPair) tickB(now time.Duration, mayAcquire bool) []Command {
	return p.b.Tick(now+clockOffset, mayAcquire)
}

// wantHolds checks Holds at a reading of the client's own clock.
func (p *clientPair) wantHolds(c *Client, now time.Duration, want bool, when string) {
	p.t.Helper()
	if _, holds := c.Holds("probe", now); holds != want {
		p.t.Errorf("%s: Holds(probe, %v) = %t, want %t", when, now, holds, want)
	}
}

func (p *clientPair) wantCommands(got []Command, when string, kinds ...CommandKind) {
	p.t.Helper()
	var gotKinds []CommandKind
	for _, command := range got {
		gotKinds = append(gotKinds, command.Kind)
	}
	if !slices.Equal(gotKinds, kinds) {
		p.t.Errorf("%s: commands of kinds %v, want %v", when, gotKinds, kinds)
	}
}

func (p *clientPair) wantChanges(got []OwnerChange, when string, want ...OwnerChange) {
	p.t.Helper()
	if !slices.Equal(got, want) {
		p.t.Fatalf("%s: owner changes %v, want %v", when, got, want)
	}
}

// TestClient_AcquireRenewExpireRelease acquires and renews a lease, lets it
// expire, acquires it from another client, and releases it.
func TestClient_AcquireRenewExpireRelease(t *testing.T) {
	p := &clientPair{t: t, a: newClient(t, "a"), b: newClient(t, "b")}
	const ms = time.Millisecond

	acquire := p.a.Tick(0, true)
	p.wantCommands(acquire, "free lease, mayAcquire set", Acquire)
	p.wantCommands(p.tickB(0, false), "free lease, mayAcquire not set")
	p.wantChanges(p.commit(0, acquire), "Acquire of a free lease",
		OwnerChange{"probe", Owner{}, Owner{"a", 1}, Token{1, 1}})
	if token, holds := p.a.Holds("probe", 949*ms); !holds || token != (Token{1, 1}) {
		t.Errorf("just before Duration*(1-ClockDrift): Holds = %v, %t, want token 1.1, true", token, holds)
	}
	p.wantHolds(p.a, 950*ms, false, "at Duration*(1-ClockDrift)")

	p.wantCommands(p.a.Tick(240*ms, true), "before RenewInterval has passed")
	p.wantChanges(p.commit(300*ms, p.a.Tick(300*ms, false)), "renewal")
	p.wantHolds(p.a, 1200*ms, true, "after the renewal")
	p.wantCommands(p.tickB(1300*ms, true), "before the renewed lease has expired")

	lateRenewal := p.a.Tick(600*ms, false)
	takeOver := p.tickB(1350*ms, true)
	p.wantCommands(takeOver, "after the renewed lease has expired", Acquire)
	p.wantChanges(p.commit(1350*ms, takeOver), "Acquire of an expired lease",
		OwnerChange{"probe", Owner{"a", 1}, Owner{"b", 1}, Token{1, 3}})
	p.wantCommands(lateRenewal, "after RenewInterval", Renew)
	p.wantChanges(p.commit(1360*ms, lateRenewal), "renewal after another client acquired the lease")
	p.wantHolds(p.a, 700*ms, false, "after another client acquired the lease")

	release := p.b.Resign(1400*ms + clockOffset)
	p.wantHolds(p.b, 1400*ms+clockOffset, false, "after Resign")
	p.wantCommands(release, "Resign", Release)
	p.commit(1400*ms, release)
	p.wantCommands(p.a.Tick(1700*ms, true), "lease released by another client", Acquire)
	p.wantCommands(p.tickB(5000*ms, true), "client that has resigned")
}

// TestClientRestore_ReportsOwnerChangeAndWaitsFullDuration restores a snapshot in
// which the lease has a new owner: the client reports the change, stops holding
// the lease, and waits for the new owner's full duration before an Acquire.
func TestClientRestore_ReportsOwnerChangeAndWaitsFullDuration(t *testing.T) {
	a, b := newClient(t, "a"), newClient(t, "b")
	a.Apply(a.Tick(0, true)[0], Token{1, 1}, 0)
	b.Apply(Command{Kind: Acquire, Lease: "probe", Owner: Owner{"b", 1}, Nonce: 9}, Token{2, 5}, 0)
	changes := a.Restore(*b.Table(), 500*time.Millisecond)
	if !slices.Equal(changes, []OwnerChange{{"probe", Owner{"a", 1}, Owner{"b", 1}, Token{2, 5}}}) {
		t.Errorf("Restore returned the owner changes %v, want one from a to b with token 2.5", changes)
	}
	if _, holds := a.Holds("probe", 500*time.Millisecond); holds {
		t.Error("a holds the lease after Restore of a snapshot in which b owns it")
	}
	if len(a.Tick(1540*time.Millisecond, true)) != 0 || len(a.Tick(1550*time.Millisecond, true)) != 1 {
		t.Error("Tick did not return its first command exactly Duration*(1+ClockDrift) after Restore")
	}
}
