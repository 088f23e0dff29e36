package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/fleet/rollout"
)

// resubmitInterval is how often an operator's command that may have been lost is
// proposed again.
const resubmitInterval = 300 * time.Millisecond

// ChangeStatus is what a voter knows of the fleet's rollouts.
type ChangeStatus struct {
	Record  rollout.Record    `json:"record"`
	Owner   string            `json:"owner"`   // of RolloutLease
	Token   lease.Token       `json:"token"`   // of its grant
	Desired map[string]string `json:"desired"` // version of the program that each server of a plan is to run
	Servers []ServerStatus    `json:"servers"` // whose reports this voter has
}

// ServerStatus is a server's latest report.
type ServerStatus struct {
	Name       string `json:"name"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Settings   uint64 `json:"settings"`
	TurnedDown uint64 `json:"turned_down,omitempty"`
	Reason     string `json:"reason,omitempty"`
	Leaving    bool   `json:"leaving,omitempty"`
}

// Change returns what this voter knows of the fleet's rollouts; ErrNoVoter at a
// member that is no voter.
func (f *Fleet) Change() (ChangeStatus, error) {
	if f.stateMachine == nil {
		return ChangeStatus{}, ErrNoVoter
	}
	record := f.stateMachine.rolloutRecord()
	status := ChangeStatus{Record: record, Desired: record.DesiredVersions()}
	status.Owner, status.Token = f.stateMachine.grant(RolloutLease)
	for _, report := range f.rolloutDriver.latestReports() {
		status.Servers = append(status.Servers, ServerStatus{
			Name: report.Server, Zone: report.Zone, Version: report.Version, Settings: report.Settings,
			TurnedDown: report.RejectedSettings, Reason: report.RejectionReason, Leaving: report.Leaving,
		})
	}
	return status, nil
}

// StartChange starts a plan. patch is that of settings, nil for a plan for the
// program. A plan without servers is for all whose reports this voter has. The error
// is the reason for which the log refused the plan, or wraps ctx's where the log did
// not have it in time.
func (f *Fleet) StartChange(ctx context.Context, plan rollout.Plan, patch json.RawMessage) error {
	if f.stateMachine == nil {
		return ErrNoVoter
	}
	if len(plan.Servers) == 0 {
		for _, report := range f.rolloutDriver.latestReports() {
			if !report.Leaving {
				plan.Servers = append(plan.Servers, rollout.Server{Name: report.Server, Zone: report.Zone})
			}
		}
	}
	return f.rolloutDriver.submit(ctx, rollout.Command{Kind: rollout.Start, Plan: &plan, Patch: patch})
}

// StopChange halts the plan of an ID: all its servers roll back.
func (f *Fleet) StopChange(ctx context.Context, id, reason string) error {
	if f.stateMachine == nil {
		return ErrNoVoter
	}
	return f.rolloutDriver.submit(ctx, rollout.Command{Kind: rollout.Stop, ID: id, Reason: reason})
}

// latestReports returns the latest report of each server.
func (d *rolloutDriver) latestReports() []rollout.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.collector.LatestReports()
}

// submit proposes an operator's command until the log has it, and returns the
// outcome.
func (d *rolloutDriver) submit(ctx context.Context, c rollout.Command) error {
	nonce := rand.Uint64()
	outcome := d.stateMachine.registerWaiter(nonce)
	defer d.stateMachine.removeWaiter(nonce)
	for {
		d.propose(command{Rollout: &rolloutCommand{Nonce: nonce, Command: c}})
		select {
		case err := <-outcome:
			return err
		case <-ctx.Done():
			return fmt.Errorf("fleet: the log did not take the order: %w", ctx.Err())
		case <-time.After(resubmitInterval):
		}
	}
}
