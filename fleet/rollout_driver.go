package fleet

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/fleet/rollout"
)

// Target is what a rollout changes and compares: this process. Its methods are
// called from the fleet's goroutines.
type Target interface {
	// Totals returns what was counted since the process began.
	Totals() rollout.Totals
	// Apply puts settings in force: a JSON merge patch (RFC 7396) on those of the
	// process's own file, nil for the file alone. With an error nothing has changed.
	Apply(patch json.RawMessage) error
}

// rolloutDriver is a member's part in rollouts. Every member reports to the voters
// and applies the owner's directives; the owner of RolloutLease takes the steps.
type rolloutDriver struct {
	config       *Config
	log          *slog.Logger
	incarnation  uint64
	stateMachine *stateMachine // nil in a member that is no voter
	node         interface{ RunInLoop(func() [][]byte) }
	voters       func() []string
	send         func(to string, message []byte)
	sendReliable func(to string, message []byte) error
	owner        func(lease string) (lease.Token, bool)

	directives chan rollout.Directive // the latest that is to be applied

	mu                 sync.Mutex
	target             Target
	seq                uint64
	collector          *rollout.Collector // of members' reports; each voter keeps one, so that the next owner has them
	follower           rollout.Follower
	directivesInFlight map[string]bool // by member
}

func newRolloutDriver(f *Fleet) *rolloutDriver {
	return &rolloutDriver{
		config:             &f.config,
		log:                f.log,
		incarnation:        f.self.Incarnation,
		voters:             f.aliveVoters,
		owner:              f.Owner,
		directives:         make(chan rollout.Directive, 1),
		collector:          rollout.NewCollector(),
		directivesInFlight: map[string]bool{},
	}
}

// Follow sets the target that the fleet reports on, and whose settings it changes.
func (f *Fleet) Follow(target Target) {
	f.rolloutDriver.mu.Lock()
	defer f.rolloutDriver.mu.Unlock()
	f.rolloutDriver.target = target
}

// report returns this process's next report; nil while there is no target.
func (d *rolloutDriver) report(leaving bool) *rollout.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.target == nil {
		return nil
	}
	d.seq++
	number, rejected, reason := d.follower.Settings()
	return &rollout.Report{
		Server: d.config.Self, Zone: d.config.Zone, Incarnation: d.incarnation, Sequence: d.seq, Version: d.config.Version,
		Settings: number, RejectedSettings: rejected, RejectionReason: reason, Leaving: leaving, Totals: d.target.Totals(),
	}
}

// sendReport sends this process's next report to all voters.
func (d *rolloutDriver) sendReport(leaving bool) {
	report := d.report(leaving)
	if report == nil {
		return
	}
	body, err := cbor.Marshal(report)
	if err != nil {
		d.log.Error(eventReportEncodeFailed, "error", err.Error())
		return
	}
	message := append([]byte{messageReport}, body...)
	for _, voter := range d.voters() {
		if voter == d.config.Self {
			d.receiveReport(body)
		} else {
			d.send(voter, message)
		}
	}
}

// receiveReport takes a member's report.
func (d *rolloutDriver) receiveReport(message []byte) {
	report, ok := decodeUpdate[rollout.Report](d.log, message)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.collector.Observe(report)
}

// receiveDirective takes the owner's directive on this process's settings, unless
// it is a former owner's.
func (d *rolloutDriver) receiveDirective(message []byte) {
	directive, ok := decodeUpdate[rollout.Directive](d.log, message)
	if !ok {
		return
	}
	d.mu.Lock()
	apply, err := d.follower.Accept(directive)
	d.mu.Unlock()
	if err != nil {
		d.log.Warn(eventDirectiveRefused, "settings", directive.SettingsNumber, "error", err.Error())
		return
	}
	if !apply {
		return
	}
	select { // drop an earlier one
	case <-d.directives:
	default:
	}
	select {
	case d.directives <- directive:
	default: // a later one was put there meanwhile
	}
}

// applyDirectives applies directives as they come.
func (d *rolloutDriver) applyDirectives(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case directive := <-d.directives:
			d.applyDirective(directive)
		}
	}
}

// applyDirective applies a directive. Without a target it does nothing: the owner
// sends the directive again.
func (d *rolloutDriver) applyDirective(directive rollout.Directive) {
	d.mu.Lock()
	target := d.target
	d.mu.Unlock()
	if target == nil {
		return
	}
	err := target.Apply(directive.Patch)
	d.mu.Lock()
	d.follower.RecordResult(directive, err)
	d.mu.Unlock()
	if err != nil {
		d.log.Warn(eventSettingsRejected, "settings", directive.SettingsNumber, "error", err.Error())
		return
	}
	d.log.Info(eventSettingsApplied, "settings", directive.SettingsNumber, "token", directive.Token.String(), "entry", directive.Index)
}

// run reports in each window, and takes the rollout's steps while this process owns
// RolloutLease.
func (d *rolloutDriver) run(ctx context.Context) {
	var applier sync.WaitGroup
	defer applier.Wait()
	applier.Go(func() { d.applyDirectives(ctx) })
	ticker := time.NewTicker(d.config.Window)
	defer ticker.Stop()
	var previous lease.Token
	for {
		select {
		case <-ctx.Done():
			d.sendReport(true)
			return
		case <-ticker.C:
		}
		d.sendReport(false)
		if d.stateMachine != nil {
			previous = d.endWindow(previous)
		}
	}
}

// endWindow ends a window, and returns the token under which this process owns the
// lease. previous is that of the window before: an owner proposes no step in its
// first window, as the owner before may have judged a part of it.
func (d *rolloutDriver) endWindow(previous lease.Token) lease.Token {
	record := d.stateMachine.rolloutRecord()
	kind := rollout.Program
	if record.Plan != nil {
		kind = record.Plan.Kind
	}
	d.mu.Lock()
	samples := d.collector.EndWindow(kind)
	d.mu.Unlock()
	token, owns := d.owner(RolloutLease)
	if !owns {
		return lease.Token{}
	}
	d.sendDirectives(&record, token)
	if token == previous && !record.Ended() {
		d.propose(command{Rollout: &rolloutCommand{Token: token, Command: record.NextCommand(samples)}})
	}
	return token
}

func (d *rolloutDriver) propose(c command) {
	entries := encodeCommands(d.log, c)
	d.node.RunInLoop(func() [][]byte { return entries })
}

// sendDirectives sends the settings of the log's record to the servers that run
// others, under the owner's token.
func (d *rolloutDriver) sendDirectives(record *rollout.Record, token lease.Token) {
	byServer, others := record.DesiredSettings()
	for _, report := range d.latestReports() {
		number, ok := byServer[report.Server]
		if !ok {
			number = others
		}
		rejected := report.RejectedSettings == number && number != 0
		if report.Settings == number || rejected || report.Leaving {
			continue
		}
		body, err := cbor.Marshal(rollout.Directive{
			Token: token, Index: record.Index, SettingsNumber: number, Patch: record.Patches[number],
		})
		if err != nil {
			d.log.Error(eventDirectiveEncodeFailed, "error", err.Error())
			return
		}
		d.sendDirective(report.Server, body)
	}
}

// sendDirective sends an encoded directive to a server, unless one is on its way
// there.
func (d *rolloutDriver) sendDirective(server string, body []byte) {
	if server == d.config.Self {
		d.receiveDirective(body)
		return
	}
	d.mu.Lock()
	inFlight := d.directivesInFlight[server]
	d.directivesInFlight[server] = true
	d.mu.Unlock()
	if inFlight {
		return
	}
	go func() {
		if err := d.sendReliable(server, append([]byte{messageDirective}, body...)); err != nil {
			d.log.Debug(eventDirectiveSendFailed, "to", server, "error", err.Error())
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.directivesInFlight, server)
	}()
}
