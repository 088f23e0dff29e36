package fleet

import (
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"quincerail.example/quincerail/fleet/lease"
)

// State is the state of the shared dependency.
type State string

// The states.
const (
	Unknown State = "unknown" // no report yet, or none for too long
	Good    State = "good"
	Slow    State = "slow"
	Down    State = "down" // no connection
)

// DependencyHealth is the result of a probe by the owner of HealthLease, under its
// token. Of two with the same token, the one with the higher Seq is the later.
type DependencyHealth struct {
	Lease string        `json:"lease"`
	Token lease.Token   `json:"token"`
	Seq   uint64        `json:"seq"`
	By    string        `json:"by"`
	State State         `json:"state"`
	Took  time.Duration `json:"took_ns"` // of the probe
}

// supersedes reports whether h is later than other.
func (h DependencyHealth) supersedes(other DependencyHealth) bool {
	if order := h.Token.Compare(other.Token); order != 0 {
		return order > 0
	}
	return h.Seq > other.Seq
}

// healthView is a member's replica of the latest health of each lease. It is a
// receiver of fleet work: an update that the fence refuses changes nothing.
type healthView struct {
	log    *slog.Logger
	fence  *lease.Fence
	maxAge time.Duration // after which the latest health counts as unknown

	mu        sync.Mutex
	latest    map[string]DependencyHealth
	updatedAt time.Time
	stale     int // updates that the fence refused
}

func newHealthView(log *slog.Logger, fence *lease.Fence, maxAge time.Duration) *healthView {
	return &healthView{log: log, fence: fence, maxAge: maxAge, latest: map[string]DependencyHealth{}}
}

// mergeUpdate merges an encoded DependencyHealth, and returns its topic and whether
// it was new.
func (v *healthView) mergeUpdate(update []byte) (topic string, isNew bool) {
	var health DependencyHealth
	if err := json.Unmarshal(update, &health); err != nil || health.Lease != HealthLease {
		v.log.Debug(eventUpdateUnreadable, "bytes", len(update))
		return "", false
	}
	if err := v.fence.Admit(health.Lease, health.Token); err != nil {
		v.mu.Lock()
		v.stale++
		v.mu.Unlock()
		v.log.Debug(eventStaleUpdateRefused, "by", health.By, "error", err.Error())
		return "", false
	}
	previous, isNew := v.replace(health)
	if isNew && (previous.State != health.State || previous.Token != health.Token) {
		v.log.Info(eventHealthChanged, "of", health.Lease, "state", string(health.State), "by", health.By, "token", health.Token.String())
	}
	return health.Lease, isNew
}

// replace stores health if it is later than what was known, which it returns.
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

// current returns the latest health. Its state is Unknown after maxAge without an
// update: a dependency that was good may have failed since.
func (v *healthView) current() DependencyHealth {
	v.mu.Lock()
	defer v.mu.Unlock()
	health, ok := v.latest[HealthLease]
	if !ok {
		health.Lease = HealthLease
	}
	if !ok || time.Since(v.updatedAt) > v.maxAge {
		health.State = Unknown
	}
	return health
}

// encodedUpdates returns all that is known, encoded for mergeUpdate.
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

// staleUpdates returns how many updates the fence refused.
func (v *healthView) staleUpdates() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stale
}
