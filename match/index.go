package match

import (
	"iter"

	"cel.dev/cel-go/common/ast"
	"cel.dev/cel-go/common/operators"
)

// index selects the rules that may match a request by the request's path. A rule that
// requires a path (path == "..." as one of its top-level conjuncts) is evaluated only for
// requests with that path. The order of the rules is preserved, so the first rule that
// matches is still used. BenchmarkClassify measures the index.
type index struct {
	byPath  map[string][]int // indexes of the rules that require the path, ascending
	anyPath []int            // indexes of the rules that require no path, ascending
}

func newIndex(rules []compiledRule) index {
	x := index{byPath: map[string][]int{}}
	for i, rule := range rules {
		if path, ok := requiredPath(rule.matchAST.NativeRep().Expr()); ok {
			x.byPath[path] = append(x.byPath[path], i)
		} else {
			x.anyPath = append(x.anyPath, i)
		}
	}
	return x
}

// candidates yields the indexes of the rules that may match a request with the path, in
// ascending order. It merges the rules that require the path and those that require none.
func (x index) candidates(path string) iter.Seq[int] {
	samePath := x.byPath[path]
	return func(yield func(int) bool) {
		i, j := 0, 0
		for i < len(samePath) || j < len(x.anyPath) {
			var next int
			if j == len(x.anyPath) || i < len(samePath) && samePath[i] < x.anyPath[j] {
				next, i = samePath[i], i+1
			} else {
				next, j = x.anyPath[j], j+1
			}
			if !yield(next) {
				return
			}
		}
	}
}

// requiredPath returns the only path for which an expression can be true, or false if the
// expression requires no single path that is a literal.
func requiredPath(e ast.Expr) (string, bool) {
	if e.Kind() != ast.CallKind {
		return "", false
	}
	call := e.AsCall()
	args := call.Args()
	switch call.FunctionName() {
	case operators.LogicalAnd:
		if path, ok := requiredPath(args[0]); ok {
			return path, true
		}
		return requiredPath(args[1])
	case operators.Equals:
		for side := range 2 {
			if isVariable(args[side], varPath) {
				return stringLiteral(args[1-side])
			}
		}
	}
	return "", false
}
