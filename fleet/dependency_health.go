package fleet

import (
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"quincerail.example/quincerail/fleet/lease"
)

// DependencyState is the state of the shared dependency, as found by a probe.
type DependencyState string

// The states.
const (
	DependencyUnknown DependencyState = "unknown" // no update yet, or the latest one has expired
	DependencyGood    DependencyState = "good"    // the connection was established within Config.SlowThreshold
	DependencySlow    DependencyState = "slow"    // establishing the connection took longer than Config.SlowThreshold
	DependencyDown    DependencyState = "down"    // the connection failed or timed out
)

// DependencyHealth is the result of a probe by the owner of HealthLease. Results are
// ordered by Token, and by Sequence within a token.
type DependencyHealth struct {
	Lease         string          `json:"lease"`
	Token         lease.Token     `json:"token"`
	Sequence      uint64          `json:"seq"`
	ProbedBy      string          `json:"by"`
	State         DependencyState `json:"state"`
	ProbeDuration time.Duration   `json:"took_ns"` // time until the connection was established or failed
}

// supersedes reports whether h is later than other.
func (h DependencyHealth) supersedes(other DependencyHealth) bool {
	if order := h.Token.Compare(other.Token); order != 0 {
		return order > 0
	}
	return h.Sequence > other.Sequence
}

// healthView is a member's replica of the latest health, by lease. It ignores
// updates that the fence rejects.
type healthView struct {
	log    *slog.Logger
	fence  *lease.Fence
	maxAge time.Duration // age above which the latest health counts as unknown

	mu         sync.Mutex
	latest     map[string]DependencyHealth
	updatedAt  time.Time
	staleCount int // number of updates that the fence rejected
}

func newHealthView(log *slog.Logger, fence *lease.Fence, maxAge time.Duration) *healthView {
	return &healthView{log: log, fence: fence, maxAge: maxAge, latest: map[string]DependencyHealth{}}
}

// mergeUpdate merges an encoded DependencyHealth. It returns the update's topic and
// whether the update superseded the known health.
func (v *healthView) mergeUpdate(update []byte) (topic string, isNew bool) {
	var health DependencyHealth
	if err := json.Unmarshal(update, &health); err != nil || health.Lease != HealthLease {
		v.log.Debug(eventUpdateUnreadable, "bytes", len(update))
		return "", false
	}
	if err := v.fence.Admit(health.Lease, health.Token); err != nil {
		v.mu.Lock()
		v.staleCount++
		v.mu.Unlock()
		v.log.Debug(eventStaleUpdateRefused, "by", health.ProbedBy, "error", err.Error())
		return "", false
	}
	previous, isNew := v.replace(health)
	if isNew && (previous.State != health.State || previous.Token != health.Token) {
		v.log.Info(eventHealthChanged, "lease", health.Lease, "state", string(health.State), "by", health.ProbedBy, "token", health.Token.String())
	}
	return health.Lease, isNew
}

// replace stores health if it supersedes the known health, and returns the previous
// health.
func (v *healthView) replace(health DependencyHealth) (previous DependencyHealth, isNew bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	previous, known := v.latest[health.Lease]
	if known && !health.supersedes(previous) {
		return previous, false
	}
	v.latest[health.Lease] = health
	v.updatedAt = time.Now()
	return previous, true
}

// current returns the latest health. Its State is DependencyUnknown after maxAge
// without an update, because the dependency's state may have changed since.
func (v *healthView) current() DependencyHealth {
	v.mu.Lock()
	defer v.mu.Unlock()
	health, ok := v.latest[HealthLease]
	if !ok {
		health.Lease = HealthLease
	}
	if !ok || time.Since(v.updatedAt) > v.maxAge {
		health.State = DependencyUnknown
	}
	return health
}

// encodedUpdates returns the latest health of each lease, encoded for mergeUpdate.
func (v *healthView) encodedUpdates() [][]byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	var updates [][]byte
	for _, health := range v.latest {
		if update, err := json.Marshal(health); err == nil {
			updates = append(updates, update)
		}
	}
	return updates
}

// staleUpdates returns the number of updates that the fence rejected.
func (v *healthView) staleUpdates() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.staleCount
}
