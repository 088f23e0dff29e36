package rollout

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"
)

// TestRecord follows two changes of settings through the log: numbers only grow,
// a step that was made from an older record is refused, and once a plan has ended
// all servers are to run what it left in force.
func TestRecord(t *testing.T) {
	var r Record
	index := uint64(0)
	apply := func(c Command, want bool) {
		t.Helper()
		index++
		next, err := r.Apply(c, index)
		if (err == nil) != want {
			t.Fatalf("%s at %d: %v", c.Kind, index, err)
		}
		r = next
	}
	step := func(s State) Command {
		return Command{Kind: Step, PreviousIndex: r.Index, State: s, HistoriesUnchanged: true}
	}
	settings := func(server string) uint64 {
		byServer, others := r.DesiredSettings()
		if n, ok := byServer[server]; ok {
			return n
		}
		return others
	}
	apply(Command{Kind: Step}, false)
	apply(Command{Kind: Start, Plan: settingsPlan("a"), Patch: json.RawMessage("{")}, false)
	apply(Command{Kind: Start, Plan: settingsPlan("a"), Patch: json.RawMessage(`{"x":1}`)}, true)
	apply(Command{Kind: Start, Plan: settingsPlan("b"), Patch: json.RawMessage(`{"x":2}`)}, false) // one at a time
	late := step(State{Phase: Done, Stage: 1, Window: 9})
	apply(step(State{Phase: Replacing, Stage: 0, Window: 1}), true)
	apply(late, false)
	changed := 0
	for _, s := range r.Plan.Servers {
		if settings(s.Name) == 1 {
			changed++
		}
	}
	if changed != 1 || settings("new") != 0 {
		t.Errorf("%d servers of the first stage, others run %d", changed, settings("new"))
	}
	apply(step(State{Phase: Done, Stage: 1, Window: 2}), true)
	if settings("s0") != 1 || settings("new") != 1 || string(r.Patches[1]) != `{"x":1}` {
		t.Errorf("after it is done: %d, %d, %s", settings("s0"), settings("new"), r.Patches[1])
	}
	apply(Command{Kind: Start, Plan: settingsPlan("a"), Patch: json.RawMessage(`{"x":2}`)}, false) // the same ID
	apply(Command{Kind: Start, Plan: settingsPlan("b"), Patch: json.RawMessage(`{"x":2}`)}, true)
	if r.Plan.From != "1" || r.Plan.To != "2" {
		t.Errorf("from %s to %s", r.Plan.From, r.Plan.To)
	}
	apply(step(State{Phase: Baking, Stage: 1, Window: 5}), true)
	apply(Command{Kind: Stop, ID: "a"}, false)
	apply(Command{Kind: Stop, ID: "b", Reason: "enough"}, true)
	if r.State.Phase != RollingBack || settings("s0") != 1 || r.State.Reason != "enough" {
		t.Errorf("halted: %s, %d", r.State.Phase, settings("s0"))
	}
	apply(step(State{Phase: Halted, Window: 6}), true)
	if settings("s0") != 1 || r.LastSettings != 2 || len(r.Patches) != 1 {
		t.Errorf("all back: %d, last %d, %d patches", settings("s0"), r.LastSettings, len(r.Patches))
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
		"second plan":   {underWay, Command{Kind: Start, Plan: settingsPlan("b"), Patch: json.RawMessage("{}")}, "b", is(ErrPlanUnderWay)},
		"no plan":       {ended, Command{Kind: Start}, "", is(ErrPlanMissing)},
		"same ID":       {ended, Command{Kind: Start, Plan: settingsPlan("a"), Patch: json.RawMessage("{}")}, "a", is(ErrPlanIDReused)},
		"no JSON":       {ended, Command{Kind: Start, Plan: settingsPlan("b"), Patch: json.RawMessage("{")}, "b", is(ErrInvalidSettings)},
		"invalid plan":  {ended, Command{Kind: Start, Plan: invalid, Patch: json.RawMessage("{}")}, "b", invalidPlan},
		"old step":      {underWay, Command{Kind: Step, PreviousIndex: 6}, "", staleStep(6, 7)},
		"step at end":   {ended, Command{Kind: Step, PreviousIndex: 7}, "", staleStep(7, 7)},
		"another plan":  {underWay, Command{Kind: Stop, ID: "b"}, "b", is(ErrNotUnderWay)},
		"plan at end":   {ended, Command{Kind: Stop, ID: "a"}, "a", is(ErrNotUnderWay)},
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
