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

// bodyCost is the cost of one body.json or body.has_json at most: gjson reads
// the body once, which the estimate counts as a tenth of a unit a byte, as CEL
// counts its own string functions.
const bodyCost = maxBody / 10

// newEnv gives the environment of every rule: the request's variables, the
// body's accessors, and limits on the size and nesting of expressions.
func newEnv() (*cel.Env, error) {
	return cel.NewEnv(
		cel.Variable("front", cel.StringType),
		cel.Variable("method", cel.StringType),
		cel.Variable("path", cel.StringType),
		cel.Variable("headers", cel.MapType(cel.StringType, cel.StringType)),
		cel.Variable("body", cel.BytesType),
		cel.Function("json", cel.MemberOverload("bytes_json_string", []*cel.Type{cel.BytesType, cel.StringType},
			cel.StringType, cel.BinaryBinding(bodyJSON))),
		cel.Function("has_json", cel.MemberOverload("bytes_has_json_string",
			[]*cel.Type{cel.BytesType, cel.StringType}, cel.BoolType, cel.BinaryBinding(bodyHasJSON))),
		cel.OptionalTypes(),
		cel.ASTValidators(cel.ValidateComprehensionNestingLimit(maxNesting)),
		cel.ParserRecursionLimit(maxDepth),
		cel.ExpressionNodeLimit(maxNodes),
	)
}

// bodyJSON is body.json(path): the value at path as a string, an error where
// there is none.
func bodyJSON(body, path ref.Val) ref.Val {
	b, p := body.(types.Bytes), path.(types.String)
	v := gjson.GetBytes([]byte(b), string(p))
	if !v.Exists() {
		return types.NewErr("body has no %q", string(p))
	}
	return types.String(v.String())
}

func bodyHasJSON(body, path ref.Val) ref.Val {
	return types.Bool(gjson.GetBytes([]byte(body.(types.Bytes)), string(path.(types.String))).Exists())
}

// activation gives a request's variables to a program.
type activation struct{ r Request }

// ResolveName implements interpreter.Activation.
func (a *activation) ResolveName(name string) (any, bool) {
	switch name {
	case "front":
		return a.r.Front, true
	case "method":
		return a.r.Method, true
	case "path":
		return a.r.Path, true
	case "headers":
		if a.r.Headers == nil {
			return map[string]string{}, true
		}
		return a.r.Headers, true
	case "body":
		return a.r.Body, true
	}
	return nil, false
}

// Parent implements interpreter.Activation.
func (a *activation) Parent() interpreter.Activation { return nil }

// estimator bounds what the cost estimate can't know of the variables.
type estimator struct{}

// EstimateSize implements cost.Estimator.
func (estimator) EstimateSize(n cost.AstNode) *cost.SizeEstimate {
	path := n.Path()
	if len(path) == 0 {
		return nil
	}
	var size cost.SizeEstimate
	switch strings.Join(path, ".") {
	case "front", "method":
		size = cost.RangedSizeEstimate(0, 16)
	case "path":
		size = cost.RangedSizeEstimate(0, maxPath)
	case "headers":
		size = cost.RangedSizeEstimate(0, maxHeaders)
	case "headers.@keys", "headers.@values":
		size = cost.RangedSizeEstimate(0, maxHeaderBytes)
	case "body":
		size = cost.RangedSizeEstimate(0, maxBody)
	default:
		return nil
	}
	return &size
}

// EstimateCallCost implements cost.Estimator.
func (estimator) EstimateCallCost(function, _ string, _ *cost.AstNode, _ []cost.AstNode) *cost.CallEstimate {
	switch function {
	case "json":
		size := cost.RangedSizeEstimate(0, maxBody)
		return &cost.CallEstimate{CostEstimate: cost.RangedCostEstimate(1, bodyCost), ResultSize: &size}
	case "has_json":
		return &cost.CallEstimate{CostEstimate: cost.RangedCostEstimate(1, bodyCost)}
	}
	return nil
}

// constant gives the value of an expression that is one string literal.
func constant(a *cel.Ast) (string, bool) {
	e := a.NativeRep().Expr()
	if e.Kind() != ast.LiteralKind {
		return "", false
	}
	s, ok := e.AsLiteral().(types.String)
	return string(s), ok
}
