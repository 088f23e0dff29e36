package rollout

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"
)

// recordLog applies the commands of a test to a record.
type recordLog struct {
	*testing.T
	record Record
	index  uint64
}

// apply applies a command at the next index. It fails the test if the command is
// accepted and should not be, or the reverse.
func (l *recordLog) apply(c Command, accepted bool) {
	l.Helper()
	l.index++
	next, err := l.record.Apply(c, l.index)
	if (err == nil) != accepted {
		l.Fatalf("Apply(%s) at index %d = %v, want accepted = %v", c.Kind, l.index, err, accepted)
	}
	l.record = next
}

// start returns a command that begins a change of settings.
func (l *recordLog) start(id, patch string) Command {
	return Command{Kind: Start, Plan: settingsPlan(id), Patch: json.RawMessage(patch)}
}

// step returns a Step command that is derived from the current record.
func (l *recordLog) step(s State) Command {
	return Command{Kind: Step, PreviousIndex: l.record.Index, State: s, HistoriesUnchanged: true}
}

// settings returns the number of the settings that a server should run.
func (l *recordLog) settings(server string) uint64 {
	byServer, others := l.record.DesiredSettings()
	if n, ok := byServer[server]; ok {
		return n
	}
	return others
}

// TestRecord_AppliesSettingsChanges applies the commands of two changes of settings. It
// checks that each change gets the next settings number, that a step derived from an
// older record is rejected, and which settings the servers should run during a change
// and after it.
func TestRecord_AppliesSettingsChanges(t *testing.T) {
	l := &recordLog{T: t}
	completeChange(l)
	haltChange(l)
}

// completeChange applies the commands of the first change, which reaches all servers.
func completeChange(l *recordLog) {
	l.apply(Command{Kind: Step}, false)
	l.apply(l.start("a", "{"), false)
	l.apply(l.start("a", `{"x":1}`), true)
	l.apply(l.start("b", `{"x":2}`), false) // rejected: only one plan at a time
	stale := l.step(State{Phase: Done, Stage: 1, Window: 9})
	l.apply(l.step(State{Phase: Replacing, Stage: 0, Window: 1}), true)
	l.apply(stale, false)
	changed := 0
	for _, s := range l.record.Plan.Servers {
		if l.settings(s.Name) == 1 {
			changed++
		}
	}
	if changed != 1 || l.settings("new") != 0 {
		l.Errorf("in stage 0, settings 1 are desired on %d servers of the plan, want 1; servers outside the plan should run settings %d, want 0", changed, l.settings("new"))
	}
	l.apply(l.step(State{Phase: Done, Stage: 1, Window: 2}), true)
	if l.settings("s0") != 1 || l.settings("new") != 1 || string(l.record.Patches[1]) != `{"x":1}` {
		l.Errorf(`after the plan is done, s0 should run settings %d and other servers %d, want 1 and 1; their patch is %s, want {"x":1}`, l.settings("s0"), l.settings("new"), l.record.Patches[1])
	}
}

// haltChange applies the commands of the second change, which an operator halts and which
// rolls back.
func haltChange(l *recordLog) {
	l.apply(l.start("a", `{"x":2}`), false) // rejected: the ID of the previous plan
	l.apply(l.start("b", `{"x":2}`), true)
	if plan := l.record.Plan; plan.From != "1" || plan.To != "2" {
		l.Errorf("the plan is from %s to %s, want from 1 to 2", plan.From, plan.To)
	}
	l.apply(l.step(State{Phase: Baking, Stage: 1, Window: 5}), true)
	l.apply(Command{Kind: Stop, ID: "a"}, false)
	l.apply(Command{Kind: Stop, ID: "b", Reason: "enough"}, true)
	if state := l.record.State; state.Phase != RollingBack || l.settings("s0") != 1 || state.Reason != "enough" {
		l.Errorf("after Stop the phase is %s with reason %q and s0 should run settings %d, want %s with reason enough and settings 1",
			state.Phase, state.Reason, l.settings("s0"), RollingBack)
	}
	l.apply(l.step(State{Phase: Halted, Window: 6}), true)
	if l.settings("s0") != 1 || l.record.LastSettings != 2 || len(l.record.Patches) != 1 {
		l.Errorf("after the rollback s0 should run settings %d, LastSettings is %d with %d patches, want 1, 2 and 1 patch", l.settings("s0"), l.record.LastSettings, len(l.record.Patches))
	}
}

// TestApply_RejectsInvalidCommands checks that a rejected command leaves the record
// unchanged, and that its error has the reason, the plan and the index.
func TestApply_RejectsInvalidCommands(t *testing.T) {
	inProgress := Record{Index: 7, Plan: settingsPlan("a"), State: State{Phase: Baking}}
	ended := Record{Index: 7, Plan: settingsPlan("a"), State: State{Phase: Done}}
	invalid := settingsPlan("b")
	invalid.Stages = nil
	hasReason := func(reason error) func(error) bool {
		return func(err error) bool { return errors.Is(err, reason) }
	}
	invalidPlan := func(err error) bool {
		var plan *PlanError
		return errors.As(err, &plan) && plan.PlanID == "b"
	}
	staleStep := func(previous, current uint64) func(error) bool {
		return func(err error) bool {
			var step *StaleStepError
			return errors.As(err, &step) && step.PreviousIndex == previous && step.RecordIndex == current
		}
	}
	for name, c := range map[string]struct {
		record  Record
		command Command
		planID  string
		reason  func(error) bool
	}{
		"start while another plan is in progress": {inProgress, Command{Kind: Start, Plan: settingsPlan("b"), Patch: json.RawMessage("{}")}, "b", hasReason(ErrPlanInProgress)},
		"start without a plan":                    {ended, Command{Kind: Start}, "", hasReason(ErrPlanMissing)},
		"start with the ID of the previous plan":  {ended, Command{Kind: Start, Plan: settingsPlan("a"), Patch: json.RawMessage("{}")}, "a", hasReason(ErrPlanIDReused)},
		"start with invalid JSON":                 {ended, Command{Kind: Start, Plan: settingsPlan("b"), Patch: json.RawMessage("{")}, "b", hasReason(ErrInvalidSettings)},
		"start of an invalid plan":                {ended, Command{Kind: Start, Plan: invalid, Patch: json.RawMessage("{}")}, "b", invalidPlan},
		"step from an older record":               {inProgress, Command{Kind: Step, PreviousIndex: 6}, "", staleStep(6, 7)},
		"step after the end of the plan":          {ended, Command{Kind: Step, PreviousIndex: 7}, "", staleStep(7, 7)},
		"stop of another plan":                    {inProgress, Command{Kind: Stop, ID: "b"}, "b", hasReason(ErrPlanNotInProgress)},
		"stop after the end of the plan":          {ended, Command{Kind: Stop, ID: "a"}, "a", hasReason(ErrPlanNotInProgress)},
		"unknown command kind":                    {inProgress, Command{Kind: "pause", ID: "a"}, "a", hasReason(ErrUnknownCommand)},
		"missing command kind":                    {inProgress, Command{}, "", hasReason(ErrUnknownCommand)},
		"step before the first plan":              {Record{}, Command{Kind: Step}, "", staleStep(0, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			after, err := c.record.Apply(c.command, 9)
			if !reflect.DeepEqual(after, c.record) {
				t.Errorf("the rejected command changed the record to %+v, want the unchanged %+v", after, c.record)
			}
			var rejection *CommandError
			if !errors.As(err, &rejection) || rejection.Kind != c.command.Kind || rejection.PlanID != c.planID || rejection.Index != 9 {
				t.Fatalf("Apply() = %#v, want a CommandError of kind %q, plan %q and index 9", err, c.command.Kind, c.planID)
			}
			if !c.reason(err) {
				t.Errorf("Apply() = %v, which does not have the reason that this case expects", err)
			}
		})
	}
}
