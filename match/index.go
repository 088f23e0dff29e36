package match

import (
	"iter"

	"cel.dev/cel-go/common/ast"
)

// index keeps, for the rules whose match requires one path (path == "..." among
// the conjunctions at its top), which those are, so that a request is tried
// against the rules of its own path and those that require none, not all; in
// their order, so that the first that takes it still wins. BenchmarkClassify
// measures it.
type index struct {
	byPath map[string][]int // rules that require the path, in order
	free   []int            // rules that require no path, in order
}

func newIndex(rules []compiled) index {
	x := index{byPath: map[string][]int{}}
	for i, c := range rules {
		if path, ok := requiredPath(c.matchAST.NativeRep().Expr()); ok {
			x.byPath[path] = append(x.byPath[path], i)
		} else {
			x.free = append(x.free, i)
		}
	}
	return x
}

// candidates gives the rules that may take a request of the path, in order.
func (x index) candidates(path string) iter.Seq[int] {
	own := x.byPath[path]
	return func(yield func(int) bool) {
		i, j := 0, 0
		for i < len(own) || j < len(x.free) {
			var next int
			if j == len(x.free) || i < len(own) && own[i] < x.free[j] {
				next, i = own[i], i+1
			} else {
				next, j = x.free[j], j+1
			}
			if !yield(next) {
				return
			}
		}
	}
}

// requiredPath gives the path that an expression can be true for alone.
func requiredPath(e ast.Expr) (string, bool) {
	if e.Kind() != ast.CallKind {
		return "", false
	}
	call := e.AsCall()
	args := call.Args()
	switch call.FunctionName() {
	case "_&&_":
		if path, ok := requiredPath(args[0]); ok {
			return path, true
		}
		return requiredPath(args[1])
	case "_==_":
		for side := range 2 {
			if isIdent(args[side], "path") {
				return literal(args[1-side])
			}
		}
	}
	return "", false
}
