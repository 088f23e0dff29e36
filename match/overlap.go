package match

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"cel.dev/cel-go/common/ast"
	"cel.dev/cel-go/common/types"
)

// Where the checker can tell that two rules overlap: for each rule it makes a
// request out of the literals that its match compares the request's fields
// with (method == "POST", path.startsWith("/a"), headers["k"] == "v", "k" in
// headers, of the conjunctions and the first branch of each disjunction), and
// if that request is taken by the rule and by another, the pair is named. It
// tells nothing of rules whose literals it can't read; it never refuses.

// witness is a request that a rule's literals describe.
type witness struct {
	front, method, path string
	headers             map[string]string
}

// overlaps gives a warning for each pair of rules that take the same witness.
func overlaps(s *Set) []string {
	var warnings []string
	seen := map[[2]int]bool{}
	for i := range s.rules {
		r, ok := s.witness(i)
		if !ok || !s.takes(i, r) {
			continue
		}
		for j := range s.rules {
			pair := [2]int{min(i, j), max(i, j)}
			if j == i || seen[pair] || !s.takes(j, r) {
				continue
			}
			seen[pair] = true
			first, second := s.rules[pair[0]].Name, s.rules[pair[1]].Name
			warnings = append(warnings, fmt.Sprintf("rules %q and %q both take %s; %q comes first and wins",
				first, second, describeRequest(r), first))
		}
	}
	return warnings
}

func (s *Set) takes(i int, r Request) bool {
	ok, err := evalBool(s.rules[i].match, &activation{r})
	return err == nil && ok
}

// witness makes the request of rule i's literals.
func (s *Set) witness(i int) (Request, bool) {
	a := s.rules[i].matchAST
	if a == nil {
		return Request{}, false
	}
	w := &witness{headers: map[string]string{}}
	w.collect(a.NativeRep().Expr())
	r := Request{Front: w.front, Method: w.method, Path: w.path, Headers: w.headers}
	if r.Front == "" {
		r.Front = "http"
	}
	if r.Path == "" && r.Front != "thrift" {
		r.Path = "/"
	}
	return r, true
}

// collect reads the literals of an expression that must be true.
func (w *witness) collect(e ast.Expr) {
	switch e.Kind() {
	case ast.CallKind:
		call := e.AsCall()
		args := call.Args()
		switch call.FunctionName() {
		case "_&&_":
			w.collect(args[0])
			w.collect(args[1])
		case "_||_":
			w.collect(args[0])
		case "_==_":
			for side := range 2 {
				if field, ok := fieldOf(args[side]); ok {
					if value, ok := literal(args[1-side]); ok {
						w.assign(field, value)
					}
				}
			}
		case "startsWith":
			if call.IsMemberFunction() && isIdent(call.Target(), "path") {
				if prefix, ok := literal(args[0]); ok && w.path == "" {
					w.path = prefix
				}
			}
		case "@in":
			if key, ok := literal(args[0]); ok && isIdent(args[1], "headers") {
				if _, set := w.headers[key]; !set {
					w.headers[key] = "x"
				}
			}
		}
	case ast.SelectKind: // has(headers.k)
		if sel := e.AsSelect(); sel.IsTestOnly() && isIdent(sel.Operand(), "headers") {
			w.headers[sel.FieldName()] = "x"
		}
	}
}

func (w *witness) assign(field, value string) {
	switch {
	case field == "front":
		w.front = value
	case field == "method":
		w.method = value
	case field == "path":
		w.path = value
	default:
		w.headers[strings.TrimPrefix(field, "headers.")] = value
	}
}

// fieldOf names the request's field that an expression is: front, method,
// path, or headers.NAME for headers["NAME"] and headers.NAME.
func fieldOf(e ast.Expr) (string, bool) {
	switch e.Kind() {
	case ast.IdentKind:
		switch name := e.AsIdent(); name {
		case "front", "method", "path":
			return name, true
		}
	case ast.SelectKind:
		if sel := e.AsSelect(); !sel.IsTestOnly() && isIdent(sel.Operand(), "headers") {
			return "headers." + sel.FieldName(), true
		}
	case ast.CallKind:
		if call := e.AsCall(); call.FunctionName() == "_[_]" && isIdent(call.Args()[0], "headers") {
			if key, ok := literal(call.Args()[1]); ok {
				return "headers." + key, true
			}
		}
	}
	return "", false
}

func isIdent(e ast.Expr, name string) bool { return e.Kind() == ast.IdentKind && e.AsIdent() == name }

func literal(e ast.Expr) (string, bool) {
	if e.Kind() != ast.LiteralKind {
		return "", false
	}
	s, ok := e.AsLiteral().(types.String)
	return string(s), ok
}

func describeRequest(r Request) string {
	parts := []string{r.Front}
	if r.Method != "" || r.Path != "" {
		parts = append(parts, strings.TrimSpace(r.Method+" "+r.Path))
	}
	for _, k := range slices.Sorted(maps.Keys(r.Headers)) {
		parts = append(parts, fmt.Sprintf("%s: %s", k, r.Headers[k]))
	}
	return strings.Join(parts, ", ")
}
