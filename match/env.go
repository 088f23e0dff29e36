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

// Variables of a rule.
const (
	varFrontend = "front"
	varMethod   = "method"
	varPath     = "path"
	varHeaders  = "headers"
	varBody     = "body"
)

// Member functions of the body.
const (
	funcJSON    = "json"
	funcHasJSON = "has_json"
)

// maxNameBytes is the longest name of a frontend or HTTP method that the cost estimate assumes.
const maxNameBytes = 16

// bytesPerCostUnit is the number of bytes that body.json and body.has_json read for one CEL
// cost unit. CEL counts its own string functions in the same way.
const bytesPerCostUnit = 10

// maxBodyCost is the highest cost of one call of body.json or body.has_json, in CEL cost
// units: gjson reads the body once.
const maxBodyCost = maxBodyBytes / bytesPerCostUnit

// newEnv returns the CEL environment of all rules: the request's variables, the member
// functions of the body, and limits on the size and nesting of expressions.
func newEnv() (*cel.Env, error) {
	return cel.NewEnv(
		cel.Variable(varFrontend, cel.StringType),
		cel.Variable(varMethod, cel.StringType),
		cel.Variable(varPath, cel.StringType),
		cel.Variable(varHeaders, cel.MapType(cel.StringType, cel.StringType)),
		cel.Variable(varBody, cel.BytesType),
		cel.Function(funcJSON, cel.MemberOverload("bytes_json_string", []*cel.Type{cel.BytesType, cel.StringType},
			cel.StringType, cel.BinaryBinding(bodyJSON))),
		cel.Function(funcHasJSON, cel.MemberOverload("bytes_has_json_string",
			[]*cel.Type{cel.BytesType, cel.StringType}, cel.BoolType, cel.BinaryBinding(bodyHasJSON))),
		cel.OptionalTypes(),
		cel.ASTValidators(cel.ValidateComprehensionNestingLimit(maxComprehensionNesting)),
		cel.ParserRecursionLimit(maxExpressionDepth),
		cel.ExpressionNodeLimit(maxExpressionNodes),
	)
}

// bodyJSON implements body.json(path). It returns the value at path as a string, or an error
// if there is no value.
func bodyJSON(body, path ref.Val) ref.Val {
	value, err := lookupJSON(body, path)
	switch {
	case err != nil:
		return err
	case !value.Exists():
		return types.NewErr("body has no value at path %q", path.Value())
	}
	return types.String(value.String())
}

// bodyHasJSON implements body.has_json(path). It reports whether there is a value at path.
func bodyHasJSON(body, path ref.Val) ref.Val {
	value, err := lookupJSON(body, path)
	if err != nil {
		return err
	}
	return types.Bool(value.Exists())
}

// lookupJSON returns the value at a path of the body. err is not nil only if the type of an
// argument differs from the overload's, which CEL's type check rules out.
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

// activation supplies a request's variables to a CEL program.
type activation struct{ r Request }

// ResolveName implements interpreter.Activation.
func (a *activation) ResolveName(name string) (any, bool) {
	switch name {
	case varFrontend:
		return a.r.Frontend, true
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

// sizeEstimator supplies the maximum sizes of the variables, and the maximum cost of the
// body's member functions, to CEL's cost estimate.
type sizeEstimator struct{}

// EstimateSize implements cost.Estimator.
func (sizeEstimator) EstimateSize(n cost.AstNode) *cost.SizeEstimate {
	path := n.Path()
	if len(path) == 0 {
		return nil
	}
	switch strings.Join(path, ".") {
	case varFrontend, varMethod:
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
func (sizeEstimator) EstimateCallCost(function, _ string, _ *cost.AstNode, _ []cost.AstNode) *cost.CallEstimate {
	switch function {
	case funcJSON:
		return &cost.CallEstimate{CostEstimate: cost.RangedCostEstimate(1, maxBodyCost), ResultSize: atMost(maxBodyBytes)}
	case funcHasJSON:
		return &cost.CallEstimate{CostEstimate: cost.RangedCostEstimate(1, maxBodyCost)}
	}
	return nil
}

// stringConstant returns the value of a checked expression if it is a string literal.
func stringConstant(checked *cel.Ast) (string, bool) {
	return stringLiteral(checked.NativeRep().Expr())
}

// stringLiteral returns the value of an expression node if it is a string literal.
func stringLiteral(e ast.Expr) (string, bool) {
	if e.Kind() != ast.LiteralKind {
		return "", false
	}
	s, ok := e.AsLiteral().(types.String)
	return string(s), ok
}

// isVariable reports whether an expression is the variable with the given name.
func isVariable(e ast.Expr, name string) bool {
	return e.Kind() == ast.IdentKind && e.AsIdent() == name
}
