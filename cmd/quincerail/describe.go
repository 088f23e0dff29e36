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

// describeCmd prints the class of each operation in an API description, and the conflicts
// of the description with the settings and with the operator's rules.
type describeCmd struct {
	File  string `arg:"" help:"OpenAPI 3 or AsyncAPI 3 document, in JSON." type:"existingfile"`
	Rules string `help:"Rules file to compare the description with." type:"path"`
}

// Run prints the routes and the conflicts, and returns an error that wraps errProblemsFound
// if there are conflicts.
func (c *describeCmd) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	doc, err := describe.Parse(text)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	configuration, err := loadOptionalConfig()
	if err != nil {
		return err
	}
	conflicts := printRoutes(doc, configuration) + printClassConflicts(doc, configuration)
	ruleConflicts, err := c.printRuleConflicts(doc, configuration)
	if err != nil {
		return err
	}
	if conflicts += ruleConflicts; conflicts > 0 {
		return fmt.Errorf("%w: %d conflicts", errProblemsFound, conflicts)
	}
	return nil
}

// loadOptionalConfig loads the configuration file that the environment names. It returns nil
// if the environment names none.
func loadOptionalConfig() (*config.Config, error) {
	path := os.Getenv(config.EnvFile)
	if path == "" {
		return nil, nil
	}
	return config.Load(path)
}

// printRoutes prints each route, and returns the number of routes whose class is missing
// from the settings. Without a configuration it counts none.
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

// printClassConflicts prints the classes that have different values in the description and
// in the settings, and returns their number.
func printClassConflicts(doc *describe.Document, configuration *config.Config) (conflicts int) {
	if configuration == nil {
		return 0
	}
	for _, class := range doc.Classes {
		i := slices.Index(configuration.Classes, class.Name)
		if i < 0 || sameClassValues(class.Class, configuration.Settings.Classes[i]) {
			continue
		}
		fmt.Printf("class %s: the description says %s, the settings %s\n", class.Name,
			formatClassValues(class.Class), formatClassValues(configuration.Settings.Classes[i]))
		conflicts++
	}
	return conflicts
}

// printRuleConflicts prints the conflicts between the operator's rules and the description,
// and returns their number.
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

// sameClassValues reports whether the description and the settings give a class the same
// values, in the fields that a description can set. The key window counts only for keyed
// classes.
func sameClassValues(described, configured decision.Class) bool {
	return described.LatencyObjective == configured.LatencyObjective &&
		described.Deadline == configured.Deadline &&
		described.Idempotency == configured.Idempotency &&
		described.Weight == configured.Weight &&
		(described.Idempotency != decision.Keyed || described.KeyWindow == configured.KeyWindow)
}

// formatClassValues formats the fields that sameClassValues compares, under their names in
// descriptions.
func formatClassValues(c decision.Class) string {
	return fmt.Sprintf("aim %v, deadline %v, worth %v, effect %d, window %v", c.LatencyObjective, c.Deadline, c.Weight, c.Idempotency, c.KeyWindow)
}
