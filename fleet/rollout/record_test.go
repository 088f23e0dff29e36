package rollout

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"
)

// recordLog is a record with the commands that are applied to it in a test.
type recordLog struct {
	*testing.T
	record Record
	index  uint64
}

// apply applies a command at the next index, and checks whether it is accepted.
func (l *recordLog) apply(c Command, accepted bool) {
	l.Helper()
	l.index++
	next, err := l.record.Apply(c, l.index)
	if (err == nil) != accepted {
		l.Fatalf("%s at %d: %v", c.Kind, l.index, err)
	}
	l.record = next
}

// start makes the command that begins a change of settings.
func (l *recordLog) start(id, patch string) Command {
	return Command{Kind: Start, Plan: settingsPlan(id), Patch: json.RawMessage(patch)}
}

// step makes a step from the present record.
func (l *recordLog) step(s State) Command {
	return Command{Kind: Step, PreviousIndex: l.record.Index, State: s, HistoriesUnchanged: true}
}

// settings returns the number of the settings that a server is to run.
func (l *recordLog) settings(server string) uint64 {
	byServer, others := l.record.DesiredSettings()
	if n, ok := byServer[server]; ok {
		return n
	}
	return others
}

// TestRecord follows two changes of settings through the log: numbers only grow,
// a step that was made from an older record is refused, and once a plan has ended
// all servers are to run what it left in force.
func TestRecord(t *testing.T) {
	l := &recordLog{T: t}
	completeChange(l)
	haltChange(l)
}

// completeChange has the first change of settings go out to all servers.
func completeChange(l *recordLog) {
	l.apply(Command{Kind: Step}, false)
	l.apply(l.start("a", "{"), false)
	l.apply(l.start("a", `{"x":1}`), true)
	l.apply(l.start("b", `{"x":2}`), false) // one at a time
	late := l.step(State{Phase: Done, Stage: 1, Window: 9})
	l.apply(l.step(State{Phase: Replacing, Stage: 0, Window: 1}), true)
	l.apply(late, false)
	changed := 0
	for _, s := range l.record.Plan.Servers {
		if l.settings(s.Name) == 1 {
			changed++
		}
	}
	if changed != 1 || l.settings("new") != 0 {
		l.Errorf("%d servers of the first stage, others run %d", changed, l.settings("new"))
	}
	l.apply(l.step(State{Phase: Done, Stage: 1, Window: 2}), true)
	if l.settings("s0") != 1 || l.settings("new") != 1 || string(l.record.Patches[1]) != `{"x":1}` {
		l.Errorf("after it is done: %d, %d, %s", l.settings("s0"), l.settings("new"), l.record.Patches[1])
	}
}

// haltChange has an operator halt the second change, which rolls back.
func haltChange(l *recordLog) {
	l.apply(l.start("a", `{"x":2}`), false) // the same ID
	l.apply(l.start("b", `{"x":2}`), true)
	if plan := l.record.Plan; plan.From != "1" || plan.To != "2" {
		l.Errorf("from %s to %s", plan.From, plan.To)
	}
	l.apply(l.step(State{Phase: Baking, Stage: 1, Window: 5}), true)
	l.apply(Command{Kind: Stop, ID: "a"}, false)
	l.apply(Command{Kind: Stop, ID: "b", Reason: "enough"}, true)
	if state := l.record.State; state.Phase != RollingBack || l.settings("s0") != 1 || state.Reason != "enough" {
		l.Errorf("halted: %s, %d", state.Phase, l.settings("s0"))
	}
	l.apply(l.step(State{Phase: Halted, Window: 6}), true)
	if l.settings("s0") != 1 || l.record.LastSettings != 2 || len(l.record.Patches) != 1 {
		l.Errorf("all back: %d, last %d, %d patches", l.settings("s0"), l.record.LastSettings, len(l.record.Patches))
	}
}

// TestRefusals checks that a refused command leaves the record as it is, and that
// its error has the reason, the plan and the index.
func TestRefusals(t *testing.T) {
	underWay := Record{Index: 7, Plan: settingsPlan("a"), State: State{Phase: Baking}}
	ended := Record{Index: 7, Plan: settingsPlan("a"), State: State{Phase: Done}}
	invalid := settingsPlan("b")
	invalid.Stages = nil
	is := func(reason error) func(error) bool {
		return func(err error) bool { return errors.Is(err, reason) }
	}
	invalidPlan := func(err error) bool {
		var plan *PlanError
		return errors.As(err, &plan) && plan.PlanID == "b"
	}
	staleStep := func(previous, present uint64) func(error) bool {
		return func(err error) bool {
			var step *StaleStepError
			return errors.As(err, &step) && step.PreviousIndex == previous && step.RecordIndex == present
		}
	}
	for name, c := range map[string]struct {
		record  Record
		command Command
		planID  string
		reason  func(error) bool
	}{
		"second plan":   {underWay, Command{Kind: Start, Plan: settingsPlan("b"), Patch: json.RawMessage("{}")}, "b", is(ErrPlanInProgress)},
		"no plan":       {ended, Command{Kind: Start}, "", is(ErrPlanMissing)},
		"same ID":       {ended, Command{Kind: Start, Plan: settingsPlan("a"), Patch: json.RawMessage("{}")}, "a", is(ErrPlanIDReused)},
		"no JSON":       {ended, Command{Kind: Start, Plan: settingsPlan("b"), Patch: json.RawMessage("{")}, "b", is(ErrInvalidSettings)},
		"invalid plan":  {ended, Command{Kind: Start, Plan: invalid, Patch: json.RawMessage("{}")}, "b", invalidPlan},
		"old step":      {underWay, Command{Kind: Step, PreviousIndex: 6}, "", staleStep(6, 7)},
		"step at end":   {ended, Command{Kind: Step, PreviousIndex: 7}, "", staleStep(7, 7)},
		"another plan":  {underWay, Command{Kind: Stop, ID: "b"}, "b", is(ErrPlanNotInProgress)},
		"plan at end":   {ended, Command{Kind: Stop, ID: "a"}, "a", is(ErrPlanNotInProgress)},
		"unknown kind":  {underWay, Command{Kind: "pause", ID: "a"}, "a", is(ErrUnknownCommand)},
		"missing kind":  {underWay, Command{}, "", is(ErrUnknownCommand)},
		"never started": {Record{}, Command{Kind: Step}, "", staleStep(0, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			after, err := c.record.Apply(c.command, 9)
			if !reflect.DeepEqual(after, c.record) {
				t.Errorf("the record changed to %+v", after)
			}
			var refusal *CommandError
			if !errors.As(err, &refusal) || refusal.Kind != c.command.Kind || refusal.PlanID != c.planID || refusal.Index != 9 {
				t.Fatalf("error %#v", err)
			}
			if !c.reason(err) {
				t.Errorf("error %v", err)
			}
		})
	}
}
