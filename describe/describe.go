// Package describe reads what a service offers from its OpenAPI 3 or AsyncAPI 3
// document: the classes of requests and the routes that lead to them. The
// document names them in extensions:
//
//	x-quincerail-classes (at the top): per class aim_ms, deadline_ms, worth,
//	    late_worth, effect (safe, keyed or unsafe) and window_ms
//	x-quincerail-class (at an operation): the operation's class
//	x-quincerail-key (at an operation): the header with the key of a keyed class
//	x-quincerail-rule (at an operation): the matching rule that should take it
//	    (package match compares the two)
package describe

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"quincerail.example/quincerail/decision"
)

// The names of the extensions.
const (
	extClasses = "x-quincerail-classes"
	extClass   = "x-quincerail-class"
	extKey     = "x-quincerail-key"
	extRule    = "x-quincerail-rule"
)

// DefaultKeyHeader brings the key where a document names no other.
const DefaultKeyHeader = "Idempotency-Key"

// Class is a named class of requests.
type Class struct {
	Name string
	decision.Class
}

// Route leads requests to a class.
type Route struct {
	Method    string // empty for every method
	Path      string // with {name} for one segment
	Class     string
	KeyHeader string
	Rule      string // the matching rule that the description says takes it; may be empty
}

// Document is what a service offers.
type Document struct {
	Classes []Class
	Routes  Routes
}

// Routes finds the route of a request.
type Routes []Route

// Match gives the route of a method and path: that with the most fixed segments.
func (rs Routes) Match(method, path string) (Route, bool) {
	best, most := Route{}, -1
	for _, r := range rs {
		if r.Method != "" && !strings.EqualFold(r.Method, method) {
			continue
		}
		if fixed, ok := match(r.Path, path); ok && fixed > most {
			best, most = r, fixed
		}
	}
	return best, most >= 0
}

// match counts the fixed segments of a pattern that a path fits.
func match(pattern, path string) (fixed int, ok bool) {
	want, got := strings.Split(pattern, "/"), strings.Split(path, "/")
	if len(want) != len(got) {
		return 0, false
	}
	for i, w := range want {
		switch {
		case strings.HasPrefix(w, "{") && strings.HasSuffix(w, "}"):
			if got[i] == "" {
				return 0, false
			}
		case w != got[i]:
			return 0, false
		default:
			fixed++
		}
	}
	return fixed, true
}

// Load reads a document, of whichever of the two kinds it is.
func Load(text []byte) (*Document, error) {
	if !gjson.ValidBytes(text) {
		return nil, errors.New("not a JSON document")
	}
	switch {
	case gjson.GetBytes(text, "asyncapi").Exists():
		return AsyncAPI(text)
	case gjson.GetBytes(text, "openapi").Exists():
		return OpenAPI(text)
	}
	return nil, errors.New("neither an OpenAPI nor an AsyncAPI document")
}

// classes reads the extension at the top.
func classes(v gjson.Result) ([]Class, error) {
	var list []Class
	var err error
	v.ForEach(func(name, c gjson.Result) bool {
		ms := func(key string) time.Duration {
			return time.Duration(c.Get(key).Float() * float64(time.Millisecond))
		}
		class := Class{name.String(), decision.Class{
			LatencyObjective: ms("aim_ms"), Deadline: ms("deadline_ms"),
			Weight: c.Get("worth").Float(), LateWeight: c.Get("late_worth").Float(), KeyWindow: ms("window_ms"),
		}}
		switch effect := c.Get("effect").String(); effect {
		case "", "safe":
		case "keyed":
			class.Effect = decision.Keyed
		case "unsafe":
			class.Effect = decision.NonIdempotent
		default:
			err = fmt.Errorf("%s.%s.effect: %q", extClasses, name, effect)
		}
		if class.Weight == 0 {
			class.Weight = 1
		}
		switch {
		case class.LatencyObjective <= 0:
			err = fmt.Errorf("%s.%s.aim_ms: a time wanted", extClasses, name)
		case class.Deadline < class.LatencyObjective:
			err = fmt.Errorf("%s.%s.deadline_ms: at least aim_ms wanted", extClasses, name)
		case class.Effect == decision.Keyed && class.KeyWindow <= 0:
			err = fmt.Errorf("%s.%s.window_ms: a time wanted", extClasses, name)
		}
		list = append(list, class)
		return err == nil
	})
	return list, err
}

// check sees that each route leads to a class, if the document has any.
func (d *Document) check() (*Document, error) {
	for _, r := range d.Routes {
		known := slices.ContainsFunc(d.Classes, func(c Class) bool { return c.Name == r.Class })
		if len(d.Classes) > 0 && !known {
			return nil, fmt.Errorf("%s %s: class %q is not described", r.Method, r.Path, r.Class)
		}
		if !strings.HasPrefix(r.Path, "/") {
			return nil, fmt.Errorf("path %q: it must begin with /", r.Path)
		}
	}
	return d, nil
}
