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

// resubmitInterval is the interval at which an operator's command is proposed again
// until the log has it, because a proposal may be lost.
const resubmitInterval = 300 * time.Millisecond

// RolloutStatus describes the fleet's rollouts as a voter knows them.
type RolloutStatus struct {
	Record          rollout.Record    `json:"record"`
	Owner           string            `json:"owner"`   // of RolloutLease
	Token           lease.Token       `json:"token"`   // of the owner's grant
	DesiredVersions map[string]string `json:"desired"` // program version that each server should run, by server; nil for a rollout of settings
	Servers         []ServerStatus    `json:"servers"` // servers whose reports this voter has
}

// ServerStatus summarizes a server's latest report.
type ServerStatus struct {
	Name             string `json:"name"`
	Zone             string `json:"zone"`
	Version          string `json:"version"`
	SettingsNumber   uint64 `json:"settings"`
	RejectedSettings uint64 `json:"turned_down,omitempty"`
	RejectionReason  string `json:"reason,omitempty"`
	Leaving          bool   `json:"leaving,omitempty"`
}

// RolloutStatus returns the status of the fleet's rollouts. The error is ErrNotVoter if
// this member is not a voter.
func (f *Fleet) RolloutStatus() (RolloutStatus, error) {
	if f.stateMachine == nil {
		return RolloutStatus{}, ErrNotVoter
	}
	record := f.stateMachine.rolloutRecord()
	status := RolloutStatus{Record: record, DesiredVersions: record.DesiredVersions()}
	status.Owner, status.Token = f.stateMachine.grant(RolloutLease)
	for _, report := range f.rolloutDriver.latestReports() {
		status.Servers = append(status.Servers, ServerStatus{
			Name: report.Server, Zone: report.Zone, Version: report.Version, SettingsNumber: report.Settings,
			RejectedSettings: report.RejectedSettings, RejectionReason: report.RejectionReason, Leaving: report.Leaving,
		})
	}
	return status, nil
}

// StartRollout starts a plan. patch is the JSON merge patch of a rollout of settings,
// and nil for a rollout of the program. A plan without servers gets all servers whose
// latest report at this voter is not marked as leaving. The error is ErrNotVoter, the
// reason why the state machine rejected the plan, or wraps ctx.Err() if the log did
// not have the plan when ctx was done.
func (f *Fleet) StartRollout(ctx context.Context, plan rollout.Plan, patch json.RawMessage) error {
	if f.stateMachine == nil {
		return ErrNotVoter
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

// StopRollout halts the plan with an ID, so that all its servers roll back. Its errors
// are those of StartRollout.
func (f *Fleet) StopRollout(ctx context.Context, id, reason string) error {
	if f.stateMachine == nil {
		return ErrNotVoter
	}
	return f.rolloutDriver.submit(ctx, rollout.Command{Kind: rollout.Stop, ID: id, Reason: reason})
}

// latestReports returns the latest report of each server that has sent one.
func (d *rolloutDriver) latestReports() []rollout.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.collector.LatestReports()
}

// submit proposes an operator's command in each resubmitInterval until the state
// machine has applied it, and returns the outcome. The error wraps ctx.Err() if ctx is
// done first.
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
			return fmt.Errorf("fleet: rollout command not committed: %w", ctx.Err())
		case <-time.After(resubmitInterval):
		}
	}
}
