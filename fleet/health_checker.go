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
	probeTimeoutFactor = 4   // of Config.Slow, until a probe finds the dependency down
	maxLoggedReason    = 512 // bytes of a refusal of the operator's registry
)

// healthChecker probes the shared dependency and publishes its health while this
// process owns HealthLease. Its fields are used by the goroutine of run alone.
type healthChecker struct {
	config       *Config
	log          *slog.Logger
	view         *healthView
	owner        func(lease string) (lease.Token, bool)
	ownerChanged <-chan struct{} // nil in a member that is no voter
	broadcast    func(topic string, update []byte)
	client       *http.Client

	sequence uint64
	held     lease.Token // of the previous check; zero while the lease was not held
}

func newHealthChecker(f *Fleet) *healthChecker {
	c := &healthChecker{
		config:    &f.config,
		log:       f.log,
		view:      f.healthView,
		owner:     f.Owner,
		broadcast: f.broadcast,
		client:    &http.Client{Timeout: f.config.Term},
	}
	if f.stateMachine != nil {
		c.ownerChanged = f.stateMachine.ownerChanged
	}
	return c
}

// run checks in each interval, and as soon as a lease has a new owner.
func (c *healthChecker) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	ticker := time.NewTicker(c.config.ProbeEvery)
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

// check probes if this process owns the lease, and publishes the result if it owns
// it under the same token still.
func (c *healthChecker) check(ctx context.Context) {
	token, owns := c.owner(HealthLease)
	if c.held != (lease.Token{}) && (!owns || token != c.held) {
		c.log.Warn(eventLeaseLapsed, "lease", HealthLease, "token", c.held.String())
	}
	if !owns {
		c.held = lease.Token{}
		return
	}
	c.held = token
	state, took := probeDependency(ctx, c.config.Probe, c.config.Slow)
	if now, owns := c.owner(HealthLease); !owns || now != token {
		return
	}
	c.publish(ctx, DependencyHealth{
		Lease: HealthLease, Token: token, Seq: c.sequence, By: c.config.Self, State: state, Took: took,
	})
}

// publish sends a result to all members and to the operator's registry.
func (c *healthChecker) publish(ctx context.Context, health DependencyHealth) {
	update, err := json.Marshal(health)
	if err != nil {
		c.log.Error(eventHealthPublishFailed, "error", err.Error())
		return
	}
	c.view.mergeUpdate(update)
	c.broadcast(health.Lease, append([]byte{updateHealth}, update...))
	if c.config.Publish == "" {
		return
	}
	if err := publishHealth(ctx, c.client, c.config.Publish, health); err != nil && ctx.Err() == nil {
		c.log.Warn(eventHealthPublishFailed, "token", health.Token.String(), "error", err.Error())
	}
}

// probeDependency connects to the dependency, and returns its state and how long
// that took. It makes no call, which would take a slot of the fleet's.
func probeDependency(ctx context.Context, address string, slow time.Duration) (State, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeoutFactor*slow)
	defer cancel()
	began := time.Now()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	took := time.Since(began)
	if err != nil {
		return Down, took
	}
	_ = conn.Close() // the connection was made, and nothing was written
	if took > slow {
		return Slow, took
	}
	return Good, took
}

// PublishError reports that the operator's registry refused a DependencyHealth:
// with 409 where it has seen a higher token.
type PublishError struct {
	Status string // of the HTTP response
	Reason string // the start of its body
}

// Error implements error.
func (e *PublishError) Error() string {
	return fmt.Sprintf("fleet: publish: %s: %s", e.Status, e.Reason)
}

// publishHealth sends a result to the operator's registry with an HTTP PUT.
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
	defer func() { _ = response.Body.Close() }()                            // it is only read
	reason, _ := io.ReadAll(io.LimitReader(response.Body, maxLoggedReason)) // for the log only
	if response.StatusCode/100 != 2 {
		return &PublishError{Status: response.Status, Reason: string(bytes.TrimSpace(reason))}
	}
	return nil
}
