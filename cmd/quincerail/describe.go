package main

import (
	"fmt"
	"os"
	"slices"

	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/describe"
	"quincerail.example/quincerail/match"
)

// describeCmd prints the class of each operation of a description, and the conflicts of the
// description with the settings and with the operator's rules.
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
	doc, err := describe.Parse(text)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	configuration, err := optionalConfig()
	if err != nil {
		return err
	}
	conflicts := printRoutes(doc, configuration) + printClassConflicts(doc, configuration)
	ruleConflicts, err := c.printRuleConflicts(doc, configuration)
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
	path := os.Getenv(config.EnvFile)
	if path == "" {
		return nil, nil
	}
	return config.Load(path)
}

// printRoutes prints each route, and returns how many lead to a class that the settings
// don't have.
func printRoutes(doc *describe.Document, configuration *config.Config) (conflicts int) {
	for _, r := range doc.Routes {
		state := "classified"
		if configuration != nil && !slices.Contains(configuration.Classes, r.Class) {
			state = "unknown to the settings"
			conflicts++
		}
		fmt.Printf("%-6s %-32s %-14s key %-16s %s\n", r.Method, r.Path, r.Class, r.KeyHeader, state)
	}
	return conflicts
}

// printClassConflicts prints where the description and the settings disagree on a class,
// and returns how often.
func printClassConflicts(doc *describe.Document, configuration *config.Config) (conflicts int) {
	if configuration == nil {
		return 0
	}
	for _, class := range doc.Classes {
		i := slices.Index(configuration.Classes, class.Name)
		if i < 0 || agrees(class.Class, configuration.Settings.Classes[i]) {
			continue
		}
		fmt.Printf("class %s: the description says %s, the settings %s\n", class.Name,
			brief(class.Class), brief(configuration.Settings.Classes[i]))
		conflicts++
	}
	return conflicts
}

// printRuleConflicts prints where the operator's rules and the description disagree, and
// returns how often.
func (c *describeCmd) printRuleConflicts(doc *describe.Document, configuration *config.Config) (conflicts int, err error) {
	if c.Rules == "" {
		return 0, nil
	}
	var classes []string
	if configuration != nil {
		classes = configuration.Classes
	}
	rules, err := match.Load(c.Rules, classes)
	if err != nil {
		return 0, err
	}
	for _, conflict := range rules.DescriptionConflicts(doc) {
		fmt.Println(conflict)
		conflicts++
	}
	return conflicts, nil
}

// agrees reports whether a description and the settings have the same values for a class, in
// the fields that a description can set.
func agrees(described, configured decision.Class) bool {
	return described.LatencyObjective == configured.LatencyObjective &&
		described.Deadline == configured.Deadline &&
		described.Idempotency == configured.Idempotency &&
		described.Weight == configured.Weight &&
		(described.Idempotency != decision.Keyed || described.KeyWindow == configured.KeyWindow)
}

// brief formats the fields that agrees compares.
func brief(c decision.Class) string {
	return fmt.Sprintf("aim %v, deadline %v, worth %v, effect %d, window %v", c.LatencyObjective, c.Deadline, c.Weight, c.Idempotency, c.KeyWindow)
}
