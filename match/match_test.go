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

const typical = `
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

func TestClassify(t *testing.T) {
	s := mustParse(t, typical)
	for _, c := range []struct {
		r    Request
		want string // rule, class, key; empty for no match
	}{
		{
			Request{Front: "http", Method: "POST", Path: "/gavor", Headers: map[string]string{"idempotency-key": "k1"}},
			"gava ny-gava k1",
		},
		// The key's header is missing: the rule fails, and no later one takes it.
		{Request{Front: "http", Method: "POST", Path: "/gavor"}, ""},
		{Request{Front: "thrift", Headers: map[string]string{"verb": "ny-gava", "unique": "u1"}}, "gava-thrift ny-gava u1"},
		{Request{Front: "uwsgi", Method: "GET", Path: "/givare/7/historik"}, "historik givarhistorik "},
		{
			Request{Front: "http", Method: "PUT", Path: "/x", Body: []byte(`{"belopp": "2500", "id": "g9"}`)},
			"stor-gava ny-gava g9",
		},
		{Request{Front: "http", Method: "PUT", Path: "/x", Body: []byte(`{"belopp": "25"}`)}, ""},
		{Request{Front: "http", Method: "PUT", Path: "/x", Body: []byte(`not json`)}, ""},
		{Request{Front: "http", Method: "GET", Path: "/kampanjer/jul"}, "sida kampanjsida "},
		{
			Request{Front: "http", Method: "GET", Path: "/kampanjer/jul", Headers: map[string]string{"x-vip": "1"}},
			"sida givarhistorik ",
		},
		{Request{Front: "thrift", Headers: map[string]string{"verb": "kampanjsida"}}, "sida kampanjsida "},
		{Request{}, ""},
	} {
		got := ""
		if res, ok := s.Classify(c.r); ok {
			got = fmt.Sprintf("%s %s %s", res.Rule, res.Class, res.Key)
		}
		if got != c.want {
			t.Errorf("%+v: got %q, want %q", c.r, got, c.want)
		}
	}
	if s.Errors() == 0 {
		t.Error("the missing key and the body that is no JSON were not counted as failed evaluations")
	}
	if !s.UsesBody() {
		t.Error("a rule reads the body")
	}
}

// TestRefused compiles rules that must not be used: each problem is reported with the rule,
// the field and, if the parser knows it, the position.
func TestRefused(t *testing.T) {
	deep := strings.Repeat("(", 60) + "true" + strings.Repeat(")", 60)
	for _, c := range []struct {
		rule Rule
		want string
	}{
		{Rule{Name: "syntax", Match: "method ==", Class: `"ny-gava"`}, "syntax.match:1:10: "},
		{Rule{Name: "type", Match: "path", Class: `"ny-gava"`}, "type.match: gives string, bool is needed"},
		{Rule{Name: "keytype", Match: "true", Class: `"ny-gava"`, Key: "size(path)"}, "keytype.key: gives int"},
		{Rule{Name: "unknown", Match: "nosuch == 1", Class: `"ny-gava"`}, "unknown.match:1:1: undeclared reference"},
		{Rule{Name: "class", Match: "true", Class: `"nygava"`}, `class.class: class "nygava" is not among`},
		{Rule{Name: "noclass", Match: "true"}, "noclass.class: an expression is needed"},
		{Rule{Match: "true", Class: `"ny-gava"`}, "rule[0]: a name is needed"},
		// Work that grows with the square of the headers: nested comprehensions.
		{
			Rule{Name: "nested", Match: "headers.all(k, headers.all(j, k == j))", Class: `"ny-gava"`},
			"nested.match:1:",
		},
		// Work that grows with the headers times the body.
		{
			Rule{Name: "costly", Match: `headers.exists(k, body.json(k) == "x")`, Class: `"ny-gava"`},
			"costly.match: its cost may reach",
		},
		// A string that grows: each concatenation copies all of it.
		{Rule{
			Name: "grows", Match: `(path + path + path + path + path + path).contains(headers["a"] + path + path)`,
			Class: `"ny-gava"`,
		}, "grows.match: its cost may reach"},
		{Rule{Name: "deep", Match: deep, Class: `"ny-gava"`}, "deep.match:"},
	} {
		_, err := Compile([]Rule{c.rule}, Options{Classes: classes})
		var le *LoadError
		if !errors.As(err, &le) || !errors.Is(err, ErrRefused) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", c.rule.Name, err, c.want)
		}
	}
	// One invalid rule rejects the file; all problems are reported.
	_, err := Compile([]Rule{{Name: "a", Match: "true", Class: `"ny-gava"`}, {Name: "a", Match: "1", Class: "2"}},
		Options{Classes: classes})
	if le := (*LoadError)(nil); !errors.As(err, &le) || len(le.Problems) != 3 {
		t.Errorf("got %v, want three problems: the name, the match and the class", err)
	}
}

// largestRequests are requests as large as the cost estimate assumes.
func largestRequests() []Request {
	headers := map[string]string{}
	for i := range maxHeaders {
		headers[fmt.Sprintf("h%03d", i)] = strings.Repeat("v", maxHeaderBytes)
	}
	headers["idempotency-key"], headers["verb"], headers["unique"] = "k", "ny-gava", "u"
	body := fmt.Appendf(nil, `{"belopp": "5000", "id": "%s"}`, strings.Repeat("i", maxBodyBytes-40))
	return []Request{
		{Front: "http", Method: "POST", Path: "/gavor", Headers: headers, Body: body},
		{Front: "thrift", Path: "/givare/" + strings.Repeat("p", maxPathBytes-20) + "/historik", Headers: headers},
		{Front: "uwsgi", Path: "/kampanjer/" + strings.Repeat("p", maxPathBytes-20), Headers: headers, Body: body},
	}
}

// TestCostBound evaluates every accepted rule of the corpus on requests as large
// as the estimate allows: the cost of each evaluation stays within the rule's
// estimate, and so within the bound.
func TestCostBound(t *testing.T) {
	s := mustParse(t, typical)
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
			estimate, err := env.EstimateCost(a, estimator{})
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
					t.Errorf("%s: %q cost %d, estimated %d, bound %d", c.Name, field, got, estimate.Max, s.maxCost)
				}
			}
		}
	}
}

func TestOverlaps(t *testing.T) {
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
	want := `rules "alla" and "gava" both take http, POST /gavor, idempotency-key: x; "alla" comes first and wins`
	if got := s.Warnings(); len(got) != 1 || got[0] != want {
		t.Errorf("got  %q\nwant %q", got, want)
	}
	if got := mustParse(t, typical).Warnings(); len(got) != 0 {
		t.Errorf("the typical rules: %q", got)
	}
}

// TestReplace classifies requests while the set is replaced: each is classified by one
// version, which its result has.
func TestReplace(t *testing.T) {
	var rs Rules
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
				r, _ := rs.Load().Classify(Request{Front: "http"})
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
			t.Fatalf("%+v: version %d gives %q", r, r.Version, want)
		}
	}
}

// TestValueError evaluates fields whose values are of another type than checked.
func TestValueError(t *testing.T) {
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
		if !errors.As(err, &valueError) || err.Error() != "match: a value of type int" {
			t.Errorf("%v, want a *ValueError of int", err)
		}
	}
}

// TestBodyFunctions calls the body's functions with values that the checker would not let
// through: the result is an error, and no panic.
func TestBodyFunctions(t *testing.T) {
	body, path := types.Bytes(`{"a": 1}`), types.String("a")
	for _, function := range []func(body, path ref.Val) ref.Val{bodyJSON, bodyHasJSON} {
		for _, result := range []ref.Val{function(path, path), function(body, body)} {
			if !types.IsError(result) {
				t.Errorf("%v, want an error", result)
			}
		}
	}
	if got := bodyJSON(body, path); got.Equal(types.String("1")) != types.True {
		t.Errorf("body.json: %v", got)
	}
	if got := bodyHasJSON(body, path); got != types.True {
		t.Errorf("body.has_json: %v", got)
	}
}

func TestParse(t *testing.T) {
	if _, err := Parse("[[rule]]\nname = 'a'\nmatch = 'true'\nclass = '\"ny-gava\"'\nklass = 'x'", classes); err == nil ||
		!strings.Contains(err.Error(), "rule.klass: no such key") {
		t.Errorf("a misspelt key: %v", err)
	}
}

// classifyLinearly classifies as Classify would without the index: by every rule in order.
func (s *Set) classifyLinearly(r Request) (string, bool) {
	for i := range s.rules {
		if matched, err := s.rules[i].matches(&activation{r}); err == nil && matched {
			return s.rules[i].Name, true
		}
	}
	return "", false
}

// TestIndex has random rule sets, some requiring a path and some not, classify
// random requests as they would without the index (seeded, the same every time).
func TestIndex(t *testing.T) {
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
			r := Request{Front: "http", Method: []string{"GET", "POST"}[random.Intn(2)], Path: paths[random.Intn(len(paths))]}
			if random.Intn(2) == 0 {
				r.Headers = map[string]string{"x": "1"}
			}
			got, gotOK := s.Classify(r)
			want, wantOK := s.classifyLinearly(r)
			if got.Rule != want || gotOK != wantOK {
				t.Fatalf("%+v in %v: got %q, want %q", r, rules, got.Rule, want)
			}
		}
	}
}
