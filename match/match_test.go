package match

import (
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"testing"

	"cel.dev/cel-go/cel"
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

// TestRefused has rules that must not be used: each problem is named, with the
// rule, the field and, where the parser knows it, the place.
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
	// One bad rule refuses the file; all problems are named.
	_, err := Compile([]Rule{{Name: "a", Match: "true", Class: `"ny-gava"`}, {Name: "a", Match: "1", Class: "2"}},
		Options{Classes: classes})
	if le := (*LoadError)(nil); !errors.As(err, &le) || len(le.Problems) != 3 {
		t.Errorf("got %v, want three problems: the name, the match and the class", err)
	}
}

// adversarial are requests as large as the estimate takes them to be.
func adversarial() []Request {
	headers := map[string]string{}
	for i := range maxHeaders {
		headers[fmt.Sprintf("h%03d", i)] = strings.Repeat("v", maxHeaderBytes)
	}
	headers["idempotency-key"], headers["verb"], headers["unique"] = "k", "ny-gava", "u"
	body := fmt.Appendf(nil, `{"belopp": "5000", "id": "%s"}`, strings.Repeat("i", maxBody-40))
	return []Request{
		{Front: "http", Method: "POST", Path: "/gavor", Headers: headers, Body: body},
		{Front: "thrift", Path: "/givare/" + strings.Repeat("p", maxPath-20) + "/historik", Headers: headers},
		{Front: "uwsgi", Path: "/kampanjer/" + strings.Repeat("p", maxPath-20), Headers: headers, Body: body},
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
			for _, r := range adversarial() {
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

// TestReplace classifies requests while the set is replaced: each is classified
// by one version, whole, and says which.
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

func TestParse(t *testing.T) {
	if _, err := Parse("[[rule]]\nname = 'a'\nmatch = 'true'\nclass = '\"ny-gava\"'\nklass = 'x'", classes); err == nil ||
		!strings.Contains(err.Error(), "rule.klass: no such key") {
		t.Errorf("a misspelt key: %v", err)
	}
}

// linear classifies as Classify would without the index: every rule in order.
func (s *Set) linear(r Request) (string, bool) {
	for i := range s.rules {
		if ok, err := evalBool(s.rules[i].match, &activation{r}); err == nil && ok {
			return s.rules[i].Name, true
		}
	}
	return "", false
}

// TestIndex has random rule sets, some requiring a path and some not, classify
// random requests as they would without the index (seeded, the same every time).
func TestIndex(t *testing.T) {
	rng := rand.New(rand.NewSource(3))
	paths := []string{"/a", "/b", "/c", "/"}
	forms := []string{
		`path == "%s"`, `path == "%s" && method == "POST"`, `method == "POST" && path == "%s"`,
		`path.startsWith("%s")`, `path == "%s" || "x" in headers`, `"x" in headers && path == "%s"`,
	}
	for range 200 {
		var rules []Rule
		for i := range 1 + rng.Intn(8) {
			match := fmt.Sprintf(forms[rng.Intn(len(forms))], paths[rng.Intn(len(paths))])
			rules = append(rules, Rule{Name: fmt.Sprint("r", i), Match: match, Class: `"ny-gava"`})
		}
		s, err := Compile(rules, Options{Classes: classes})
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			r := Request{Front: "http", Method: []string{"GET", "POST"}[rng.Intn(2)], Path: paths[rng.Intn(len(paths))]}
			if rng.Intn(2) == 0 {
				r.Headers = map[string]string{"x": "1"}
			}
			got, gotOK := s.Classify(r)
			want, wantOK := s.linear(r)
			if got.Rule != want || gotOK != wantOK {
				t.Fatalf("%+v in %v: got %q, want %q", r, rules, got.Rule, want)
			}
		}
	}
}
