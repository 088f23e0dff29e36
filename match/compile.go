package match

import (
	"fmt"
	"slices"
	"strings"

	"cel.dev/cel-go/cel"
)

// DefaultMaxCost is how many CEL cost units a rule's evaluation may take, estimated and
// actual, if a file does not say.
const DefaultMaxCost = 50_000

// Bounds of the language, whatever a file says.
const (
	maxNesting = 1     // of comprehensions in comprehensions
	maxDepth   = 32    // of an expression's tree
	maxNodes   = 1_000 // of an expression
)

// Bounds of a request that the cost estimate assumes.
const (
	maxHeaders     = 128
	maxHeaderBytes = 8 << 10 // of a name or a value
	maxPathBytes   = 8 << 10
	maxBodyBytes   = 64 << 10
)

// Names of a rule's fields, in problems.
const (
	fieldMatch = "match"
	fieldClass = "class"
	fieldKey   = "key"
)

// Options are what rules are checked against.
type Options struct {
	Classes []string // that a rule may name; a constant class that is not among them is a problem
	MaxCost uint64   // bound of an evaluation, in CEL cost units; 0 for DefaultMaxCost
}

// Compile checks and compiles rules. If one is invalid, none is used, and the error is a
// *LoadError that reports every problem.
func Compile(rules []Rule, options Options) (*Set, error) {
	if options.MaxCost == 0 {
		options.MaxCost = DefaultMaxCost
	}
	env, err := newEnv()
	if err != nil {
		return nil, fmt.Errorf("match: %w", err)
	}
	s := &Set{maxCost: options.MaxCost}
	var problems []Problem
	seen := map[string]bool{}
	for i, rule := range rules {
		name := rule.Name
		if name == "" {
			name = fmt.Sprintf("rule[%d]", i)
			problems = append(problems, Problem{Rule: name, Reason: "a name is needed"})
		} else if seen[name] {
			problems = append(problems, Problem{Rule: name, Reason: "the name is taken by an earlier rule"})
		}
		seen[name] = true
		c := &ruleCompiler{env: env, options: options, name: name}
		s.rules = append(s.rules, c.compile(rule))
		s.usesBody = s.usesBody || strings.Contains(rule.Match+rule.Class+rule.Key, varBody)
		problems = append(problems, c.problems...)
	}
	if len(problems) > 0 {
		return nil, &LoadError{problems}
	}
	s.index = newIndex(s.rules)
	s.warnings = overlaps(s)
	return s, nil
}

// ruleCompiler compiles the fields of one rule and collects its problems.
type ruleCompiler struct {
	env      *cel.Env
	options  Options
	name     string // of the rule
	cost     uint64 // estimated maximum of the fields so far
	problems []Problem
}

func (c *ruleCompiler) compile(rule Rule) compiledRule {
	compiled := compiledRule{Rule: rule}
	compiled.match, compiled.matchAST = c.compileField(fieldMatch, rule.Match, cel.BoolType)
	compiled.class, _ = c.compileField(fieldClass, rule.Class, cel.StringType)
	compiled.key, _ = c.compileField(fieldKey, rule.Key, cel.StringType)
	return compiled
}

// compileField compiles one field. It returns nil if the field is empty or has a problem.
func (c *ruleCompiler) compileField(field, text string, want *cel.Type) (cel.Program, *cel.Ast) {
	if text == "" {
		if field != fieldKey {
			c.report(field, "an expression is needed")
		}
		return nil, nil
	}
	checked := c.check(field, text, want)
	if checked == nil || !c.boundCost(field, checked) {
		return nil, nil
	}
	c.checkClass(field, checked)
	program, err := c.env.Program(checked, cel.CostLimit(c.options.MaxCost), cel.EvalOptions(cel.OptOptimize))
	if err != nil {
		c.report(field, err.Error())
	}
	return program, checked
}

// check parses and type-checks a field. It returns nil if there is a problem.
func (c *ruleCompiler) check(field, text string, want *cel.Type) *cel.Ast {
	checked, issues := c.env.Compile(text)
	if issues.Err() != nil {
		for _, e := range issues.Errors() {
			c.problems = append(c.problems, Problem{
				Rule: c.name, Field: field, Line: e.Location.Line(), Column: e.Location.Column() + 1, Reason: e.Message,
			})
		}
		return nil
	}
	if got := checked.OutputType(); !got.IsExactType(want) {
		c.report(field, fmt.Sprintf("gives %s, %s is needed", cel.FormatCELType(got), cel.FormatCELType(want)))
		return nil
	}
	return checked
}

// boundCost adds a field's cost to the rule's, and reports whether it is within the bound. A
// rule beyond the bound has one problem, at the field that exceeds it.
func (c *ruleCompiler) boundCost(field string, checked *cel.Ast) bool {
	estimate, err := c.env.EstimateCost(checked, estimator{})
	if err != nil {
		c.report(field, "its cost can't be bounded: "+err.Error())
		return false
	}
	c.cost += estimate.Max
	if c.cost <= c.options.MaxCost {
		return true
	}
	if c.cost-estimate.Max <= c.options.MaxCost { // the fields before did not exceed it
		c.report(field, fmt.Sprintf("its cost may reach %d, over the bound of %d", c.cost, c.options.MaxCost))
	}
	return false
}

// checkClass reports a class that is a constant and unknown.
func (c *ruleCompiler) checkClass(field string, checked *cel.Ast) {
	if field != fieldClass || len(c.options.Classes) == 0 {
		return
	}
	if class, ok := constant(checked); ok && !slices.Contains(c.options.Classes, class) {
		c.report(field, fmt.Sprintf("class %q is not among %q", class, c.options.Classes))
	}
}

// report adds a problem of a field as a whole.
func (c *ruleCompiler) report(field, reason string) {
	c.problems = append(c.problems, Problem{Rule: c.name, Field: field, Reason: reason})
}
