package match

import (
	"fmt"
	"slices"
	"strings"

	"cel.dev/cel-go/cel"
)

// DefaultMaxCost is the cost limit of a rule file that does not set max_cost, in CEL cost
// units. It limits the estimated cost of a rule, and at run time the actual cost of each of
// the rule's expressions.
const DefaultMaxCost = 50_000

// Limits on expressions. Rule files cannot change them.
const (
	maxComprehensionNesting = 1     // nesting of comprehensions, such as headers.all(...)
	maxExpressionDepth      = 32    // depth of an expression's syntax tree
	maxExpressionNodes      = 1_000 // nodes of an expression's syntax tree
)

// Limits on a request that the cost estimate assumes.
const (
	maxHeaders     = 128
	maxHeaderBytes = 8 << 10 // limit for a name, and for a value
	maxPathBytes   = 8 << 10
	maxBodyBytes   = 64 << 10
)

// Names of a rule's fields in a Problem.
const (
	fieldMatch = "match"
	fieldClass = "class"
	fieldKey   = "key"
)

// Options configure Compile.
type Options struct {
	Classes []string // known classes; a rule with another constant class is rejected; empty to skip the check
	MaxCost uint64   // cost limit in CEL cost units, applied as DefaultMaxCost is; 0 for DefaultMaxCost
}

// Compile checks and compiles rules. If any rule is invalid, it returns a *LoadError that
// reports all problems.
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
			problems = append(problems, Problem{Rule: name, Reason: "name is missing"})
		} else if seen[name] {
			problems = append(problems, Problem{Rule: name, Reason: "an earlier rule has the same name"})
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
	s.warnings = findOverlaps(s)
	return s, nil
}

// ruleCompiler compiles the fields of one rule and collects their problems.
type ruleCompiler struct {
	env           *cel.Env
	options       Options
	name          string // the rule's name
	estimatedCost uint64 // estimated maximum, in CEL cost units, of the fields compiled so far
	problems      []Problem
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
			c.report(field, "expression is missing")
		}
		return nil, nil
	}
	checked := c.check(field, text, want)
	if checked == nil || !c.checkCost(field, checked) {
		return nil, nil
	}
	c.checkClass(field, checked)
	program, err := c.env.Program(checked, cel.CostLimit(c.options.MaxCost), cel.EvalOptions(cel.OptOptimize))
	if err != nil {
		c.report(field, err.Error())
	}
	return program, checked
}

// check parses and type-checks a field. It returns nil if it has reported a problem.
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

// checkCost adds a field's estimated cost to the rule's and reports whether the sum is within
// the limit. It adds a problem only for the first field that exceeds the limit.
func (c *ruleCompiler) checkCost(field string, checked *cel.Ast) bool {
	estimate, err := c.env.EstimateCost(checked, sizeEstimator{})
	if err != nil {
		c.report(field, "cost cannot be estimated: "+err.Error())
		return false
	}
	c.estimatedCost += estimate.Max
	if c.estimatedCost <= c.options.MaxCost {
		return true
	}
	if c.estimatedCost-estimate.Max <= c.options.MaxCost { // the earlier fields were within the limit
		c.report(field, fmt.Sprintf("estimated cost %d exceeds the limit %d", c.estimatedCost, c.options.MaxCost))
	}
	return false
}

// checkClass reports a class that is a string constant but not a known class.
func (c *ruleCompiler) checkClass(field string, checked *cel.Ast) {
	if field != fieldClass || len(c.options.Classes) == 0 {
		return
	}
	if class, ok := stringConstant(checked); ok && !slices.Contains(c.options.Classes, class) {
		c.report(field, fmt.Sprintf("class %q is unknown, want one of %q", class, c.options.Classes))
	}
}

// report adds a problem that concerns a whole field.
func (c *ruleCompiler) report(field, reason string) {
	c.problems = append(c.problems, Problem{Rule: c.name, Field: field, Reason: reason})
}
