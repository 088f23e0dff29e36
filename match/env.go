package match

import (
	"strings"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/ast"
	"cel.dev/cel-go/common/cost"
	"cel.dev/cel-go/common/types"
	"cel.dev/cel-go/common/types/ref"
	"cel.dev/cel-go/interpreter"
	"github.com/tidwall/gjson"
)

// The variables of a rule.
const (
	varFront   = "front"
	varMethod  = "method"
	varPath    = "path"
	varHeaders = "headers"
	varBody    = "body"
)

// The member functions of the body.
const (
	funcJSON    = "json"
	funcHasJSON = "has_json"
)

// maxNameBytes bounds the names of frontends and methods, for the cost estimate.
const maxNameBytes = 16

// bytesPerCostUnit is how many bytes a function reads for one CEL cost unit, as CEL counts
// its own string functions.
const bytesPerCostUnit = 10

// maxBodyCost is the cost of one body.json or body.has_json at most: gjson reads the body
// once.
const maxBodyCost = maxBodyBytes / bytesPerCostUnit

// newEnv returns the environment of every rule: the request's variables, the body's
// accessors, and limits on the size and nesting of expressions.
func newEnv() (*cel.Env, error) {
	return cel.NewEnv(
		cel.Variable(varFront, cel.StringType),
		cel.Variable(varMethod, cel.StringType),
		cel.Variable(varPath, cel.StringType),
		cel.Variable(varHeaders, cel.MapType(cel.StringType, cel.StringType)),
		cel.Variable(varBody, cel.BytesType),
		cel.Function(funcJSON, cel.MemberOverload("bytes_json_string", []*cel.Type{cel.BytesType, cel.StringType},
			cel.StringType, cel.BinaryBinding(bodyJSON))),
		cel.Function(funcHasJSON, cel.MemberOverload("bytes_has_json_string",
			[]*cel.Type{cel.BytesType, cel.StringType}, cel.BoolType, cel.BinaryBinding(bodyHasJSON))),
		cel.OptionalTypes(),
		cel.ASTValidators(cel.ValidateComprehensionNestingLimit(maxNesting)),
		cel.ParserRecursionLimit(maxDepth),
		cel.ExpressionNodeLimit(maxNodes),
	)
}

// bodyJSON implements body.json(path): the value at path as a string, or an error if there
// is none.
func bodyJSON(body, path ref.Val) ref.Val {
	value, err := lookupJSON(body, path)
	switch {
	case err != nil:
		return err
	case !value.Exists():
		return types.NewErr("body has no %q", path.Value())
	}
	return types.String(value.String())
}

// bodyHasJSON implements body.has_json(path): whether there is a value at path.
func bodyHasJSON(body, path ref.Val) ref.Val {
	value, err := lookupJSON(body, path)
	if err != nil {
		return err
	}
	return types.Bool(value.Exists())
}

// lookupJSON returns the value at a path of the body. err is nil unless the arguments are of
// other types than the overload's, which CEL checks before.
func lookupJSON(body, path ref.Val) (value gjson.Result, err ref.Val) {
	bytes, ok := body.(types.Bytes)
	if !ok {
		return gjson.Result{}, types.MaybeNoSuchOverloadErr(body)
	}
	text, ok := path.(types.String)
	if !ok {
		return gjson.Result{}, types.MaybeNoSuchOverloadErr(path)
	}
	return gjson.GetBytes(bytes, string(text)), nil
}

// activation has a request's variables for a program.
type activation struct{ r Request }

// ResolveName implements interpreter.Activation.
func (a *activation) ResolveName(name string) (any, bool) {
	switch name {
	case varFront:
		return a.r.Front, true
	case varMethod:
		return a.r.Method, true
	case varPath:
		return a.r.Path, true
	case varHeaders:
		if a.r.Headers == nil {
			return map[string]string{}, true
		}
		return a.r.Headers, true
	case varBody:
		return a.r.Body, true
	}
	return nil, false
}

// Parent implements interpreter.Activation.
func (a *activation) Parent() interpreter.Activation { return nil }

// estimator bounds the sizes of the variables, which the cost estimate can't know.
type estimator struct{}

// EstimateSize implements cost.Estimator.
func (estimator) EstimateSize(n cost.AstNode) *cost.SizeEstimate {
	path := n.Path()
	if len(path) == 0 {
		return nil
	}
	switch strings.Join(path, ".") {
	case varFront, varMethod:
		return atMost(maxNameBytes)
	case varPath:
		return atMost(maxPathBytes)
	case varHeaders:
		return atMost(maxHeaders)
	case varHeaders + ".@keys", varHeaders + ".@values":
		return atMost(maxHeaderBytes)
	case varBody:
		return atMost(maxBodyBytes)
	}
	return nil
}

func atMost(size uint64) *cost.SizeEstimate {
	estimate := cost.RangedSizeEstimate(0, size)
	return &estimate
}

// EstimateCallCost implements cost.Estimator.
func (estimator) EstimateCallCost(function, _ string, _ *cost.AstNode, _ []cost.AstNode) *cost.CallEstimate {
	switch function {
	case funcJSON:
		return &cost.CallEstimate{CostEstimate: cost.RangedCostEstimate(1, maxBodyCost), ResultSize: atMost(maxBodyBytes)}
	case funcHasJSON:
		return &cost.CallEstimate{CostEstimate: cost.RangedCostEstimate(1, maxBodyCost)}
	}
	return nil
}

// constant returns the value of an expression that is one string literal.
func constant(checked *cel.Ast) (string, bool) { return literal(checked.NativeRep().Expr()) }

// literal returns the value of a string literal.
func literal(e ast.Expr) (string, bool) {
	if e.Kind() != ast.LiteralKind {
		return "", false
	}
	s, ok := e.AsLiteral().(types.String)
	return string(s), ok
}

// isVariable reports whether an expression is a variable of that name.
func isVariable(e ast.Expr, name string) bool {
	return e.Kind() == ast.IdentKind && e.AsIdent() == name
}
