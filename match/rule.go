package match

import (
	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/types"
)

// Rule assigns a class, and optionally an idempotency key, to the requests that Match selects.
type Rule struct {
	Name  string `toml:"name"`
	Match string `toml:"match"` // CEL expression of type bool: whether the rule matches the request
	Class string `toml:"class"` // CEL expression of type string: the name of the class in the settings
	Key   string `toml:"key"`   // CEL expression of type string: the idempotency key; empty if the rule gives no key
}

// compiledRule is a rule with its compiled expressions.
type compiledRule struct {
	Rule
	match, class, key cel.Program // key is nil if the rule has none
	matchAST          *cel.Ast    // type-checked
}

// matches evaluates the match expression and reports whether the rule matches a request.
func (r *compiledRule) matches(vars *activation) (bool, error) {
	value, _, err := r.match.Eval(vars)
	if err != nil {
		return false, err
	}
	matched, ok := value.(types.Bool)
	if !ok {
		return false, newValueError(value)
	}
	return bool(matched), nil
}

// classify evaluates the rule on a request. It does not set the result's version.
func (r *compiledRule) classify(vars *activation) (result Result, matched bool, err error) {
	if matched, err = r.matches(vars); err != nil || !matched {
		return Result{}, false, err
	}
	result.Rule = r.Name
	if result.Class, err = evalString(r.class, vars); err != nil {
		return Result{}, false, err
	}
	if r.key == nil {
		return result, true, nil
	}
	if result.Key, err = evalString(r.key, vars); err != nil {
		return Result{}, false, err
	}
	return result, true, nil
}

func evalString(program cel.Program, vars *activation) (string, error) {
	value, _, err := program.Eval(vars)
	if err != nil {
		return "", err
	}
	text, ok := value.(types.String)
	if !ok {
		return "", newValueError(value)
	}
	return string(text), nil
}
