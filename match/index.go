package match

import (
	"iter"

	"cel.dev/cel-go/common/ast"
	"cel.dev/cel-go/common/operators"
)

// index finds the rules that may match a request by its path: a rule whose match requires
// one path (path == "..." among its top-level conjunctions) is evaluated for requests of
// that path alone. Rules keep their order, so that the first that matches still wins.
// BenchmarkClassify measures it.
type index struct {
	byPath  map[string][]int // rules that require the path, in order
	anyPath []int            // rules that require none, in order
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

// candidates yields the rules that may match a request of the path, in order: it merges the
// two lists.
func (x index) candidates(path string) iter.Seq[int] {
	own := x.byPath[path]
	return func(yield func(int) bool) {
		i, j := 0, 0
		for i < len(own) || j < len(x.anyPath) {
			var next int
			if j == len(x.anyPath) || i < len(own) && own[i] < x.anyPath[j] {
				next, i = own[i], i+1
			} else {
				next, j = x.anyPath[j], j+1
			}
			if !yield(next) {
				return
			}
		}
	}
}

// requiredPath returns the only path for which an expression can be true.
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
				return literal(args[1-side])
			}
		}
	}
	return "", false
}
