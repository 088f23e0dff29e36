package match

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"cel.dev/cel-go/common/ast"
	"cel.dev/cel-go/common/operators"
)

// The overlap check finds some pairs of rules that match the same request. For each rule it
// makes a witness: a request of the literals that the rule's match compares the request's
// fields with (method == "POST", path.startsWith("/a"), headers["k"] == "v", "k" in headers,
// in its conjunctions and in the first operand of each disjunction). If the witness is
// matched by the rule and by another one, the pair is reported. Nothing is reported of rules
// whose literals can't be read, and no rule is rejected.

// Parts of a witness that no literal sets.
const (
	defaultFront   = frontHTTP
	defaultPath    = "/" // except on frontThrift, which has no paths
	anyHeaderValue = "x"
)

// funcStartsWith is CEL's member function of strings.
const funcStartsWith = "startsWith"

// witness collects a request from the literals of a rule.
type witness struct {
	front, method, path string
	headers             map[string]string
}

// overlaps describes each pair of rules that match the same witness.
func overlaps(s *Set) []string {
	var warnings []string
	seen := map[[2]int]bool{}
	for i := range s.rules {
		r, ok := s.rules[i].witness()
		if !ok || !s.rules[i].matchesWitness(r) {
			continue
		}
		for j := range s.rules {
			pair := [2]int{min(i, j), max(i, j)}
			if j == i || seen[pair] || !s.rules[j].matchesWitness(r) {
				continue
			}
			seen[pair] = true
			first, second := s.rules[pair[0]].Name, s.rules[pair[1]].Name
			warnings = append(warnings, fmt.Sprintf("rules %q and %q both take %s; %q comes first and wins",
				first, second, formatRequest(r), first))
		}
	}
	return warnings
}

func (r *compiledRule) matchesWitness(request Request) bool {
	matched, err := r.matches(&activation{request})
	return err == nil && matched
}

// witness makes a request from the rule's literals.
func (r *compiledRule) witness() (Request, bool) {
	if r.matchAST == nil {
		return Request{}, false
	}
	w := &witness{headers: map[string]string{}}
	w.collect(r.matchAST.NativeRep().Expr())
	request := Request{Front: w.front, Method: w.method, Path: w.path, Headers: w.headers}
	if request.Front == "" {
		request.Front = defaultFront
	}
	if request.Path == "" && request.Front != frontThrift {
		request.Path = defaultPath
	}
	return request, true
}

// collect reads the literals of an expression that has to be true.
func (w *witness) collect(e ast.Expr) {
	switch e.Kind() {
	case ast.CallKind:
		w.collectCall(e.AsCall())
	case ast.SelectKind: // has(headers.k)
		if sel := e.AsSelect(); sel.IsTestOnly() && isVariable(sel.Operand(), varHeaders) {
			w.headers[sel.FieldName()] = anyHeaderValue
		}
	}
}

func (w *witness) collectCall(call ast.CallExpr) {
	args := call.Args()
	switch call.FunctionName() {
	case operators.LogicalAnd:
		w.collect(args[0])
		w.collect(args[1])
	case operators.LogicalOr:
		w.collect(args[0])
	case operators.Equals:
		w.collectEquality(args[0], args[1])
		w.collectEquality(args[1], args[0])
	case funcStartsWith:
		if call.IsMemberFunction() && isVariable(call.Target(), varPath) {
			w.collectPrefix(args[0])
		}
	case operators.In:
		if isVariable(args[1], varHeaders) {
			w.collectHeader(args[0])
		}
	}
}

// collectEquality sets a field that is compared with a literal.
func (w *witness) collectEquality(field, value ast.Expr) {
	name, isField := fieldName(field)
	text, isLiteral := literal(value)
	if isField && isLiteral {
		w.set(name, text)
	}
}

// collectPrefix sets the path to a prefix, unless a literal has set it.
func (w *witness) collectPrefix(prefix ast.Expr) {
	if text, ok := literal(prefix); ok && w.path == "" {
		w.path = text
	}
}

// collectHeader adds a header that has to exist, unless a literal has set it.
func (w *witness) collectHeader(name ast.Expr) {
	text, ok := literal(name)
	if !ok {
		return
	}
	if _, set := w.headers[text]; !set {
		w.headers[text] = anyHeaderValue
	}
}

// set sets the field that fieldName has named.
func (w *witness) set(field, value string) {
	switch field {
	case varFront:
		w.front = value
	case varMethod:
		w.method = value
	case varPath:
		w.path = value
	default:
		w.headers[strings.TrimPrefix(field, headerFieldPrefix)] = value
	}
}

// headerFieldPrefix is followed by a header's name in the names of fields.
const headerFieldPrefix = varHeaders + "."

// fieldName names the request's field that an expression is: front, method, path, or
// headers.NAME for headers["NAME"] and headers.NAME.
func fieldName(e ast.Expr) (string, bool) {
	switch e.Kind() {
	case ast.IdentKind:
		switch name := e.AsIdent(); name {
		case varFront, varMethod, varPath:
			return name, true
		}
	case ast.SelectKind:
		if sel := e.AsSelect(); !sel.IsTestOnly() && isVariable(sel.Operand(), varHeaders) {
			return headerFieldPrefix + sel.FieldName(), true
		}
	case ast.CallKind:
		if call := e.AsCall(); call.FunctionName() == operators.Index && isVariable(call.Args()[0], varHeaders) {
			if key, ok := literal(call.Args()[1]); ok {
				return headerFieldPrefix + key, true
			}
		}
	}
	return "", false
}

// formatRequest formats a request for a warning.
func formatRequest(r Request) string {
	parts := []string{r.Front}
	if r.Method != "" || r.Path != "" {
		parts = append(parts, strings.TrimSpace(r.Method+" "+r.Path))
	}
	for _, name := range slices.Sorted(maps.Keys(r.Headers)) {
		parts = append(parts, fmt.Sprintf("%s: %s", name, r.Headers[name]))
	}
	return strings.Join(parts, ", ")
}
