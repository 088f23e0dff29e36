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

// RolloutTarget is the process that a rollout changes and measures. The fleet calls its
// methods from its own goroutines.
type RolloutTarget interface {
	// Totals returns the counts since the process started.
	Totals() rollout.Totals
	// Apply applies settings: a JSON merge patch (RFC 7396) on those of the process's
	// own file, or nil for the file's settings. After an error, the settings in use are
	// unchanged.
	Apply(patch json.RawMessage) error
}

// rolloutDriver runs a member's side of rollouts. Every member sends reports to the
// voters and applies the owner's directives. The owner of RolloutLease also proposes
// the rollout's steps.
type rolloutDriver struct {
	config       *Config
	log          *slog.Logger
	incarnation  uint64
	stateMachine *stateMachine // nil if this member is not a voter
	node         interface{ RunInLoop(func() [][]byte) }
	aliveVoters  func() []string
	send         func(to string, message []byte)
	sendReliable func(to string, message []byte) error
	holdsLease   func(name string) (lease.Token, bool)

	directives chan rollout.Directive // the latest directive to apply; capacity 1

	mu                 sync.Mutex
	target             RolloutTarget
	seq                uint64             // sequence number of the latest report
	collector          *rollout.Collector // of members' reports; every voter has one, so that a new owner knows the reports
	follower           rollout.Follower
	directivesInFlight map[string]bool // members that a directive is being sent to
}

func newRolloutDriver(f *Fleet) *rolloutDriver {
	return &rolloutDriver{
		config:             &f.config,
		log:                f.log,
		incarnation:        f.self.Incarnation,
		aliveVoters:        f.aliveVoters,
		holdsLease:         f.HoldsLease,
		directives:         make(chan rollout.Directive, 1),
		collector:          rollout.NewCollector(),
		directivesInFlight: map[string]bool{},
	}
}

// SetRolloutTarget sets the process whose totals this member reports and whose settings
// rollouts change. Without a target, the member sends no reports.
func (f *Fleet) SetRolloutTarget(target RolloutTarget) {
	f.rolloutDriver.mu.Lock()
	defer f.rolloutDriver.mu.Unlock()
	f.rolloutDriver.target = target
}

// report returns this process's next report, or nil if there is no target.
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
	for _, voter := range d.aliveVoters() {
		if voter == d.config.Self {
			d.receiveReport(body)
		} else {
			d.send(voter, message)
		}
	}
}

// receiveReport passes an encoded report of a member to the collector.
func (d *rolloutDriver) receiveReport(message []byte) {
	report, ok := decodeUpdate[rollout.Report](d.log, message)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.collector.Observe(report)
}

// receiveDirective queues the owner's encoded directive on this process's settings. It
// rejects directives of former owners.
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
	select { // drop an earlier directive
	case <-d.directives:
	default:
	}
	select {
	case d.directives <- directive:
	default: // another goroutine has queued a directive meanwhile
	}
}

// applyDirectives applies queued directives until ctx is done.
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

// applyDirective applies a directive to the target. Without a target it does nothing,
// because the owner sends the directive again.
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

// run sends a report in each window, and proposes the rollout's steps while this
// process owns RolloutLease. When ctx is done, it sends a last report, marked as
// leaving, and returns.
func (d *rolloutDriver) run(ctx context.Context) {
	var applier sync.WaitGroup
	defer applier.Wait()
	applier.Go(func() { d.applyDirectives(ctx) })
	ticker := time.NewTicker(d.config.RolloutWindow)
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

// endWindow ends a window. The owner of RolloutLease then sends directives and proposes
// a step, but no step after its first window, because the former owner may already have
// evaluated a part of that window. endWindow returns the token under which this process
// owns the lease, or the zero token if it doesn't. previous is the result for the
// previous window.
func (d *rolloutDriver) endWindow(previous lease.Token) lease.Token {
	record := d.stateMachine.rolloutRecord()
	kind := rollout.Program
	if record.Plan != nil {
		kind = record.Plan.Kind
	}
	d.mu.Lock()
	samples := d.collector.EndWindow(kind)
	d.mu.Unlock()
	token, owns := d.holdsLease(RolloutLease)
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

// sendDirectives sends directives to the servers whose latest report has other
// settings than the record wants. It skips servers that are leaving or have rejected
// these settings.
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

// sendDirective sends an encoded directive to a server without blocking. It drops the
// directive if an earlier send to that server has not returned yet.
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
