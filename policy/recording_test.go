package policy

import (
	"crypto/sha256"
	"fmt"
	"math/rand"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/internal/golden"
)

// A recording sends random events to an instance and compares its actions with golden files,
// which the code of revision af00f38 wrote. Each file has one line per block of actions, with the
// number of actions of each kind and a hash of the block.
const (
	recordingSeeds    = 12
	recordedTime      = 150 * time.Second // a sixth of it if requests may arrive in every step
	actionsPerBlock   = 2000
	recordedDrain     = 6 * time.Second // from the start of the drain to the end of the recording
	recordingStopTime = 5 * time.Second // from the start of the drain to its end
	gaugePhase        = 4 * time.Second // time between changes of the gauges' range
)

// transcriptHost is a Host that records actions in full precision. It tracks the state of each
// request, so that the recording sends only events that fit it.
type transcriptHost struct {
	recordingHost
	state  map[string]attemptState // by request id, as of the last action or event
	timers []time.Duration         // when they are due
	now    time.Duration
}

func (h *transcriptHost) setState(id string, state attemptState) { h.state[id] = state }

func (h *transcriptHost) Run(id string) { h.recordingHost.Run(id); h.setState(id, isRunning) }

func (h *transcriptHost) Cancel(id string) { h.recordingHost.Cancel(id); h.setState(id, isPreempting) }

func (h *transcriptHost) Shed(id string, retryAfter time.Duration, noRetryElsewhere bool) {
	h.recordingHost.Shed(id, retryAfter, noRetryElsewhere)
	h.recordAnswer(id)
}

func (h *transcriptHost) Fail(id string) { h.recordingHost.Fail(id); h.recordAnswer(id) }

func (h *transcriptHost) Call(id string, d time.Duration) {
	h.recordingHost.Call(id, d)
	h.setState(id, isInCall)
}

func (h *transcriptHost) SkipCall(id string) { h.recordingHost.SkipCall(id); h.setState(id, isRunning) }

func (h *transcriptHost) ServeCached(id string) {
	h.recordingHost.ServeCached(id)
	h.setState(id, isCoalesced)
}

func (h *transcriptHost) PublishLoad(value float64) { h.add("say %.17g", value) }

func (h *transcriptHost) SetTimer(d time.Duration, token int64) {
	h.recordingHost.SetTimer(d, token)
	h.timers = append(h.timers, h.now+d)
}

// recordAnswer records an answer to a request. A request that does not run is finished by it.
func (h *transcriptHost) recordAnswer(id string) {
	switch h.state[id] {
	case isQueued, isCoalesced, isPreempted:
		h.setState(id, isFinished)
	}
}

// recording sends random events to an instance and records its actions.
type recording struct {
	seed     int64
	rng      *rand.Rand
	host     *transcriptHost
	module   *Instance
	settings decision.Settings
	ids      []string       // ids of all requests
	open     []string       // ids of the requests that are not finished
	class    map[string]int // index of each request's class, by id
}

// recordedSettings returns settings that vary with the seed.
func recordedSettings(seed int64, rng *rand.Rand) decision.Settings {
	s := testSettings()
	s.Classes = append(s.Classes, decision.Class{
		LatencyObjective: time.Second, ObjectivePerCost: 2, Deadline: 5 * time.Second,
		Weight: 1.5, LateWeight: 0.3, DegradedWeight: 0.6, CallsDependency: true,
	})
	s.CancelMode = []decision.CancelMode{
		decision.CancelNever, decision.CancelDiscard, decision.CancelPause, decision.CancelPause,
	}[seed%4]
	s.LoadReportMode = []decision.LoadReportMode{
		decision.LoadReportNone, decision.LoadReportMinRank,
		decision.LoadReportCredit, decision.LoadReportWeight,
	}[seed/2%4]
	s.Dependency = []decision.DependencyKind{
		decision.NoDependency, decision.SharedDependency, decision.SharedDependency, decision.NextTier,
	}[seed/3%4]
	s.Callers = []int{3, 300, 3000}[seed/4%3]
	s.SlowStart, s.EndpointListOmitsUnhealthy = rng.Intn(2) == 0, rng.Intn(2) == 0
	s.CacheTTL = time.Duration(rng.Intn(2)) * time.Second
	s.LoadReportTTL = time.Duration(1+rng.Intn(3)) * time.Second
	s.CallQuota, s.Cores, s.MemoryKB = 0.5+30*rng.Float64(), 1+rng.Intn(8), 400+8000*rng.Float64()
	if rng.Intn(2) == 0 {
		s.Tenants = []decision.Tenant{{Quota: 50}, {Quota: 1000}, {}}
		s.OverQuotaWeight = 0.2
	}
	return s
}

func newRecording(t *testing.T, seed int64) *recording {
	t.Helper()
	rng := rand.New(rand.NewSource(seed))
	p := &recording{
		seed: seed, rng: rng, host: &transcriptHost{state: map[string]attemptState{}},
		settings: recordedSettings(seed, rng), class: map[string]int{},
	}
	var err error
	if p.module, err = New(p.settings, seed, p.host); err != nil {
		t.Fatal(err)
	}
	p.module.Decide(0)
	return p
}

// play sends events for recordedTime and returns the actions.
func (p *recording) play(t *testing.T) []string {
	t.Helper()
	drained := false
	stepsPerArrival := []int{1, 6, 15}[p.seed%3] // requests may arrive in one of this many steps
	end := recordedTime
	if stepsPerArrival == 1 {
		end /= 6
	}
	for p.host.now < end {
		p.host.now += p.settings.BatchInterval + time.Duration(p.rng.Int63n(int64(10*ms)))
		now := p.host.now
		p.tick(now)
		if !drained && now > end-recordedDrain {
			drained = true
			p.module.Drain(now, now+recordingStopTime)
		}
		if p.rng.Intn(3000) == 0 {
			p.updateSettings(t, now)
		}
		if p.rng.Intn(200) == 0 {
			p.setFleetBounds()
		}
		if p.rng.Intn(stepsPerArrival) == 0 && (!drained || p.rng.Intn(4) == 0) {
			for range p.rng.Intn(3) {
				p.sendRequest(now)
			}
		}
		p.open = slices.DeleteFunc(p.open, func(id string) bool {
			p.sendNextEvent(now, id)
			return p.host.state[id] == isFinished
		})
		p.module.Decide(now)
	}
	return p.host.actions
}

// tick sends the timers that are due, with random gauges, some of them unknown.
func (p *recording) tick(now time.Duration) {
	due := p.host.timers
	p.host.timers = nil
	for _, at := range due {
		if at > now {
			p.host.timers = append(p.host.timers, at)
			continue
		}
		gauges := decision.Gauges{
			CoreUtilization: p.rng.Float64(), RunnableTasks: 8 * p.rng.Float64(),
			MemoryUtilization: p.rng.Float64(), Connections: 9,
		}
		if phase := int(now/gaugePhase) % 3; phase == 1 { // most runnable tasks read requests
			gauges.RunnableTasks = 40 * p.rng.Float64()
		} else if phase == 2 {
			gauges.RunnableTasks = 0
		}
		if p.rng.Intn(10) == 0 {
			gauges = decision.Gauges{
				CoreUtilization: -1, RunnableTasks: -1, MemoryUtilization: -1, Connections: -1,
			}
		}
		p.module.Tick(now, 0, gauges)
	}
}

// updateSettings changes settings, and adds a class while there are fewer than six.
func (p *recording) updateSettings(t *testing.T, now time.Duration) {
	t.Helper()
	p.settings.CallQuota = 0.5 + 30*p.rng.Float64()
	p.settings.MemoryKB = 400 + 4000*p.rng.Float64()
	p.settings.MaxIdleTime = time.Duration(1+p.rng.Intn(20)) * time.Second
	if len(p.settings.Classes) < 6 {
		added := p.settings.Classes[p.rng.Intn(len(p.settings.Classes))]
		p.settings.Classes = append(append([]decision.Class{}, p.settings.Classes...), added)
	}
	if err := p.module.UpdateSettings(now, p.settings); err != nil {
		t.Fatal(err)
	}
}

// setFleetBounds sets a random MaxCalls and, half of the time, an AcquireRetry that allows
// every second retry on average.
func (p *recording) setFleetBounds() {
	bounds := decision.FleetBounds{MaxCalls: 30 * p.rng.Float64()}
	if p.rng.Intn(2) == 0 {
		bounds.AcquireRetry = func() bool { return p.rng.Intn(2) == 0 }
	}
	p.host.add("wanted %d", p.module.SetFleetBounds(bounds))
}

// sendRequest sends a random request. One in five duplicates an earlier request.
func (p *recording) sendRequest(now time.Duration) {
	id := fmt.Sprint(len(p.ids))
	class := p.rng.Intn(len(p.settings.Classes))
	r := decision.Request{
		ID: id, Class: class, ReservedKB: 5 + 20*p.rng.Float64(),
		ReadLag: time.Duration(p.rng.Int63n(int64(40 * ms))), Rank: p.rng.Float64(),
		Retry: p.rng.Intn(4) == 0, Write: p.rng.Intn(3) == 0, Caller: p.rng.Intn(5),
		CostHint: time.Duration(p.rng.Int63n(int64(100 * ms))), Tenant: p.rng.Intn(4),
	}
	if p.rng.Intn(2) == 0 {
		r.CacheKey = fmt.Sprint("item", p.rng.Intn(50))
	}
	if p.rng.Intn(3) == 0 {
		r.Deadline = now + time.Duration(p.rng.Int63n(int64(3*time.Second)))
	}
	if len(p.ids) > 0 && p.rng.Intn(5) == 0 {
		r.DuplicateOf = p.ids[max(0, len(p.ids)-1-p.rng.Intn(40))]
	}
	p.ids, p.open, p.class[id] = append(p.ids, id), append(p.open, id), class
	p.host.setState(id, isQueued)
	p.module.RequestReceived(now, r)
}

// sendNextEvent sends the next event of a request, at random, if its state allows one.
func (p *recording) sendNextEvent(now time.Duration, id string) {
	switch p.host.state[id] {
	case isRunning:
		p.sendRunEvent(now, id)
	case isPreempting:
		p.host.setState(id, isFinished)
		if p.settings.CancelMode == decision.CancelPause {
			p.host.setState(id, isPreempted)
		}
		p.module.RunDone(now, id, decision.Cancelled, 0)
	case isAwaitingCall:
		if p.rng.Intn(400) == 0 {
			p.host.setState(id, isFinished)
			p.module.RunDone(now, id, decision.Failed, 0)
		}
	case isInCall:
		if p.rng.Intn(8) == 0 {
			p.endCall(now, id)
		}
	case isCoalesced:
		if p.rng.Intn(60) == 0 {
			p.host.setState(id, isFinished)
			outcomes := []decision.Outcome{decision.Succeeded, decision.Failed}
			p.module.RunDone(now, id, outcomes[p.rng.Intn(2)], 0)
		}
	case isQueued:
		if p.rng.Intn(3000) == 0 {
			p.host.setState(id, isFinished)
			p.module.RequestCancelled(now, id)
		}
	}
}

// sendRunEvent sends CallNeeded, RunDone or RequestCancelled for a running request, at
// random, or none of them.
func (p *recording) sendRunEvent(now time.Duration, id string) {
	switch p.rng.Intn(30) {
	case 0, 3, 4, 5:
		if p.settings.Classes[p.class[id]].CallsDependency {
			p.host.setState(id, isAwaitingCall)
			p.module.CallNeeded(now, id)
		}
	case 1:
		p.host.setState(id, isFinished)
		outcomes := []decision.Outcome{
			decision.Succeeded, decision.Succeeded, decision.Succeeded, decision.Failed,
			decision.Cancelled, decision.NotStarted,
		}
		p.module.RunDone(now, id, outcomes[p.rng.Intn(len(outcomes))], 20*ms)
	case 2:
		if p.rng.Intn(20) == 0 {
			p.module.RequestCancelled(now, id)
		}
	}
}

// endCall ends a call with a random outcome; half of the calls succeed.
func (p *recording) endCall(now time.Duration, id string) {
	outcomes := []decision.Outcome{
		decision.Succeeded, decision.Succeeded, decision.Succeeded, decision.Succeeded, decision.Succeeded,
		decision.Failed, decision.Rejected, decision.TimedOut, decision.ConnectFailed,
		decision.ConnectionReset,
	}
	outcome := outcomes[p.rng.Intn(len(outcomes))]
	p.host.setState(id, isAwaitingCall)
	if outcome == decision.Succeeded {
		p.host.setState(id, isRunning)
	}
	took := ms << p.rng.Intn(10) // a power of two from 1 ms to 512 ms, all equally likely
	took += time.Duration(p.rng.Int63n(int64(took)))
	p.module.CallDone(now, id, outcome, took)
}

// digest returns a line for each block of actions: the index of its first action, the number
// of actions of each kind, and the hash of the block.
func digest(actions []string) string {
	var text strings.Builder
	for first := 0; first < len(actions); first += actionsPerBlock {
		block := actions[first:min(len(actions), first+actionsPerBlock)]
		kinds := map[string]int{}
		for _, action := range block {
			kind, _, _ := strings.Cut(action, " ")
			kinds[kind]++
		}
		names := make([]string, 0, len(kinds))
		for kind := range kinds {
			names = append(names, kind)
		}
		sort.Strings(names)
		fmt.Fprintf(&text, "%d", first)
		for _, kind := range names {
			fmt.Fprintf(&text, " %s=%d", kind, kinds[kind])
		}
		fmt.Fprintf(&text, " %x\n", sha256.Sum256([]byte(strings.Join(block, "\n"))))
	}
	return text.String()
}

// The actions must be the same, to the last digit, as those of the code of revision af00f38.
func TestInstance_ActionsMatchTheRecordings(t *testing.T) {
	for seed := int64(1); seed <= recordingSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			actions := newRecording(t, seed).play(t)
			golden.Equal(t, fmt.Sprintf("recording-%d.txt", seed), []byte(digest(actions)))
		})
	}
}

// The sequences of time-outs must be the same, to the nanosecond, as those that the code of
// revision af00f38 computed from latency distributions with one to four modes.
func TestOptimizer_SequencesMatchTheRecording(t *testing.T) {
	var text strings.Builder
	for seed := int64(1); seed <= recordingSeeds; seed++ {
		rng := rand.New(rand.NewSource(seed))
		o := optimizer{abandonedCost: float64(time.Duration(rng.Intn(3)) * 100 * ms)}
		for i := range 4 * latencyBufferSize {
			mode := 3 * ms << (2 * rng.Intn(int(1+seed%4)))
			o.add(time.Duration(float64(mode) * (1 + rng.ExpFloat64()/4)))
			if i%callsPerSolve == 0 {
				o.solve()
				fmt.Fprintln(&text, seed, i, o.sequence)
			}
		}
	}
	golden.Equal(t, "sequences.txt", []byte(text.String()))
}
