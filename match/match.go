// Package match decides which class a request belongs to and what its key is,
// by rules that operators write in CEL, the Common Expression Language
// (github.com/google/cel-spec; the library is cel.dev/cel-go). A rule is
// type-checked, its cost estimated and bounded, and compiled once, when its
// file is loaded; a file with one bad rule is refused whole, with each
// problem named. Each evaluation is bounded by the same cost at run time.
//
// A rule sees one request, the same on every front:
//
//	front    string               "thrift", "uwsgi" or "http"
//	method   string               HTTP method; empty on Thrift
//	path     string               HTTP path; empty on Thrift
//	headers  map(string, string)  lower-case names: HTTP headers, uwsgi's HTTP_* variables, Thrift's fields
//	body     bytes                the request's body; body.json(p) gives the JSON value at the path p
//	                              (dots between names) as a string, body.has_json(p) whether there is one
//
// Rules are tried in order; the first whose match is true gives the class, and
// the key where it names one. A rule whose evaluation fails (a header or body
// field that is missing, a cost over the bound) does not match, and the next
// is tried. Rules decide; they do no I/O.
package match

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/types"
	"cel.dev/cel-go/common/types/ref"
)

// The bounds of the language, whatever a file says.
const (
	DefaultMaxCost = 50_000 // CEL cost units a rule's evaluation may take, estimated and actual
	maxNesting     = 1      // comprehensions in comprehensions
	maxDepth       = 32     // of an expression's tree
	maxNodes       = 1_000  // of an expression
	maxHeaders     = 128    // that a request is taken to have, for the estimate
	maxHeaderBytes = 8 << 10
	maxPath        = 8 << 10
	maxBody        = 64 << 10
)

// Rule is a rule as an operator writes it.
type Rule struct {
	Name  string `toml:"name"`
	Match string `toml:"match"` // CEL, bool: whether the rule takes the request
	Class string `toml:"class"` // CEL, string: the class, by its name in the settings
	Key   string `toml:"key"`   // CEL, string: the key of a keyed class; empty for none
}

// Options are what rules are checked against.
type Options struct {
	Classes []string // that a rule may give; a constant class outside them is refused
	MaxCost uint64   // an evaluation's bound; 0 for DefaultMaxCost
}

// Problem is one reason why a rule was refused.
type Problem struct {
	Rule         string // its name, or its place if it has none
	Field        string // match, class or key; empty for the rule as a whole
	Line, Column int    // in the field's expression, from 1; 0 where it is the whole field
	Reason       string
}

func (p Problem) String() string {
	at := p.Rule
	if p.Field != "" {
		at += "." + p.Field
	}
	if p.Line > 0 {
		at += fmt.Sprintf(":%d:%d", p.Line, p.Column)
	}
	return at + ": " + p.Reason
}

// ErrRefused is wrapped by the error of a rule set that is refused.
var ErrRefused = errors.New("rules refused")

// LoadError names every problem of a rule set that was refused.
type LoadError struct{ Problems []Problem }

func (e *LoadError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return fmt.Sprintf("%s: %s", ErrRefused, strings.Join(lines, "; "))
}

// Unwrap gives ErrRefused.
func (e *LoadError) Unwrap() error { return ErrRefused }

// Set is a rule set, compiled. It is safe for concurrent use.
type Set struct {
	rules    []compiled
	index    index
	maxCost  uint64
	usesBody bool
	warnings []string
	version  atomic.Uint64 // given by Rules when it takes the set
	errors   atomic.Uint64
}

type compiled struct {
	Rule
	match, class, key cel.Program
	matchAST          *cel.Ast // checked, for the overlap check
	cost              uint64   // estimated at most, of all three
}

// Compile checks and compiles rules. The error is a *LoadError that names
// every problem; none of the rules is used then.
func Compile(rules []Rule, opt Options) (*Set, error) {
	if opt.MaxCost == 0 {
		opt.MaxCost = DefaultMaxCost
	}
	env, err := newEnv()
	if err != nil {
		return nil, fmt.Errorf("match: %w", err)
	}
	s := &Set{maxCost: opt.MaxCost}
	var problems []Problem
	seen := map[string]bool{}
	for i, r := range rules {
		name := r.Name
		if name == "" {
			name = fmt.Sprintf("rule[%d]", i)
			problems = append(problems, Problem{Rule: name, Reason: "a name is needed"})
		} else if seen[name] {
			problems = append(problems, Problem{Rule: name, Reason: "the name is taken by an earlier rule"})
		}
		seen[name] = true
		c, ps := compile(env, name, r, opt)
		problems = append(problems, ps...)
		s.rules = append(s.rules, c)
		s.usesBody = s.usesBody || strings.Contains(r.Match+r.Class+r.Key, "body")
	}
	if len(problems) > 0 {
		return nil, &LoadError{problems}
	}
	s.index = newIndex(s.rules)
	s.warnings = overlaps(s)
	return s, nil
}

// compile checks and compiles the fields of one rule.
func compile(env *cel.Env, name string, r Rule, opt Options) (compiled, []Problem) {
	c := compiled{Rule: r}
	var problems []Problem
	problem := func(which string, line, column int, reason string) {
		problems = append(problems, Problem{Rule: name, Field: which, Line: line, Column: column, Reason: reason})
	}
	field := func(which, text string, want *cel.Type) (cel.Program, *cel.Ast) {
		if text == "" {
			if which != "key" {
				problem(which, 0, 0, "an expression is needed")
			}
			return nil, nil
		}
		a, issues := env.Compile(text)
		if issues.Err() != nil {
			for _, e := range issues.Errors() {
				problem(which, e.Location.Line(), e.Location.Column()+1, e.Message)
			}
			return nil, nil
		}
		if !a.OutputType().IsExactType(want) {
			problem(which, 0, 0, fmt.Sprintf("gives %s, %s is needed",
				cel.FormatCELType(a.OutputType()), cel.FormatCELType(want)))
			return nil, nil
		}
		estimate, err := env.EstimateCost(a, estimator{})
		if err != nil {
			problem(which, 0, 0, "its cost can't be bounded: "+err.Error())
			return nil, nil
		}
		if c.cost += estimate.Max; c.cost > opt.MaxCost {
			if c.cost-estimate.Max <= opt.MaxCost { // once for the rule
				problem(which, 0, 0, fmt.Sprintf("its cost may reach %d, over the bound of %d", c.cost, opt.MaxCost))
			}
			return nil, nil
		}
		if v, ok := constant(a); ok && which == "class" && len(opt.Classes) > 0 && !slices.Contains(opt.Classes, v) {
			problem(which, 0, 0, fmt.Sprintf("class %q is not among %q", v, opt.Classes))
		}
		p, err := env.Program(a, cel.CostLimit(opt.MaxCost), cel.EvalOptions(cel.OptOptimize))
		if err != nil {
			problem(which, 0, 0, err.Error())
		}
		return p, a
	}
	c.match, c.matchAST = field("match", r.Match, cel.BoolType)
	c.class, _ = field("class", r.Class, cel.StringType)
	c.key, _ = field("key", r.Key, cel.StringType)
	return c, problems
}

// Len is the number of rules.
func (s *Set) Len() int { return len(s.rules) }

// Warnings names pairs of rules that the checker found to take the same
// request, with the request; the earlier one wins.
func (s *Set) Warnings() []string { return s.warnings }

// Version is the number that Rules gave the set, 0 before.
func (s *Set) Version() uint64 { return s.version.Load() }

// UsesBody tells whether a rule looks into the body, so that a front must
// read it before it classifies.
func (s *Set) UsesBody() bool { return s.usesBody }

// Errors counts evaluations that failed, as a rule that did not match.
func (s *Set) Errors() uint64 { return s.errors.Load() }

// Request is what a rule sees of a request. Header names are lower case.
type Request struct {
	Front, Method, Path string
	Headers             map[string]string
	Body                []byte
}

// Result is what the rules made of a request.
type Result struct {
	Rule    string // the rule that took it
	Class   string
	Key     string // empty where the rule names none
	Version uint64 // of the set
}

// Classify gives the result of the first rule that takes r, false if none does.
func (s *Set) Classify(r Request) (Result, bool) {
	vars := &activation{r}
	for i := range s.index.candidates(r.Path) {
		c := &s.rules[i]
		if ok, err := evalBool(c.match, vars); err != nil {
			s.errors.Add(1)
			continue
		} else if !ok {
			continue
		}
		class, err := evalString(c.class, vars)
		if err != nil {
			s.errors.Add(1)
			continue
		}
		key := ""
		if c.key != nil {
			if key, err = evalString(c.key, vars); err != nil {
				s.errors.Add(1)
				continue
			}
		}
		return Result{Rule: c.Name, Class: class, Key: key, Version: s.Version()}, true
	}
	return Result{}, false
}

func evalBool(p cel.Program, vars *activation) (bool, error) {
	v, _, err := p.Eval(vars)
	if err != nil {
		return false, err
	}
	b, ok := v.(types.Bool)
	return bool(b), boolErr(ok, v)
}

func evalString(p cel.Program, vars *activation) (string, error) {
	v, _, err := p.Eval(vars)
	if err != nil {
		return "", err
	}
	s, ok := v.(types.String)
	return string(s), boolErr(ok, v)
}

func boolErr(ok bool, v ref.Val) error {
	if ok {
		return nil
	}
	return fmt.Errorf("match: a value of type %s", v.Type().TypeName())
}

// Rules holds the rule set in force. A request is classified by the set that
// Load gives it, whole, even if another takes its place meanwhile.
type Rules struct {
	set  atomic.Pointer[Set]
	next atomic.Uint64
}

// Replace puts s in force, with the next version number, and gives that.
func (rs *Rules) Replace(s *Set) uint64 {
	v := rs.next.Add(1)
	s.version.Store(v)
	rs.set.Store(s)
	return v
}

// Load gives the set in force; nil before the first.
func (rs *Rules) Load() *Set { return rs.set.Load() }
