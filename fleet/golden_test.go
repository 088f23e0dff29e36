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

// goldenMachine returns a voter's state machine that competes for the wanted leases.
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

// goldenEntries returns entries of every kind of command; the first has index 1. The last
// one has the token of another lease, so that the state machine rejects it.
func goldenEntries() []goldenEntry {
	owner := lease.Owner{Member: "v1", Incarnation: 1 << 62}
	healthToken, quotaToken, rolloutToken := lease.Token{Term: 1, Index: 1}, lease.Token{Term: 1, Index: 4}, lease.Token{Term: 1, Index: 5}
	a, b := quota.ID{Member: "a", Incarnation: 1 << 61}, quota.ID{Member: "b", Incarnation: 1}
	plan := &rollout.Plan{
		ID: "r1", Kind: rollout.Program, From: "1", To: "2", MinWatchWindows: 1, MaxWatchWindows: 2, Limits: rollout.DefaultLimits(),
		Servers: []rollout.Server{{Name: "a", Zone: "z"}, {Name: "b", Zone: "z"}}, Stages: []rollout.Stage{{Share: 1, BakeWindows: 1, MinRequests: 1, MaxWindows: 9}},
	}
	leases := func(c lease.Command) command { return command{Command: &c} }
	quotas := func(name string, token lease.Token, c quota.Command) command {
		return command{Quota: &quotaCommand{QuotaName: name, Token: token, Command: c}}
	}
	rollouts := func(c rolloutCommand) command { return command{Rollout: &c} }
	return []goldenEntry{
		{"entry-lease-take.json", leases(lease.Command{Kind: lease.Acquire, Lease: HealthLease, Owner: owner, Nonce: 1})},
		{"entry-lease-renew.json", leases(lease.Command{Kind: lease.Renew, Lease: HealthLease, Owner: owner, Token: healthToken, Nonce: 2})},
		{"entry-lease-release.json", leases(lease.Command{Kind: lease.Release, Lease: HealthLease, Owner: owner, Token: healthToken, Nonce: 3})},
		{"entry-lease-take-bank.json", leases(lease.Command{Kind: lease.Acquire, Lease: QuotaLease, Owner: owner, Nonce: 4})},
		{"entry-lease-take-rollout.json", leases(lease.Command{Kind: lease.Acquire, Lease: RolloutLease, Owner: lease.Owner{Member: "v2", Incarnation: 7}, Nonce: 1})},
		{"entry-bank-grant.json", quotas(CallQuota, quotaToken, quota.Command{Kind: quota.Grant, Target: a, Amount: 5})},
		{"entry-bank-grant-another.json", quotas(CallQuota, quotaToken, quota.Command{Kind: quota.Grant, Target: b, Amount: 2})},
		{"entry-bank-repeats.json", quotas(RetryQuota, quotaToken, quota.Command{Kind: quota.Grant, Target: a, Amount: 10})},
		{"entry-bank-fence.json", quotas(CallQuota, quotaToken, quota.Command{Kind: quota.Fence, Target: b})},
		{"entry-bank-settle.json", quotas(CallQuota, quotaToken, quota.Command{Kind: quota.Reclaim, Reports: map[quota.ID]map[quota.ID]quota.TransferReport{b: {a: {Received: 1}}}})},
		{"entry-rollout-start.json", rollouts(rolloutCommand{Nonce: 1 << 63, Command: rollout.Command{Kind: rollout.Start, Plan: plan}})},
		{"entry-rollout-step.json", rollouts(rolloutCommand{Token: rolloutToken, Command: rollout.Command{
			Kind: rollout.Step, PreviousIndex: 11,
			State:    rollout.State{Phase: rollout.Watching, Window: 1, WindowsInPhase: 1, Histories: map[string]rollout.History{"a": {Requests: 10, Late: 1}}},
			Decision: rollout.Decision{Verdict: rollout.Wait, Reason: "watching"},
		}})},
		{"entry-rollout-stop.json", rollouts(rolloutCommand{Nonce: 8, Command: rollout.Command{Kind: rollout.Stop, ID: "r1", Reason: "halted"}})},
		{"entry-bank-stale.json", quotas(CallQuota, healthToken, quota.Command{Kind: quota.Grant, Target: a, Amount: 1})},
	}
}

// TestGolden_LogEntries checks the encoding of each entry, and that applying the golden
// entries gives the golden snapshot, which another state machine can restore.
func TestGolden_LogEntries(t *testing.T) {
	m := goldenMachine(t, "v3")
	for i, e := range goldenEntries() {
		written := encodeCommands(m.log, e.c)
		if len(written) != 1 {
			t.Fatalf("encodeCommands(%s) gave %d entries, want 1", e.name, len(written))
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
		t.Errorf("grant(%s) = %s, %v; want v2, 1.5", RolloutLease, owner, token)
	}
	if owner, _ := m.grant(HealthLease); owner != "" {
		t.Errorf("%s owns the lease %s after its release, want no owner", owner, HealthLease)
	}
	// 5 and 2 of 8 call rights were granted; 1 of the 2 was transferred and the other reclaimed.
	if m.freeRights(CallQuota) != 2 || m.freeRights(RetryQuota) != 90 {
		t.Errorf("free rights: %d calls, %d retries; want 2, 90", m.freeRights(CallQuota), m.freeRights(RetryQuota))
	}
	if r := m.rolloutRecord(); r.Plan.ID != "r1" || r.State.Phase != rollout.RollingBack || r.Index != 13 {
		t.Errorf("rollout record = %+v, want plan r1, phase %s and index 13", r, rollout.RollingBack)
	}
}

// TestGolden_SnapshotOfNewStateMachine checks the snapshot of a state machine without
// entries.
func TestGolden_SnapshotOfNewStateMachine(t *testing.T) {
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
		t.Errorf("after Restore: health lease has owner %q and token %v, %d call rights are free, record %+v; want no owner, the zero token, 8 and no plan",
			owner, token, m.freeRights(CallQuota), m.rolloutRecord())
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

// TestGolden_RecoversLogs recovers the logs of two voters, a founder and one that joined the
// group. Each must reach the golden state and the golden group.
func TestGolden_RecoversLogs(t *testing.T) {
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

// TestGolden_ContinuesFromLogs runs the two voters, a majority of their group, from their
// golden logs. They must elect a leader, which must acquire the leases with higher tokens.
// The allocators and the rollout record must not change.
func TestGolden_ContinuesFromLogs(t *testing.T) {
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
		time.Sleep(20 * time.Second) // by the fake clock of synctest
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
				t.Errorf("lease %s: owner %s with token %v, want a token above %v", name, owner, token, was)
			}
		}
		if !reflect.DeepEqual(after.allocators, before.allocators) || !reflect.DeepEqual(after.rolloutRecord(), before.rolloutRecord()) {
			t.Errorf("the allocators or the rollout record changed: %s", snap)
		}
	})
}

// goldenTotals returns the totals of the golden report.
func goldenTotals() (totals rollout.Totals) {
	totals.Requests, totals.Rejected, totals.Late, totals.Failed = 1<<33, 5, 6, 7
	for i := range totals.SlowerThan {
		totals.SlowerThan[i] = uint64(100 - i)
	}
	return totals
}

// goldenTarget is a RolloutTarget with the totals of the golden report.
type goldenTarget struct{}

// Totals implements RolloutTarget.
func (goldenTarget) Totals() rollout.Totals { return goldenTotals() }

// Apply implements RolloutTarget.
func (goldenTarget) Apply(json.RawMessage) error { return nil }

// goldenFleet returns a member without a network.
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

// goldenDelta and goldenRequest are the quota update and the transfer request of the golden
// files. Their maps have one entry each, because the encoding of several has no fixed
// order.
var (
	goldenDelta = quota.Delta{ID: quota.ID{Member: "a", Incarnation: 1 << 61}, MemberState: &quota.MemberState{
		Heartbeat: 300, Surplus: 5,
		Counters: map[string]quota.PNCounter{"answered": {Increments: 9}},
	}, Account: &quota.Account{LogIndex: 12, Granted: 40, Fenced: true}}
	goldenRequest = quota.TransferRequest{From: quota.ID{Member: "b", Incarnation: 1}, Amount: 3, Account: quota.Account{LogIndex: 13, Granted: 2}}
)

// TestGolden_QuotaMessages checks the encoding and the handling of quota updates and transfer
// requests, including the byte for the kind of message.
func TestGolden_QuotaMessages(t *testing.T) {
	for _, kind := range []string{CallQuota, RetryQuota} {
		writer, reader := goldenFleet(t, "m1"), goldenFleet(t, "m2")
		b := writer.quotaAgents[kind]
		golden.Equal(t, kind+"-item", b.encodeUpdate(goldenDelta))
		b.aliveMembers = func() []string { return []string{"m1", "m2"} }
		b.send = func(to string, message []byte) {
			if to != "m2" {
				t.Errorf("transfer request sent to %s, want m2", to)
			}
			golden.Equal(t, kind+"-ask", message)
		}
		b.requestTransfer(goldenRequest, nil)

		b = reader.quotaAgents[kind]
		if topic, isNew := (delegate{reader}).MergeUpdate(golden.Bytes(t, kind+"-item")); !isNew || topic != kind+" row a/2305843009213693952" {
			t.Errorf("MergeUpdate(%s-item) = %q, %t; want the member state's topic, true", kind, topic, isNew)
		}
		delegate{reader}.MergeUpdate(golden.Bytes(t, kind+"-ask"))
		if !reflect.DeepEqual(b.member.State().Accounts[goldenRequest.From], &goldenRequest.Account) {
			t.Errorf("%s: account after the transfer request = %+v, want %+v", kind, b.member.State().Accounts[goldenRequest.From], goldenRequest.Account)
		}
		state := b.member.State()
		if !reflect.DeepEqual(state.Members[goldenDelta.ID], goldenDelta.MemberState) || !reflect.DeepEqual(state.Accounts[goldenDelta.ID], goldenDelta.Account) {
			t.Errorf("%s: state and account after the update = %+v, %+v, want %+v, %+v",
				kind, state.Members[goldenDelta.ID], state.Accounts[goldenDelta.ID], goldenDelta.MemberState, goldenDelta.Account)
		}
	}
}

// TestGolden_RolloutMessages checks the encoding and the handling of a member's report to a
// voter, and of the owner's directive to a member.
func TestGolden_RolloutMessages(t *testing.T) {
	member, voter := goldenFleet(t, "m1"), goldenFleet(t, "v1")
	member.rolloutDriver.aliveVoters = func() []string { return []string{"v1"} }
	member.rolloutDriver.send = func(_ string, message []byte) { golden.Equal(t, "report", message) }
	member.rolloutDriver.sendReport(true)
	delegate{voter}.MergeUpdate(golden.Bytes(t, "report"))
	want := rollout.Report{Server: "m1", Zone: "z1", Incarnation: 1 << 62, Sequence: 1, Version: "2", Leaving: true, Totals: goldenTotals()}
	if got := voter.rolloutDriver.collector.LatestReports(); !reflect.DeepEqual(got, []rollout.Report{want}) {
		t.Errorf("latest reports = %+v, want only %+v", got, want)
	}

	voter = goldenFleet(t, "v1")
	voter.rolloutDriver.collector.Observe(rollout.Report{Server: "m1", Incarnation: 1, Sequence: 1})
	sent := make(chan []byte, 1)
	voter.rolloutDriver.sendReliable = func(_ string, message []byte) error {
		sent <- message
		return nil
	}
	token := lease.Token{Term: 2, Index: 300}
	patch := json.RawMessage(`{"queue":null}`)
	voter.rolloutDriver.sendDirectives(&rollout.Record{Index: 90, LastSettings: 3, CurrentSettings: 3, Patches: map[uint64]json.RawMessage{3: patch}}, token)
	golden.Equal(t, "direction", <-sent)
	delegate{member}.MergeUpdate(golden.Bytes(t, "direction"))
	if got, want := <-member.rolloutDriver.directives, (rollout.Directive{Token: token, Index: 90, SettingsNumber: 3, Patch: patch}); !reflect.DeepEqual(got, want) {
		t.Errorf("received directive = %+v, want %+v", got, want)
	}
}

// TestGolden_DependencyHealth checks the health of the shared dependency as encoded in gossip
// and in the request to the operator's registry.
func TestGolden_DependencyHealth(t *testing.T) {
	health := DependencyHealth{Lease: HealthLease, Token: lease.Token{Term: 2, Index: 300}, Sequence: 9, ProbedBy: "v1", State: DependencySlow, ProbeDuration: 31 * time.Millisecond}
	writer, reader := goldenFleet(t, "v1"), goldenFleet(t, "m1")
	writer.quotaAgents, writer.healthView.latest[HealthLease] = nil, health
	updates := (delegate{writer}).KnownUpdates()
	if len(updates) != 1 {
		t.Fatalf("KnownUpdates() gave %d updates, want 1", len(updates))
	}
	golden.Equal(t, "judgement", updates[0])
	if topic, isNew := (delegate{reader}).MergeUpdate(golden.Bytes(t, "judgement")); topic != HealthLease || !isNew || reader.DependencyHealth() != health {
		t.Errorf("MergeUpdate(judgement) = %q, %t; health %+v; want %q, true; health %+v", topic, isNew, reader.DependencyHealth(), HealthLease, health)
	}

	bodies := make(chan []byte, 1)
	registry := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || r.Method != http.MethodPut {
			body = nil
		}
		bodies <- body
	}))
	defer registry.Close()
	if err := publishHealth(t.Context(), registry.Client(), registry.URL, health); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "publish.json", <-bodies)
	golden.RoundTrip(t, "states.json", []DependencyState{DependencyUnknown, DependencyGood, DependencySlow, DependencyDown}, json.Marshal, json.Unmarshal)
}
