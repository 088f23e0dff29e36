package fleet

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"quincerail.example/quincerail/fleet/consensus"
	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/fleet/quota"
	"quincerail.example/quincerail/fleet/rollout"
	"quincerail.example/quincerail/internal/golden"
	"quincerail.example/quincerail/logging"
)

// goldenMachine makes a voter's machine; it wants the leases named.
func goldenMachine(t *testing.T, self string, wanted ...string) *stateMachine {
	t.Helper()
	member, err := lease.NewClient(lease.Owner{Member: self, Incarnation: newIncarnation()},
		lease.Timing{Duration: time.Second, ClockDrift: 0.05, RenewInterval: time.Second / 4}, wanted)
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	return &stateMachine{
		log: logging.Discard(), fence: &lease.Fence{}, leaseClient: member, ownerChanged: make(chan struct{}, 1),
		clock: func() time.Duration { return time.Since(began) }, waiters: map[uint64]chan error{},
		allocators:        map[string]*quota.Allocator{CallQuota: quota.NewAllocator(8), RetryQuota: quota.NewAllocator(100)},
		onAccountsChanged: func(string, []quota.Delta) {},
	}
}

// goldenEntry is an entry of the voters' log, and the name of its golden file.
type goldenEntry struct {
	name string
	c    command
}

// goldenEntries are one for each kind of command, and the last of them an old
// owner's, which is refused; the first has index 1.
func goldenEntries() []goldenEntry {
	owner := lease.Owner{Member: "v1", Incarnation: 1 << 62}
	registry, bank, driver := lease.Token{Term: 1, Index: 1}, lease.Token{Term: 1, Index: 4}, lease.Token{Term: 1, Index: 5}
	a, b := quota.ID{Member: "a", Incarnation: 1 << 61}, quota.ID{Member: "b", Incarnation: 1}
	plan := &rollout.Plan{
		ID: "r1", Kind: rollout.Program, From: "1", To: "2", MinWatchWindows: 1, MaxWatchWindows: 2, Limits: rollout.DefaultLimits(),
		Servers: []rollout.Server{{Name: "a", Zone: "z"}, {Name: "b", Zone: "z"}}, Stages: []rollout.Stage{{Share: 1, BakeWindows: 1, MinRequests: 1, MaxWindows: 9}},
	}
	leases := func(c lease.Command) command { return command{Command: &c} }
	banks := func(of string, token lease.Token, o quota.Command) command {
		return command{Quota: &quotaCommand{QuotaName: of, Token: token, Command: o}}
	}
	rollouts := func(o rolloutCommand) command { return command{Rollout: &o} }
	return []goldenEntry{
		{"entry-lease-take.json", leases(lease.Command{Kind: lease.Acquire, Lease: HealthLease, Owner: owner, Nonce: 1})},
		{"entry-lease-renew.json", leases(lease.Command{Kind: lease.Renew, Lease: HealthLease, Owner: owner, Token: registry, Nonce: 2})},
		{"entry-lease-release.json", leases(lease.Command{Kind: lease.Release, Lease: HealthLease, Owner: owner, Token: registry, Nonce: 3})},
		{"entry-lease-take-bank.json", leases(lease.Command{Kind: lease.Acquire, Lease: QuotaLease, Owner: owner, Nonce: 4})},
		{"entry-lease-take-rollout.json", leases(lease.Command{Kind: lease.Acquire, Lease: RolloutLease, Owner: lease.Owner{Member: "v2", Incarnation: 7}, Nonce: 1})},
		{"entry-bank-grant.json", banks(CallQuota, bank, quota.Command{Kind: quota.Grant, Target: a, Amount: 5})},
		{"entry-bank-grant-another.json", banks(CallQuota, bank, quota.Command{Kind: quota.Grant, Target: b, Amount: 2})},
		{"entry-bank-repeats.json", banks(RetryQuota, bank, quota.Command{Kind: quota.Grant, Target: a, Amount: 10})},
		{"entry-bank-fence.json", banks(CallQuota, bank, quota.Command{Kind: quota.Fence, Target: b})},
		{"entry-bank-settle.json", banks(CallQuota, bank, quota.Command{Kind: quota.Reclaim, Reports: map[quota.ID]map[quota.ID]quota.TransferReport{b: {a: {Received: 1}}}})},
		{"entry-rollout-start.json", rollouts(rolloutCommand{Nonce: 1 << 63, Command: rollout.Command{Kind: rollout.Start, Plan: plan}})},
		{"entry-rollout-step.json", rollouts(rolloutCommand{Token: driver, Command: rollout.Command{
			Kind: rollout.Step, PreviousIndex: 11,
			State:    rollout.State{Phase: rollout.Watching, Window: 1, WindowsInPhase: 1, Histories: map[string]rollout.History{"a": {Requests: 10, Late: 1}}},
			Decision: rollout.Decision{Verdict: rollout.Wait, Reason: "watching"},
		}})},
		{"entry-rollout-stop.json", rollouts(rolloutCommand{Nonce: 8, Command: rollout.Command{Kind: rollout.Stop, ID: "r1", Reason: "halted"}})},
		{"entry-bank-stale.json", banks(CallQuota, registry, quota.Command{Kind: quota.Grant, Target: a, Amount: 1})},
	}
}

// TestGoldenEntries writes each entry, and has a machine apply the golden ones:
// what they come to is the golden snapshot, which another machine takes over.
func TestGoldenEntries(t *testing.T) {
	m := goldenMachine(t, "v3")
	for i, e := range goldenEntries() {
		written := encodeCommands(m.log, e.c)
		if len(written) != 1 {
			t.Fatalf("%s was not encoded", e.name)
		}
		golden.Equal(t, e.name, written[0])
		golden.Decodes(t, e.name, e.c, json.Unmarshal)
		m.Apply(golden.Bytes(t, e.name), 1, uint64(i+1))
	}
	snap, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "snapshot.json", snap)

	m = goldenMachine(t, "v3")
	if err := m.Restore(golden.Bytes(t, "snapshot.json")); err != nil {
		t.Fatal(err)
	}
	if snap, err = m.Snapshot(); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "snapshot.json", snap)
	if owner, token := m.grant(RolloutLease); owner != "v2" || token != (lease.Token{Term: 1, Index: 5}) {
		t.Errorf("%s owns the lease on rollouts under %v", owner, token)
	}
	if owner, _ := m.grant(HealthLease); owner != "" {
		t.Errorf("%s owns the lease that was given up", owner)
	}
	// 5 and 2 of 8 were granted, and of the 2 one is with the other member for good.
	if m.freeRights(CallQuota) != 2 || m.freeRights(RetryQuota) != 90 {
		t.Errorf("%d calls and %d repeats are free", m.freeRights(CallQuota), m.freeRights(RetryQuota))
	}
	if r := m.rolloutRecord(); r.Plan.ID != "r1" || r.State.Phase != rollout.RollingBack || r.Index != 13 {
		t.Errorf("the record: %+v", r)
	}
}

// TestGoldenSnapshotOfNothing takes over the snapshot of a log that came to
// nothing yet.
func TestGoldenSnapshotOfNothing(t *testing.T) {
	snap, err := goldenMachine(t, "v3").Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "snapshot-new.json", snap)
	m := goldenMachine(t, "v3")
	if err := m.Restore(golden.Bytes(t, "snapshot-new.json")); err != nil {
		t.Fatal(err)
	}
	if owner, token := m.grant(HealthLease); owner != "" || token != (lease.Token{}) || m.freeRights(CallQuota) != 8 || m.rolloutRecord().Plan != nil {
		t.Errorf("%s owns under %v, %d free, %+v", owner, token, m.freeRights(CallQuota), m.rolloutRecord())
	}
}

// startGolden starts a voter on a copy of its golden log.
func startGolden(t *testing.T, self string, m *stateMachine, send func(to string, message []byte)) *consensus.Node {
	t.Helper()
	o := consensus.Options{
		Self: self, Voters: map[string]string{"v1": "10.0.0.1:7000", "v2": "10.0.0.2:7000", "v3": "10.0.0.3:7000"},
		ElectionTimeout: time.Second, Dir: golden.CopyFolder(t, "log-"+self), StateMachine: m, Send: send, Logger: logging.Discard(),
	}
	o.Join = self == "v4"
	n, err := consensus.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestGoldenLogs recovers the logs of two voters, a founder and one that joined
// the group: each comes to the state and the group that they had.
func TestGoldenLogs(t *testing.T) {
	for _, self := range []string{"v1", "v4"} {
		synctest.Test(t, func(t *testing.T) {
			m := goldenMachine(t, self)
			n := startGolden(t, self, m, func(string, []byte) {})
			synctest.Wait()
			snap, err := m.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			golden.Equal(t, "logs-state.json", snap)
			voters, err := json.Marshal(n.Voters())
			if err != nil {
				t.Fatal(err)
			}
			golden.Equal(t, "logs-voters.json", voters)
			if err := n.Stop(); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestGoldenLogsGoOn has the two voters, a majority of their group, go on from
// their golden logs: they elect a leader, which takes the leases under tokens that
// have grown, and the budgets and the record of rollouts stay.
func TestGoldenLogsGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, after := goldenMachine(t, "v2"), goldenMachine(t, "v2")
		if err := before.Restore(golden.Bytes(t, "logs-state.json")); err != nil {
			t.Fatal(err)
		}
		nodes, machines := map[string]*consensus.Node{}, map[string]*stateMachine{}
		ready := make(chan struct{})
		for _, self := range []string{"v1", "v4"} {
			machines[self] = goldenMachine(t, self, HealthLease, QuotaLease, RolloutLease)
			nodes[self] = startGolden(t, self, machines[self], func(to string, message []byte) {
				select {
				case <-ready: // all nodes are known
					if n := nodes[to]; n != nil {
						n.Receive(message)
					}
				default:
				}
			})
		}
		close(ready)
		time.Sleep(20 * time.Second) // of the bubble's clock
		for _, n := range nodes {
			if err := n.Stop(); err != nil {
				t.Error(err)
			}
		}
		snap, err := machines["v4"].Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := after.Restore(snap); err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{HealthLease, QuotaLease, RolloutLease} {
			_, was := before.grant(name)
			if owner, token := after.grant(name); token.Compare(was) <= 0 || machines[owner] == nil {
				t.Errorf("%s: %s owns it under %v, after %v", name, owner, token, was)
			}
		}
		if !reflect.DeepEqual(after.allocators, before.allocators) || !reflect.DeepEqual(after.rolloutRecord(), before.rolloutRecord()) {
			t.Errorf("the budgets or the record changed: %s", snap)
		}
	})
}

// goldenTotals are what the golden report counts.
func goldenTotals() (totals rollout.Totals) {
	totals.Requests, totals.Rejected, totals.Late, totals.Failed = 1<<33, 5, 6, 7
	for i := range totals.SlowerThan {
		totals.SlowerThan[i] = uint64(100 - i)
	}
	return totals
}

// goldenTarget counts what the golden report says.
type goldenTarget struct{}

// Totals implements Target.
func (goldenTarget) Totals() rollout.Totals { return goldenTotals() }

// Apply implements Target.
func (goldenTarget) Apply(json.RawMessage) error { return nil }

// goldenFleet makes a member without a network.
func goldenFleet(t *testing.T, self string) *Fleet {
	t.Helper()
	f := &Fleet{
		config: Config{Self: self, Zone: "z1", Version: "2"}, log: logging.Discard(), self: lease.Owner{Member: self, Incarnation: 1 << 62},
		quotaAgents: map[string]*QuotaAgent{}, gossipStarted: make(chan struct{}),
	}
	f.healthView = &healthView{log: f.log, fence: &lease.Fence{}, latest: map[string]DependencyHealth{}, maxAge: time.Hour}
	for kind, first := range map[string][2]byte{CallQuota: {updateCallsQuota, requestCallsTransfer}, RetryQuota: {updateRetryQuota, requestRetryTransfer}} {
		b, err := newQuotaAgent(kind, first[0], first[1], 8, quota.Timing{SessionTimeout: time.Second, HeartbeatInterval: time.Second / 10}, f, func() time.Duration { return 0 })
		if err != nil {
			t.Fatal(err)
		}
		f.quotaAgents[kind] = b
	}
	f.rolloutDriver = newRolloutDriver(f)
	f.SetRolloutTarget(goldenTarget{})
	return f
}

// goldenItem and goldenAsk are of the golden pieces about budgets. The maps have
// one entry each, as the order of more is not fixed.
var (
	goldenItem = quota.Delta{ID: quota.ID{Member: "a", Incarnation: 1 << 61}, MemberState: &quota.MemberState{
		Heartbeat: 300, Surplus: 5,
		Counters: map[string]quota.PNCounter{"answered": {Increments: 9}},
	}, Account: &quota.Account{LogIndex: 12, Granted: 40, Fenced: true}}
	goldenAsk = quota.TransferRequest{From: quota.ID{Member: "b", Incarnation: 1}, Amount: 3, Account: quota.Account{LogIndex: 13, Granted: 2}}
)

// TestGoldenBudgetPieces writes and reads what members tell each other about the
// budgets, with the byte that says what a piece is.
func TestGoldenBudgetPieces(t *testing.T) {
	for _, kind := range []string{CallQuota, RetryQuota} {
		writer, reader := goldenFleet(t, "m1"), goldenFleet(t, "m2")
		b := writer.quotaAgents[kind]
		golden.Equal(t, kind+"-item", b.encodeUpdate(goldenItem))
		b.aliveMembers = func() []string { return []string{"m1", "m2"} }
		b.send = func(to string, piece []byte) {
			if to != "m2" {
				t.Errorf("%s was asked", to)
			}
			golden.Equal(t, kind+"-ask", piece)
		}
		b.requestTransfer(goldenAsk, nil)

		b = reader.quotaAgents[kind]
		if about, isNews := (delegate{reader}).MergeUpdate(golden.Bytes(t, kind+"-item")); !isNews || about != kind+" row a/2305843009213693952" {
			t.Errorf("the item is about %q, news: %t", about, isNews)
		}
		delegate{reader}.MergeUpdate(golden.Bytes(t, kind+"-ask"))
		if !reflect.DeepEqual(b.member.State().Accounts[goldenAsk.From], &goldenAsk.Account) {
			t.Errorf("%s: after the ask: %+v", kind, b.member.State().Accounts[goldenAsk.From])
		}
		state := b.member.State()
		if !reflect.DeepEqual(state.Members[goldenItem.ID], goldenItem.MemberState) || !reflect.DeepEqual(state.Accounts[goldenItem.ID], goldenItem.Account) {
			t.Errorf("%s: after the item: %+v, %+v", kind, state.Members[goldenItem.ID], state.Accounts[goldenItem.ID])
		}
	}
}

// TestGoldenRolloutPieces writes and reads a member's report to a voter, and the
// owner's direction to a member.
func TestGoldenRolloutPieces(t *testing.T) {
	member, voter := goldenFleet(t, "m1"), goldenFleet(t, "v1")
	member.rolloutDriver.aliveVoters = func() []string { return []string{"v1"} }
	member.rolloutDriver.send = func(_ string, piece []byte) { golden.Equal(t, "report", piece) }
	member.rolloutDriver.sendReport(true)
	delegate{voter}.MergeUpdate(golden.Bytes(t, "report"))
	want := rollout.Report{Server: "m1", Zone: "z1", Incarnation: 1 << 62, Sequence: 1, Version: "2", Leaving: true, Totals: goldenTotals()}
	if got := voter.rolloutDriver.collector.LatestReports(); !reflect.DeepEqual(got, []rollout.Report{want}) {
		t.Errorf("reports %+v, want %+v", got, want)
	}

	voter = goldenFleet(t, "v1")
	voter.rolloutDriver.collector.Observe(rollout.Report{Server: "m1", Incarnation: 1, Sequence: 1})
	sent := make(chan []byte, 1)
	voter.rolloutDriver.sendReliable = func(_ string, piece []byte) error {
		sent <- piece
		return nil
	}
	token := lease.Token{Term: 2, Index: 300}
	patch := json.RawMessage(`{"queue":null}`)
	voter.rolloutDriver.sendDirectives(&rollout.Record{Index: 90, LastSettings: 3, CurrentSettings: 3, Patches: map[uint64]json.RawMessage{3: patch}}, token)
	golden.Equal(t, "direction", <-sent)
	delegate{member}.MergeUpdate(golden.Bytes(t, "direction"))
	if got, want := <-member.rolloutDriver.directives, (rollout.Directive{Token: token, Index: 90, SettingsNumber: 3, Patch: patch}); !reflect.DeepEqual(got, want) {
		t.Errorf("direction %+v, want %+v", got, want)
	}
}

// TestGoldenDependencyHealth writes and reads the word on the shared dependency, as
// members hear it and as the operator's registry is told it.
func TestGoldenDependencyHealth(t *testing.T) {
	j := DependencyHealth{Lease: HealthLease, Token: lease.Token{Term: 2, Index: 300}, Sequence: 9, ProbedBy: "v1", State: DependencySlow, ProbeDuration: 31 * time.Millisecond}
	writer, reader := goldenFleet(t, "v1"), goldenFleet(t, "m1")
	writer.quotaAgents, writer.healthView.latest[HealthLease] = nil, j
	pieces := (delegate{writer}).KnownUpdates()
	if len(pieces) != 1 {
		t.Fatalf("%d pieces", len(pieces))
	}
	golden.Equal(t, "judgement", pieces[0])
	if about, isNews := (delegate{reader}).MergeUpdate(golden.Bytes(t, "judgement")); about != HealthLease || !isNews || reader.DependencyHealth() != j {
		t.Errorf("about %q, news: %t, %+v", about, isNews, reader.DependencyHealth())
	}

	asked := make(chan []byte, 1)
	registry := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || r.Method != http.MethodPut {
			body = nil
		}
		asked <- body
	}))
	defer registry.Close()
	if err := publishHealth(t.Context(), registry.Client(), registry.URL, j); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "publish.json", <-asked)
	golden.RoundTrip(t, "states.json", []DependencyState{DependencyUnknown, DependencyGood, DependencySlow, DependencyDown}, json.Marshal, json.Unmarshal)
}
