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

// A recording pins what the module decides: random events in, actions out. The golden
// files were written by the module of revision af00f38; each has the number of actions
// of every kind and a hash of all of them, for each block of a recording.
const (
	recordingSeeds    = 12
	recordedTime      = 150 * time.Second // a sixth of it where requests come in each step
	actionsPerBlock   = 2000
	recordedDrain     = 6 * time.Second // the last part of it
	recordingStopTime = 5 * time.Second
	gaugePhase        = 4 * time.Second
)

// transcript is a Host that writes down each action with all its digits. It follows the
// state of each request so that the events which the recording sends make sense.
type transcript struct {
	recorder
	state map[string]attemptState // of each request by its id: what the module last asked for
	wakes []time.Duration
	now   time.Duration
}

func (h *transcript) set(id string, state attemptState) { h.state[id] = state }

func (h *transcript) Run(id string)    { h.recorder.Run(id); h.set(id, isRunning) }
func (h *transcript) Cancel(id string) { h.recorder.Cancel(id); h.set(id, isPreempting) }
func (h *transcript) Shed(id string, away time.Duration, last bool) {
	h.recorder.Shed(id, away, last)
	h.finish(id)
}
func (h *transcript) Fail(id string)                  { h.recorder.Fail(id); h.finish(id) }
func (h *transcript) Call(id string, d time.Duration) { h.recorder.Call(id, d); h.set(id, isInCall) }

func (h *transcript) SkipCall(id string) { h.recorder.SkipCall(id); h.set(id, isRunning) }

func (h *transcript) ServeCached(id string) { h.recorder.ServeCached(id); h.set(id, isCoalesced) }
func (h *transcript) PublishLoad(v float64) { h.add("say %.17g", v) }
func (h *transcript) SetTimer(d time.Duration, token int64) {
	h.recorder.SetTimer(d, token)
	h.wakes = append(h.wakes, h.now+d)
}

// finish notes that a request has its answer: what had not begun is over.
func (h *transcript) finish(id string) {
	switch h.state[id] {
	case isQueued, isCoalesced, isPreempted:
		h.set(id, isFinished)
	}
}

// recording plays random events to an instance and keeps its actions.
type recording struct {
	seed     int64
	rng      *rand.Rand
	host     *transcript
	module   *Instance
	settings decision.Settings
	ids      []string // of all requests
	open     []string // of those that are not over
	class    map[string]int
}

// recordedSettings varies every setting that the module reads.
func recordedSettings(seed int64, rng *rand.Rand) decision.Settings {
	s := settings()
	s.Classes = append(s.Classes, decision.Class{
		LatencyObjective: time.Second, ObjectivePerCost: 2, Deadline: 5 * time.Second, Weight: 1.5, LateWeight: 0.3,
		DegradedWeight: 0.6, CallsDependency: true,
	})
	s.CancelMode = []decision.CancelMode{decision.CancelNever, decision.CancelDiscard, decision.CancelPause, decision.CancelPause}[seed%4]
	s.LoadReportMode = []decision.LoadReportMode{decision.LoadReportNone, decision.LoadReportMinRank, decision.LoadReportCredit, decision.LoadReportWeight}[seed/2%4]
	s.Dependency = []decision.DependencyKind{decision.NoDependency, decision.SharedDependency, decision.SharedDependency, decision.NextTier}[seed/3%4]
	s.Callers = []int{3, 300, 3000}[seed/4%3]
	s.SlowStart, s.ListFollowsHealth = rng.Intn(2) == 0, rng.Intn(2) == 0
	s.CacheTTL, s.LoadReportTTL = time.Duration(rng.Intn(2))*time.Second, time.Duration(1+rng.Intn(3))*time.Second
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
		seed: seed, rng: rng, host: &transcript{state: map[string]attemptState{}}, settings: recordedSettings(seed, rng),
		class: map[string]int{},
	}
	var err error
	if p.module, err = New(p.settings, seed, p.host); err != nil {
		t.Fatal(err)
	}
	p.module.Decide(0)
	return p
}

// play sends events for recordedTime and gives the actions.
func (p *recording) play(t *testing.T) []string {
	t.Helper()
	drained := false
	arrivalOdds := []int{1, 6, 15}[p.seed%3] // a burst of requests in one of so many steps
	end := recordedTime
	if arrivalOdds == 1 {
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
			p.retune(t, now)
		}
		if p.rng.Intn(200) == 0 {
			p.bound()
		}
		if p.rng.Intn(arrivalOdds) == 0 && (!drained || p.rng.Intn(4) == 0) {
			for range p.rng.Intn(3) {
				p.request(now)
			}
		}
		p.open = slices.DeleteFunc(p.open, func(id string) bool {
			p.progress(now, id)
			return p.host.state[id] == isFinished
		})
		p.module.Decide(now)
	}
	return p.host.acts
}

// tick sends the timers that are due, with gauges that are known or not.
func (p *recording) tick(now time.Duration) {
	due := p.host.wakes
	p.host.wakes = nil
	for _, at := range due {
		if at > now {
			p.host.wakes = append(p.host.wakes, at)
			continue
		}
		gauges := decision.Gauges{CoreUtilization: p.rng.Float64(), RunnableTasks: 8 * p.rng.Float64(), MemoryUtilization: p.rng.Float64(), Connections: 9}
		if phase := int(now/gaugePhase) % 3; phase == 1 { // reads take the cores
			gauges.RunnableTasks = 40 * p.rng.Float64()
		} else if phase == 2 {
			gauges.RunnableTasks = 0
		}
		if p.rng.Intn(10) == 0 {
			gauges = decision.Gauges{CoreUtilization: -1, RunnableTasks: -1, MemoryUtilization: -1, Connections: -1}
		}
		p.module.Tick(now, 0, gauges)
	}
}

// retune changes settings, and now and then adds a class.
func (p *recording) retune(t *testing.T, now time.Duration) {
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

// bound gives the instance its part of what a fleet shares.
func (p *recording) bound() {
	bounds := decision.FleetBounds{MaxCalls: 30 * p.rng.Float64()}
	if p.rng.Intn(2) == 0 {
		bounds.AcquireRetry = func() bool { return p.rng.Intn(2) == 0 }
	}
	p.host.add("wanted %d", p.module.SetFleetBounds(bounds))
}

// request sends a request, or a retry of an earlier one.
func (p *recording) request(now time.Duration) {
	id := fmt.Sprint(len(p.ids))
	class := p.rng.Intn(len(p.settings.Classes))
	r := decision.Request{
		ID: id, Class: class, ReservedKB: 5 + 20*p.rng.Float64(), Waited: time.Duration(p.rng.Int63n(int64(40 * ms))),
		Rank: p.rng.Float64(), Retry: p.rng.Intn(4) == 0, Write: p.rng.Intn(3) == 0, Caller: p.rng.Intn(5),
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
	p.host.set(id, isQueued)
	p.module.RequestReceived(now, r)
}

// progress lets the world go on with one request.
func (p *recording) progress(now time.Duration, id string) {
	switch p.host.state[id] {
	case isRunning:
		p.progressRun(now, id)
	case isPreempting:
		p.host.set(id, isFinished)
		if p.settings.CancelMode == decision.CancelPause {
			p.host.set(id, isPreempted)
		}
		p.module.RunDone(now, id, decision.Cancelled, 0)
	case isAwaitingCall:
		if p.rng.Intn(400) == 0 {
			p.host.set(id, isFinished)
			p.module.RunDone(now, id, decision.Failed, 0)
		}
	case isInCall:
		if p.rng.Intn(8) == 0 {
			p.endCall(now, id)
		}
	case isCoalesced:
		if p.rng.Intn(60) == 0 {
			p.host.set(id, isFinished)
			p.module.RunDone(now, id, []decision.Outcome{decision.Succeeded, decision.Failed}[p.rng.Intn(2)], 0)
		}
	case isQueued:
		if p.rng.Intn(3000) == 0 {
			p.host.set(id, isFinished)
			p.module.CallerGone(now, id)
		}
	}
}

// progressRun ends a run, has it ask for a call, or has its caller go.
func (p *recording) progressRun(now time.Duration, id string) {
	switch p.rng.Intn(30) {
	case 0, 3, 4, 5:
		if p.settings.Classes[p.class[id]].CallsDependency {
			p.host.set(id, isAwaitingCall)
			p.module.CallNeeded(now, id)
		}
	case 1:
		p.host.set(id, isFinished)
		ends := []decision.Outcome{decision.Succeeded, decision.Succeeded, decision.Succeeded, decision.Failed, decision.Cancelled, decision.NotStarted}
		p.module.RunDone(now, id, ends[p.rng.Intn(len(ends))], 20*ms)
	case 2:
		if p.rng.Intn(20) == 0 {
			p.module.CallerGone(now, id)
		}
	}
}

// endCall ends a call; more often than not with a reply.
func (p *recording) endCall(now time.Duration, id string) {
	ends := []decision.Outcome{
		decision.Succeeded, decision.Succeeded, decision.Succeeded, decision.Succeeded, decision.Succeeded, decision.Failed, decision.Rejected,
		decision.TimedOut, decision.ConnectFailed, decision.ConnectionReset,
	}
	end := ends[p.rng.Intn(len(ends))]
	p.host.set(id, isAwaitingCall)
	if end == decision.Succeeded {
		p.host.set(id, isRunning)
	}
	took := ms << p.rng.Intn(10) // from 1 ms to 0.5 s, long ones as often as short ones
	took += time.Duration(p.rng.Int63n(int64(took)))
	p.module.CallDone(now, id, end, took)
}

// digest gives a recording's blocks: how many actions of each kind, and their hash.
func digest(acts []string) string {
	var text strings.Builder
	for first := 0; first < len(acts); first += actionsPerBlock {
		block := acts[first:min(len(acts), first+actionsPerBlock)]
		kinds := map[string]int{}
		for _, act := range block {
			kind, _, _ := strings.Cut(act, " ")
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

// TestRecordingIsUnchanged plays the recordings and wants the actions that the module
// of revision af00f38 gave, to the last digit.
func TestRecordingIsUnchanged(t *testing.T) {
	for seed := int64(1); seed <= recordingSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			acts := newRecording(t, seed).play(t)
			golden.Equal(t, fmt.Sprintf("recording-%d.txt", seed), []byte(digest(acts)))
		})
	}
}

// TestSequencesAreUnchanged wants the sequences of time-outs that the module of revision
// af00f38 solved from latencies with one to four modes, to the nanosecond.
func TestSequencesAreUnchanged(t *testing.T) {
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
