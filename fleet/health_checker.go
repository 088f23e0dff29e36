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
	"time"

	"quincerail.example/quincerail/fleet/lease"
)

const (
	probeTimeoutFactor = 4   // timeout of a probe in multiples of Config.SlowThreshold
	maxReasonBytes     = 512 // limit on the logged part of an error response of the operator's registry
)

// healthChecker probes the shared dependency and publishes its health while this
// process owns HealthLease. Only the goroutine of run uses its fields.
type healthChecker struct {
	config       *Config
	log          *slog.Logger
	view         *healthView
	holdsLease   func(name string) (lease.Token, bool)
	ownerChanged <-chan struct{} // nil if this member is not a voter
	broadcast    func(topic string, update []byte)
	client       *http.Client

	sequence  uint64
	heldToken lease.Token // token of the previous check; zero if that check did not hold the lease
}

func newHealthChecker(f *Fleet) *healthChecker {
	c := &healthChecker{
		config:     &f.config,
		log:        f.log,
		view:       f.healthView,
		holdsLease: f.HoldsLease,
		broadcast:  f.broadcast,
		client:     &http.Client{Timeout: f.config.LeaseDuration},
	}
	if f.stateMachine != nil {
		c.ownerChanged = f.stateMachine.ownerChanged
	}
	return c
}

// run calls check in each probe interval, and whenever a lease has changed owners,
// until ctx is done.
func (c *healthChecker) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	ticker := time.NewTicker(c.config.ProbeInterval)
	defer ticker.Stop()
	for c.sequence = 1; ; c.sequence++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.ownerChanged:
		}
		c.check(ctx)
	}
}

// check probes the dependency if this process owns the lease. It publishes the result
// only if the process still owns the lease under the same token after the probe.
func (c *healthChecker) check(ctx context.Context) {
	token, owns := c.holdsLease(HealthLease)
	if c.heldToken != (lease.Token{}) && (!owns || token != c.heldToken) {
		c.log.Warn(eventLeaseLapsed, "lease", HealthLease, "token", c.heldToken.String())
	}
	if !owns {
		c.heldToken = lease.Token{}
		return
	}
	c.heldToken = token
	state, took := probeDependency(ctx, c.config.DependencyAddress, c.config.SlowThreshold)
	if now, owns := c.holdsLease(HealthLease); !owns || now != token {
		return
	}
	c.publish(ctx, DependencyHealth{
		Lease: HealthLease, Token: token, Sequence: c.sequence, ProbedBy: c.config.Self, State: state, ProbeDuration: took,
	})
}

// publish merges a result into this member's view, and sends it to all members and to
// the operator's registry.
func (c *healthChecker) publish(ctx context.Context, health DependencyHealth) {
	update, err := json.Marshal(health)
	if err != nil {
		c.log.Error(eventHealthPublishFailed, "error", err.Error())
		return
	}
	c.view.mergeUpdate(update)
	c.broadcast(health.Lease, append([]byte{updateHealth}, update...))
	if c.config.PublishURL == "" {
		return
	}
	if err := publishHealth(ctx, c.client, c.config.PublishURL, health); err != nil && ctx.Err() == nil {
		c.log.Warn(eventHealthPublishFailed, "token", health.Token.String(), "error", err.Error())
	}
}

// probeDependency connects to the dependency, and returns the dependency's state and
// the time to connect. It makes no call, as a call would use up capacity of the
// fleet's call quota.
func probeDependency(ctx context.Context, address string, slow time.Duration) (DependencyState, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeoutFactor*slow)
	defer cancel()
	began := time.Now()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	took := time.Since(began)
	if err != nil {
		return DependencyDown, took
	}
	_ = conn.Close() // nothing was written
	if took > slow {
		return DependencySlow, took
	}
	return DependencyGood, took
}

// PublishError reports that the operator's registry rejected a DependencyHealth. The
// status is 409 if the registry has seen a higher token.
type PublishError struct {
	Status string // of the HTTP response
	Reason string // start of the response's body
}

// Error implements error.
func (e *PublishError) Error() string {
	return fmt.Sprintf("fleet: publish: %s: %s", e.Status, e.Reason)
}

// publishHealth sends a result to the operator's registry by HTTP PUT. A status other
// than 2xx is a *PublishError.
func publishHealth(ctx context.Context, client *http.Client, url string, health DependencyHealth) error {
	body, err := json.Marshal(health)
	if err != nil {
		return fmt.Errorf("fleet: publish: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("fleet: publish: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("fleet: publish: %w", err)
	}
	defer func() { _ = response.Body.Close() }()                           // only read, so a failed close loses nothing
	reason, _ := io.ReadAll(io.LimitReader(response.Body, maxReasonBytes)) // part of a log message only, so a read error is ignored
	if response.StatusCode/100 != 2 {
		return &PublishError{Status: response.Status, Reason: string(bytes.TrimSpace(reason))}
	}
	return nil
}
