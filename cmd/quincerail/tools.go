package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/config/operator"
	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/describe"
	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/idempotency/journal"
	"quincerail.example/quincerail/match"
)

// checkCmd checks what serve would load, and names every problem, one a line.
type checkCmd struct {
	files
}

// Run implements the sub-command.
func (c *checkCmd) Run() error {
	var problems []string
	o, err := c.operator()
	if oe := (*operator.Error)(nil); errors.As(err, &oe) {
		for _, p := range oe.Problems {
			problems = append(problems, fmt.Sprintf("%s: %s", oe.File, p))
		}
	} else if err != nil {
		problems = append(problems, err.Error())
	}
	settings, err := config.Load(os.Getenv("GW_CONFIG"))
	if err != nil {
		problems = append(problems, err.Error())
	}
	if settings != nil && o != nil {
		if _, err := o.FleetConfig(settings.Name, settings.DependencyAddress, settings.Logger); err != nil {
			problems = append(problems, err.Error())
		}
		problems = append(problems, checkFiles(o, settings.Classes)...)
	}
	for _, p := range problems {
		fmt.Println(p)
	}
	if len(problems) > 0 {
		return fmt.Errorf("%w: %d", errFound, len(problems))
	}
	fmt.Println("ok")
	return nil
}

// checkFiles gives the problems of the files that an operator's file names, and
// prints their warnings.
func checkFiles(o *operator.File, classes []string) (problems []string) {
	if o.UWSGI != "" {
		front, err := config.LoadUWSGI(o.UWSGI, classes)
		if err == nil {
			err = checkListeners(o, front)
		}
		if err != nil {
			problems = append(problems, err.Error())
		}
	}
	if o.Rules == "" {
		return problems
	}
	set, err := match.Load(o.Rules, classes)
	if le := (*match.LoadError)(nil); errors.As(err, &le) {
		for _, p := range le.Problems {
			problems = append(problems, fmt.Sprintf("%s: %s", o.Rules, p))
		}
	} else if err != nil {
		problems = append(problems, err.Error())
	} else {
		for _, w := range set.Warnings() {
			fmt.Printf("%s: warning: %s\n", o.Rules, w)
		}
	}
	return problems
}

// describeCmd reports what a description's operations come to: which class
// each names, whether the settings know it and agree with it, and where the
// operator's rules disagree.
type describeCmd struct {
	File  string `arg:"" help:"OpenAPI 3 or AsyncAPI 3 document, in JSON." type:"existingfile"`
	Rules string `help:"File of rules to compare the description with." type:"path"`
}

// Run implements the sub-command.
func (c *describeCmd) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	doc, err := describe.Load(text)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	settings, err := optionalConfig()
	if err != nil {
		return err
	}
	conflicts := printRoutes(doc, settings) + printClassConflicts(doc, settings)
	ruleConflicts, err := c.printRuleConflicts(doc, settings)
	if err != nil {
		return err
	}
	if conflicts += ruleConflicts; conflicts > 0 {
		return fmt.Errorf("%w: %d conflicts", errFound, conflicts)
	}
	return nil
}

// optionalConfig reads the configuration, nil where the environment names none.
func optionalConfig() (*config.Config, error) {
	path := os.Getenv("GW_CONFIG")
	if path == "" {
		return nil, nil
	}
	return config.Load(path)
}

// printRoutes prints each route, and returns how many lead to a class that the settings
// don't have.
func printRoutes(doc *describe.Document, settings *config.Config) (conflicts int) {
	for _, r := range doc.Routes {
		state := "classified"
		if settings != nil && !slices.Contains(settings.Classes, r.Class) {
			state = "unknown to the settings"
			conflicts++
		}
		fmt.Printf("%-6s %-32s %-14s key %-16s %s\n", r.Method, r.Path, r.Class, r.KeyHeader, state)
	}
	return conflicts
}

// printClassConflicts prints where the description and the settings disagree on a class,
// and returns how often.
func printClassConflicts(doc *describe.Document, settings *config.Config) (conflicts int) {
	if settings == nil {
		return 0
	}
	for _, class := range doc.Classes {
		i := slices.Index(settings.Classes, class.Name)
		if i < 0 || agrees(class.Class, settings.Settings.Classes[i]) {
			continue
		}
		fmt.Printf("class %s: the description says %s, the settings %s\n", class.Name,
			brief(class.Class), brief(settings.Settings.Classes[i]))
		conflicts++
	}
	return conflicts
}

// printRuleConflicts prints where the operator's rules and the description disagree, and
// returns how often.
func (c *describeCmd) printRuleConflicts(doc *describe.Document, settings *config.Config) (conflicts int, err error) {
	if c.Rules == "" {
		return 0, nil
	}
	var classes []string
	if settings != nil {
		classes = settings.Classes
	}
	rules, err := match.Load(c.Rules, classes)
	if err != nil {
		return 0, err
	}
	for _, conflict := range rules.Against(doc) {
		fmt.Println(conflict)
		conflicts++
	}
	return conflicts, nil
}

// agrees tells whether a description says of a class what the settings do, in
// what both know.
func agrees(d, s decision.Class) bool {
	return d.LatencyObjective == s.LatencyObjective && d.Deadline == s.Deadline && d.Effect == s.Effect && d.Weight == s.Weight &&
		(d.Effect != decision.Keyed || d.KeyWindow == s.KeyWindow)
}

func brief(c decision.Class) string {
	return fmt.Sprintf("aim %v, deadline %v, worth %v, effect %d, window %v", c.LatencyObjective, c.Deadline, c.Weight, c.Effect, c.KeyWindow)
}

// keysCmd reports what a folder of keys holds, as a new process would find it.
type keysCmd struct {
	Dir  string `arg:"" help:"The folder that serve --keys writes." type:"existingdir"`
	List bool   `help:"Name each key and what became of it."`
}

// Run implements the sub-command.
func (c *keysCmd) Run() error {
	contents, err := journal.Inspect(c.Dir, time.Now())
	if err != nil {
		return err
	}
	if until := contents.InDoubtUntil; !until.IsZero() {
		fmt.Printf("unknown keys in doubt until %s\n", until.Format(time.RFC3339))
	}
	if c.List {
		listKeys(contents.States)
	}
	countKeys(contents)
	if contents.TruncatedBytes > 0 {
		fmt.Printf("%d bytes of a write that never finished\n", contents.TruncatedBytes)
	}
	for _, loss := range contents.Losses {
		fmt.Printf("loss: %s\n", loss)
	}
	if len(contents.Losses) > 0 {
		return fmt.Errorf("%w: %d losses", errFound, len(contents.Losses))
	}
	return nil
}

// What became of a key, as the sub-command names it.
const (
	keyCompleted = "done"
	keyInDoubt   = "in doubt"
	keyFailed    = "failed"
	keyNotRun    = "not run"
)

// keyOutcome returns what became of a key.
func keyOutcome(state dispatch.KeyState) string {
	switch {
	case state.RanAttemptID == "":
		return keyNotRun
	case !state.Completed:
		return keyInDoubt
	case state.Result == nil:
		return keyFailed
	default:
		return keyCompleted
	}
}

// listKeys prints each key and what became of it, in order of the keys.
func listKeys(states []dispatch.KeyState) {
	lines := make([]string, len(states))
	for i, state := range states {
		lines[i] = fmt.Sprintf("%s\t%s\t%s\tuntil %s", state.Key, state.Class, keyOutcome(state), state.ExpiresAt.Format(time.RFC3339))
	}
	slices.Sort(lines)
	for _, line := range lines {
		fmt.Println(line)
	}
}

// countKeys prints how many keys there are of each outcome.
func countKeys(contents *journal.Contents) {
	counts := map[string]int{}
	for _, state := range contents.States {
		counts[keyOutcome(state)]++
	}
	unreadable := len(contents.UnreadableKeys)
	fmt.Printf("%d keys: %d done, %d in doubt, %d failed, %d not run, %d unreadable\n", len(contents.States)+unreadable,
		counts[keyCompleted], counts[keyInDoubt], counts[keyFailed], counts[keyNotRun], unreadable)
}

// versionCmd prints what the program was built from.
type versionCmd struct{}

// Run implements the sub-command.
func (versionCmd) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("no build information")
	}
	revision := "unknown"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	fmt.Printf("quincerail %s, revision %s, %s\n", info.Main.Version, revision, info.GoVersion)
	return nil
}
