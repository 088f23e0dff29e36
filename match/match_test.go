package match

import (
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"testing"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/types"
	"cel.dev/cel-go/common/types/ref"
)

var classes = []string{"kampanjsida", "givarhistorik", "ny-gava"}

const sampleRules = `
[[rule]]
name  = "gava"
match = 'method == "POST" && path == "/gavor"'
class = '"ny-gava"'
key   = 'headers["idempotency-key"]'

[[rule]]
name  = "gava-thrift"
match = 'front == "thrift" && headers[?"verb"].orValue("") == "ny-gava"'
class = '"ny-gava"'
key   = 'headers.unique'

[[rule]]
name  = "historik"
match = 'path.startsWith("/givare/") && path.endsWith("/historik")'
class = '"givarhistorik"'

[[rule]]
name  = "stor-gava"
match = 'body.has_json("belopp") && int(body.json("belopp")) >= 1000'
class = '"ny-gava"'
key   = 'body.json("id")'

[[rule]]
name  = "sida"
match = 'path.startsWith("/kampanjer/") || headers[?"verb"].orValue("") == "kampanjsida"'
class = 'headers[?"x-vip"].hasValue() ? "givarhistorik" : "kampanjsida"'
`

func mustParse(t testing.TB, text string) *Set {
	t.Helper()
	s, err := Parse(text, classes)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestClassify_FirstMatchingRule classifies requests by the rules of sampleRules.
func TestClassify_FirstMatchingRule(t *testing.T) {
	s := mustParse(t, sampleRules)
	for _, c := range []struct {
		r    Request
		want string // rule, class, key; empty for no match
	}{
		{
			Request{Frontend: "http", Method: "POST", Path: "/gavor", Headers: map[string]string{"idempotency-key": "k1"}},
			"gava ny-gava k1",
		},
		// The header with the key is missing, so the rule's evaluation fails, and no later rule matches.
		{Request{Frontend: "http", Method: "POST", Path: "/gavor"}, ""},
		{Request{Frontend: "thrift", Headers: map[string]string{"verb": "ny-gava", "unique": "u1"}}, "gava-thrift ny-gava u1"},
		{Request{Frontend: "uwsgi", Method: "GET", Path: "/givare/7/historik"}, "historik givarhistorik "},
		{
			Request{Frontend: "http", Method: "PUT", Path: "/x", Body: []byte(`{"belopp": "2500", "id": "g9"}`)},
			"stor-gava ny-gava g9",
		},
		{Request{Frontend: "http", Method: "PUT", Path: "/x", Body: []byte(`{"belopp": "25"}`)}, ""},
		{Request{Frontend: "http", Method: "PUT", Path: "/x", Body: []byte(`not json`)}, ""},
		{Request{Frontend: "http", Method: "GET", Path: "/kampanjer/jul"}, "sida kampanjsida "},
		{
			Request{Frontend: "http", Method: "GET", Path: "/kampanjer/jul", Headers: map[string]string{"x-vip": "1"}},
			"sida givarhistorik ",
		},
		{Request{Frontend: "thrift", Headers: map[string]string{"verb": "kampanjsida"}}, "sida kampanjsida "},
		{Request{}, ""},
	} {
		got := ""
		if res, ok := s.Classify(c.r); ok {
			got = fmt.Sprintf("%s %s %s", res.Rule, res.Class, res.Key)
		}
		if got != c.want {
			t.Errorf("Classify(%+v) = %q, want %q", c.r, got, c.want)
		}
	}
	if s.FailedEvaluations() == 0 {
		t.Error("FailedEvaluations() = 0, want the requests with a missing key or without a JSON body counted")
	}
	if !s.UsesBody() {
		t.Error("UsesBody() = false, want true")
	}
}

// TestCompile_RejectsInvalidRules compiles invalid rules. Each problem must be reported with
// the rule, the field and, if the parser reports one, the position.
func TestCompile_RejectsInvalidRules(t *testing.T) {
	deep := strings.Repeat("(", 60) + "true" + strings.Repeat(")", 60)
	for _, c := range []struct {
		rule Rule
		want string
	}{
		{Rule{Name: "syntax", Match: "method ==", Class: `"ny-gava"`}, "syntax.match:1:10: "},
		{Rule{Name: "type", Match: "path", Class: `"ny-gava"`}, "type.match: gives string, bool is needed"},
		{Rule{Name: "keytype", Match: "true", Class: `"ny-gava"`, Key: "size(path)"}, "keytype.key: gives int"},
		{Rule{Name: "unknown", Match: "nosuch == 1", Class: `"ny-gava"`}, "unknown.match:1:1: undeclared reference"},
		{Rule{Name: "class", Match: "true", Class: `"nygava"`}, `class.class: class "nygava" is unknown`},
		{Rule{Name: "noclass", Match: "true"}, "noclass.class: expression is missing"},
		{Rule{Match: "true", Class: `"ny-gava"`}, "rule[0]: name is missing"},
		// Nested comprehensions: the work grows with the square of the number of headers.
		{
			Rule{Name: "nested", Match: "headers.all(k, headers.all(j, k == j))", Class: `"ny-gava"`},
			"nested.match:1:",
		},
		// The work grows with the number of headers times the size of the body.
		{
			Rule{Name: "costly", Match: `headers.exists(k, body.json(k) == "x")`, Class: `"ny-gava"`},
			"costly.match: estimated cost ",
		},
		// Each concatenation copies the whole string.
		{Rule{
			Name: "grows", Match: `(path + path + path + path + path + path).contains(headers["a"] + path + path)`,
			Class: `"ny-gava"`,
		}, "grows.match: estimated cost "},
		{Rule{Name: "deep", Match: deep, Class: `"ny-gava"`}, "deep.match:"},
	} {
		_, err := Compile([]Rule{c.rule}, Options{Classes: classes})
		var le *LoadError
		if !errors.As(err, &le) || !errors.Is(err, ErrRejected) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("Compile of rule %q: got error %v, want a *LoadError with %q", c.rule.Name, err, c.want)
		}
	}
	// A file with one invalid rule is rejected, and all problems are reported.
	_, err := Compile([]Rule{{Name: "a", Match: "true", Class: `"ny-gava"`}, {Name: "a", Match: "1", Class: "2"}},
		Options{Classes: classes})
	if le := (*LoadError)(nil); !errors.As(err, &le) || len(le.Problems) != 3 {
		t.Errorf("Compile of a rule with three faults: got error %v, want a problem each for the name, match and class", err)
	}
}

// largestRequests returns requests of the maximum size that the cost estimate assumes.
func largestRequests() []Request {
	headers := map[string]string{}
	for i := range maxHeaders {
		headers[fmt.Sprintf("h%03d", i)] = strings.Repeat("v", maxHeaderBytes)
	}
	headers["idempotency-key"], headers["verb"], headers["unique"] = "k", "ny-gava", "u"
	body := fmt.Appendf(nil, `{"belopp": "5000", "id": "%s"}`, strings.Repeat("i", maxBodyBytes-40))
	return []Request{
		{Frontend: "http", Method: "POST", Path: "/gavor", Headers: headers, Body: body},
		{Frontend: "thrift", Path: "/givare/" + strings.Repeat("p", maxPathBytes-20) + "/historik", Headers: headers},
		{Frontend: "uwsgi", Path: "/kampanjer/" + strings.Repeat("p", maxPathBytes-20), Headers: headers, Body: body},
	}
}

// TestCompile_CostEstimateIsUpperBound evaluates each field of sampleRules on requests of the
// maximum size. The actual cost must not exceed the field's estimate, and the estimate must
// not exceed the limit.
func TestCompile_CostEstimateIsUpperBound(t *testing.T) {
	s := mustParse(t, sampleRules)
	env, err := newEnv()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range s.rules {
		for _, field := range []string{c.Match, c.Class, c.Key} {
			if field == "" {
				continue
			}
			a, _ := env.Compile(field)
			estimate, err := env.EstimateCost(a, sizeEstimator{})
			if err != nil {
				t.Fatal(err)
			}
			p, err := env.Program(a, cel.EvalOptions(cel.OptTrackCost))
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range largestRequests() {
				_, details, _ := p.Eval(&activation{r})
				if got := *details.ActualCost(); got > estimate.Max || estimate.Max > s.maxCost {
					t.Errorf("rule %s: %q has actual cost %d, estimated maximum %d, limit %d; want each at most the next", c.Name, field, got, estimate.Max, s.maxCost)
				}
			}
		}
	}
}

// TestWarnings_ReportOverlappingRules checks that a pair of rules that match the same request
// is reported once, and that sampleRules cause no warnings.
func TestWarnings_ReportOverlappingRules(t *testing.T) {
	s := mustParse(t, `
[[rule]]
name  = "alla"
match = 'path.startsWith("/gavor")'
class = '"kampanjsida"'
[[rule]]
name  = "gava"
match = 'method == "POST" && path == "/gavor" && "idempotency-key" in headers'
class = '"ny-gava"'
key   = 'headers["idempotency-key"]'
[[rule]]
name  = "historik"
match = 'path == "/givare"'
class = '"givarhistorik"'
`)
	want := `rules "alla" and "gava" both match http, POST /gavor, idempotency-key: x; "alla" is used because it comes first`
	if got := s.Warnings(); len(got) != 1 || got[0] != want {
		t.Errorf("Warnings() = %q\nwant one: %q", got, want)
	}
	if got := mustParse(t, sampleRules).Warnings(); len(got) != 0 {
		t.Errorf("Warnings() of sampleRules = %q, want none", got)
	}
}

// TestActiveRules_ReplaceDuringClassify classifies requests while the rule set is replaced.
// Each result must be the one of the set whose version it contains.
func TestActiveRules_ReplaceDuringClassify(t *testing.T) {
	var rs ActiveRules
	set := func(class string) *Set {
		return mustParse(t, fmt.Sprintf(`
[[rule]]
name = "a"
match = 'true'
class = '"%s"'
[[rule]]
name = "b"
match = 'true'
class = '"ny-gava"'`, class))
	}
	byVersion := map[uint64]string{rs.Replace(set("kampanjsida")): "kampanjsida"}
	var wg sync.WaitGroup
	results := make(chan Result, 4000)
	for range 4 {
		wg.Go(func() {
			for range 1000 {
				r, _ := rs.Load().Classify(Request{Frontend: "http"})
				results <- r
			}
		})
	}
	for i := range 50 {
		class := classes[i%2]
		byVersion[rs.Replace(set(class))] = class
	}
	wg.Wait()
	close(results)
	for r := range results {
		if want, ok := byVersion[r.Version]; !ok || r.Class != want || r.Rule != "a" {
			t.Fatalf("Classify returned %+v, want rule a and class %q for version %d", r, want, r.Version)
		}
	}
}

// TestEval_UnexpectedTypeReturnsValueError evaluates a rule whose programs return an int
// instead of a bool and a string.
func TestEval_UnexpectedTypeReturnsValueError(t *testing.T) {
	env, err := newEnv()
	if err != nil {
		t.Fatal(err)
	}
	checked, issues := env.Compile("size(path)")
	if issues.Err() != nil {
		t.Fatal(issues.Err())
	}
	program, err := env.Program(checked)
	if err != nil {
		t.Fatal(err)
	}
	rule := compiledRule{match: program, class: program}
	_, matchErr := rule.matches(&activation{})
	_, classErr := evalString(rule.class, &activation{})
	for _, err := range []error{matchErr, classErr} {
		var valueError *ValueError
		if !errors.As(err, &valueError) || err.Error() != "match: expression returned a value of unexpected type int" {
			t.Errorf("evaluation of size(path): got error %v, want a *ValueError for type int", err)
		}
	}
}

// TestBodyFunctions_RejectWrongTypes calls the member functions of the body with arguments of
// types that CEL's type check would reject. They must return an error and not panic.
func TestBodyFunctions_RejectWrongTypes(t *testing.T) {
	body, path := types.Bytes(`{"a": 1}`), types.String("a")
	for _, function := range []func(body, path ref.Val) ref.Val{bodyJSON, bodyHasJSON} {
		for _, result := range []ref.Val{function(path, path), function(body, body)} {
			if !types.IsError(result) {
				t.Errorf("body function with a wrong argument type returned %v, want an error", result)
			}
		}
	}
	if got := bodyJSON(body, path); got.Equal(types.String("1")) != types.True {
		t.Errorf("body.json(\"a\") = %v, want 1", got)
	}
	if got := bodyHasJSON(body, path); got != types.True {
		t.Errorf("body.has_json(\"a\") = %v, want true", got)
	}
}

// TestParse_RejectsUnknownKey parses a rule with a misspelled key.
func TestParse_RejectsUnknownKey(t *testing.T) {
	if _, err := Parse("[[rule]]\nname = 'a'\nmatch = 'true'\nclass = '\"ny-gava\"'\nklass = 'x'", classes); err == nil ||
		!strings.Contains(err.Error(), "unknown key rule.klass") {
		t.Errorf("Parse with a misspelled key: got error %v, want unknown key rule.klass", err)
	}
}

// classifyLinearly classifies a request without the index, by evaluating all rules in order. It
// returns the name of the first rule that matches.
func (s *Set) classifyLinearly(r Request) (string, bool) {
	for i := range s.rules {
		if matched, err := s.rules[i].matches(&activation{r}); err == nil && matched {
			return s.rules[i].Name, true
		}
	}
	return "", false
}

// TestIndex_SameResultAsLinearSearch classifies random requests by random rule sets, in which
// some rules require a path. The seed is fixed. The results must be the same without the
// index.
func TestIndex_SameResultAsLinearSearch(t *testing.T) {
	random := rand.New(rand.NewSource(3))
	paths := []string{"/a", "/b", "/c", "/"}
	forms := []string{
		`path == "%s"`, `path == "%s" && method == "POST"`, `method == "POST" && path == "%s"`,
		`path.startsWith("%s")`, `path == "%s" || "x" in headers`, `"x" in headers && path == "%s"`,
	}
	for range 200 {
		var rules []Rule
		for i := range 1 + random.Intn(8) {
			match := fmt.Sprintf(forms[random.Intn(len(forms))], paths[random.Intn(len(paths))])
			rules = append(rules, Rule{Name: fmt.Sprint("r", i), Match: match, Class: `"ny-gava"`})
		}
		s, err := Compile(rules, Options{Classes: classes})
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			r := Request{Frontend: "http", Method: []string{"GET", "POST"}[random.Intn(2)], Path: paths[random.Intn(len(paths))]}
			if random.Intn(2) == 0 {
				r.Headers = map[string]string{"x": "1"}
			}
			got, gotOK := s.Classify(r)
			want, wantOK := s.classifyLinearly(r)
			if got.Rule != want || gotOK != wantOK {
				t.Fatalf("Classify(%+v) with rules %v = rule %q, want %q", r, rules, got.Rule, want)
			}
		}
	}
}
