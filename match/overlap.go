package match

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"cel.dev/cel-go/common/ast"
	"cel.dev/cel-go/common/operators"
)

// The overlap check finds some of the pairs of rules that match the same request. For each
// rule it builds an example request from the string literals in the rule's match expression:
// method == "POST", path.startsWith("/a"), headers["k"] == "v" and "k" in headers set a part
// of the request. It reads all operands of a conjunction and the first operand of a
// disjunction. If the rule and another rule both match the example, the check reports the
// pair. It finds no overlap for a rule that does not match its own example. It only warns; it
// rejects no rule.

// Values of the parts of an example request that no literal sets.
const (
	defaultFrontend = frontendHTTP
	defaultPath     = "/" // except with frontendThrift, whose requests have no path
	anyHeaderValue  = "x"
)

// funcStartsWith is a member function of CEL strings.
const funcStartsWith = "startsWith"

// exampleBuilder builds an example request from the literals of a rule.
type exampleBuilder struct {
	frontend, method, path string
	headers                map[string]string
}

// findOverlaps returns a text for each pair of rules that match the same example request.
func findOverlaps(s *Set) []string {
	var warnings []string
	seen := map[[2]int]bool{}
	for i := range s.rules {
		r, ok := s.rules[i].exampleRequest()
		if !ok || !s.rules[i].matchesExample(r) {
			continue
		}
		for j := range s.rules {
			pair := [2]int{min(i, j), max(i, j)}
			if j == i || seen[pair] || !s.rules[j].matchesExample(r) {
				continue
			}
			seen[pair] = true
			first, second := s.rules[pair[0]].Name, s.rules[pair[1]].Name
			warnings = append(warnings, fmt.Sprintf("rules %q and %q both match %s; %q is used because it comes first",
				first, second, formatRequest(r), first))
		}
	}
	return warnings
}

func (r *compiledRule) matchesExample(request Request) bool {
	matched, err := r.matches(&activation{request})
	return err == nil && matched
}

// exampleRequest builds a request from the literals in the rule's match expression. It returns
// false if the expression was not compiled.
func (r *compiledRule) exampleRequest() (Request, bool) {
	if r.matchAST == nil {
		return Request{}, false
	}
	b := &exampleBuilder{headers: map[string]string{}}
	b.collect(r.matchAST.NativeRep().Expr())
	request := Request{Frontend: b.frontend, Method: b.method, Path: b.path, Headers: b.headers}
	if request.Frontend == "" {
		request.Frontend = defaultFrontend
	}
	if request.Path == "" && request.Frontend != frontendThrift {
		request.Path = defaultPath
	}
	return request, true
}

// collect reads the literals of an expression that the request must make true.
func (b *exampleBuilder) collect(e ast.Expr) {
	switch e.Kind() {
	case ast.CallKind:
		b.collectCall(e.AsCall())
	case ast.SelectKind: // has(headers.k)
		if sel := e.AsSelect(); sel.IsTestOnly() && isVariable(sel.Operand(), varHeaders) {
			b.headers[sel.FieldName()] = anyHeaderValue
		}
	}
}

func (b *exampleBuilder) collectCall(call ast.CallExpr) {
	args := call.Args()
	switch call.FunctionName() {
	case operators.LogicalAnd:
		b.collect(args[0])
		b.collect(args[1])
	case operators.LogicalOr:
		b.collect(args[0])
	case operators.Equals:
		b.collectComparison(args[0], args[1])
		b.collectComparison(args[1], args[0])
	case funcStartsWith:
		if call.IsMemberFunction() && isVariable(call.Target(), varPath) {
			b.collectPrefix(args[0])
		}
	case operators.In:
		if isVariable(args[1], varHeaders) {
			b.collectHeader(args[0])
		}
	}
}

// collectComparison sets the field of the request that is compared with a literal.
func (b *exampleBuilder) collectComparison(field, value ast.Expr) {
	name, isField := fieldName(field)
	text, isLiteral := stringLiteral(value)
	if isField && isLiteral {
		b.set(name, text)
	}
}

// collectPrefix sets the path to a prefix, unless the path is already set.
func (b *exampleBuilder) collectPrefix(prefix ast.Expr) {
	if text, ok := stringLiteral(prefix); ok && b.path == "" {
		b.path = text
	}
}

// collectHeader adds a header that must exist, unless the header is already set.
func (b *exampleBuilder) collectHeader(name ast.Expr) {
	text, ok := stringLiteral(name)
	if !ok {
		return
	}
	if _, set := b.headers[text]; !set {
		b.headers[text] = anyHeaderValue
	}
}

// set sets the field with the name that fieldName returned.
func (b *exampleBuilder) set(field, value string) {
	switch field {
	case varFrontend:
		b.frontend = value
	case varMethod:
		b.method = value
	case varPath:
		b.path = value
	default:
		b.headers[strings.TrimPrefix(field, headerFieldPrefix)] = value
	}
}

// headerFieldPrefix precedes the header name in the field name of a header.
const headerFieldPrefix = varHeaders + "."

// fieldName returns the name of the request's field that an expression refers to: front,
// method, path, or headers.NAME for headers["NAME"] and headers.NAME.
func fieldName(e ast.Expr) (string, bool) {
	switch e.Kind() {
	case ast.IdentKind:
		switch name := e.AsIdent(); name {
		case varFrontend, varMethod, varPath:
			return name, true
		}
	case ast.SelectKind:
		if sel := e.AsSelect(); !sel.IsTestOnly() && isVariable(sel.Operand(), varHeaders) {
			return headerFieldPrefix + sel.FieldName(), true
		}
	case ast.CallKind:
		if call := e.AsCall(); call.FunctionName() == operators.Index && isVariable(call.Args()[0], varHeaders) {
			if key, ok := stringLiteral(call.Args()[1]); ok {
				return headerFieldPrefix + key, true
			}
		}
	}
	return "", false
}

// formatRequest formats a request without its body for a warning.
func formatRequest(r Request) string {
	parts := []string{r.Frontend}
	if r.Method != "" || r.Path != "" {
		parts = append(parts, strings.TrimSpace(r.Method+" "+r.Path))
	}
	for _, name := range slices.Sorted(maps.Keys(r.Headers)) {
		parts = append(parts, fmt.Sprintf("%s: %s", name, r.Headers[name]))
	}
	return strings.Join(parts, ", ")
}
