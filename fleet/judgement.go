package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"quincerail.example/quincerail/fleet/lease"
)

// State is how the shared dependency stands.
type State string

// The states.
const (
	Unknown State = "unknown" // no word of it yet
	Good    State = "good"
	Slow    State = "slow"
	Down    State = "down" // no connection
)

// DependencyHealth is what the owner of the lease Registry found, under its token. Of
// two of one token the one with the higher Seq is the later.
type DependencyHealth struct {
	Lease string        `json:"lease"`
	Token lease.Token   `json:"token"`
	Seq   uint64        `json:"seq"`
	By    string        `json:"by"`
	State State         `json:"state"`
	Took  time.Duration `json:"took_ns"` // of the probe
}

// supersedes tells whether j is news to one who knows k.
func (j DependencyHealth) supersedes(k DependencyHealth) bool {
	if d := j.Token.Compare(k.Token); d != 0 {
		return d > 0
	}
	return j.Seq > k.Seq
}

// healthView is a member's copy of the latest judgement of each lease. It is a
// receiver of fleet work: what a fence refuses changes nothing.
type healthView struct {
	log    *slog.Logger
	fence  *lease.Fence
	maxAge time.Duration // how long a judgement counts without another

	mu        sync.Mutex
	latest    map[string]DependencyHealth
	updatedAt time.Time // the latest
	stale     int       // refused
}

// mergeUpdate takes in a piece of news.
func (b *healthView) mergeUpdate(piece []byte) (about string, news bool) {
	var j DependencyHealth
	if err := json.Unmarshal(piece, &j); err != nil || j.Lease != HealthLease {
		b.log.Debug("fleet_news_unreadable", "bytes", len(piece))
		return "", false
	}
	if err := b.fence.Admit(j.Lease, j.Token); err != nil {
		b.mu.Lock()
		b.stale++
		b.mu.Unlock()
		b.log.Debug("fleet_stale", "by", j.By, "error", err.Error())
		return "", false
	}
	b.mu.Lock()
	was, known := b.latest[j.Lease]
	news = !known || j.supersedes(was)
	if news {
		b.latest[j.Lease] = j
		b.updatedAt = time.Now()
	}
	b.mu.Unlock()
	if news && (was.State != j.State || was.Token != j.Token) {
		b.log.Info("judgement", "of", j.Lease, "state", string(j.State), "by", j.By, "token", j.Token.String())
	}
	return j.Lease, news
}

// current is the latest; without news of it for a while nothing is known,
// which is the cautious side: what was good may be so no more.
func (b *healthView) current() DependencyHealth {
	b.mu.Lock()
	defer b.mu.Unlock()
	j, ok := b.latest[HealthLease]
	if !ok {
		j.Lease = HealthLease
	}
	if !ok || time.Since(b.updatedAt) > b.maxAge {
		j.State = Unknown
	}
	return j
}

// encodedUpdates gives the judgements that are known.
func (b *healthView) encodedUpdates() [][]byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out [][]byte
	for _, j := range b.latest {
		if piece, err := json.Marshal(j); err == nil {
			out = append(out, piece)
		}
	}
	return out
}

// probeDependency finds how the dependency stands: whether it takes a connection, and
// how fast. It makes no call, which would take a slot of the fleet's.
func probeDependency(ctx context.Context, address string, slow time.Duration) (State, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, 4*slow)
	defer cancel()
	began := time.Now()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	took := time.Since(began)
	if err != nil {
		return Down, took
	}
	c.Close()
	if took > slow {
		return Slow, took
	}
	return Good, took
}

// publishHealth hands a judgement to the operator's registry: an HTTP PUT whose body is
// the judgement. 409 is its word that it has seen a higher token.
func publishHealth(ctx context.Context, client *http.Client, url string, j DependencyHealth) error {
	body, err := json.Marshal(j)
	if err != nil {
		return fmt.Errorf("fleet: publish: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("fleet: publish: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("fleet: publish: %w", err)
	}
	defer resp.Body.Close()
	reason, _ := io.ReadAll(io.LimitReader(resp.Body, 512)) // for the log only
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("fleet: publish: %s: %s", resp.Status, bytes.TrimSpace(reason))
	}
	return nil
}
