package match

import (
	"fmt"
	"strings"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/describe"
)

// Against names where a description and the rules disagree. For each route of
// the description it makes a request of the route's method and path (a
// parameter is "x"; the key's header is "k") and classifies it: the rules come
// first, so a rule that takes the route's requests with another class, or with
// no key for a keyed class, overrides the description, and is named; so is a
// rule that the description says takes a route but does not, or is not there.
// Nothing is applied; the caller decides what to do with a disagreement.
func (s *Set) Against(d *describe.Document) []string {
	keyed := map[string]bool{}
	for _, c := range d.Classes {
		keyed[c.Name] = c.Effect == decision.Keyed
	}
	var found []string
	for _, route := range d.Routes {
		r := Request{
			Front: "http", Method: route.Method, Path: fill(route.Path),
			Headers: map[string]string{strings.ToLower(route.KeyHeader): "k"},
		}
		if r.Method == "" {
			r.Method = "GET"
		}
		at := fmt.Sprintf("%s %s", r.Method, route.Path)
		res, ok := s.Classify(r)
		switch {
		case route.Rule != "" && !s.has(route.Rule):
			found = append(found, fmt.Sprintf("%s: the description names rule %q, which is not among the rules", at, route.Rule))
		case route.Rule != "" && (!ok || res.Rule != route.Rule):
			taker := "no rule"
			if ok {
				taker = fmt.Sprintf("rule %q", res.Rule)
			}
			found = append(found, fmt.Sprintf("%s: the description names rule %q, but %s takes it", at, route.Rule, taker))
		case ok && res.Class != route.Class:
			found = append(found, fmt.Sprintf("%s: rule %q gives class %q, the description %q", at, res.Rule, res.Class,
				route.Class))
		case ok && keyed[route.Class] && res.Key == "":
			found = append(found, fmt.Sprintf("%s: rule %q gives no key to the keyed class %q", at, res.Rule, route.Class))
		}
	}
	return found
}

func (s *Set) has(name string) bool {
	for _, c := range s.rules {
		if c.Name == name {
			return true
		}
	}
	return false
}

// fill gives a path of a pattern, with "x" for each parameter.
func fill(pattern string) string {
	segs := strings.Split(pattern, "/")
	for i, seg := range segs {
		if strings.HasPrefix(seg, "{") && strings.HasSuffix(seg, "}") {
			segs[i] = "x"
		}
	}
	return strings.Join(segs, "/")
}
