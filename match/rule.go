package match

import (
	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/types"
)

// Rule is a rule as an operator writes it.
type Rule struct {
	Name  string `toml:"name"`
	Match string `toml:"match"` // CEL, bool: whether the rule matches the request
	Class string `toml:"class"` // CEL, string: the class, by its name in the settings
	Key   string `toml:"key"`   // CEL, string: the key of a keyed class; empty for none
}

// compiledRule is a rule whose fields are compiled.
type compiledRule struct {
	Rule
	match, class, key cel.Program // key is nil if the rule has none
	matchAST          *cel.Ast    // checked
}

// matches evaluates whether the rule matches a request.
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

// classify evaluates the rule. The result's version is not set.
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
