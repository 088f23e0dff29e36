package match

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/describe"
)

// Values in a sample request.
const (
	sampleKey     = "k" // idempotency key
	sampleSegment = "x" // replaces a parameter of the path
)

// DescriptionConflicts compares the rules with a service's description and returns a text
// for each route on which they conflict. For each route it classifies a sample request with
// the route's method and path. Rules take precedence over the description's routes, so it
// reports
//
//   - a rule that matches the sample request but gives another class, or no key although
//     the class is keyed;
//   - a rule that the description names for the route but that does not exist or does not
//     classify the sample request.
//
// It only reports conflicts; the caller decides how to handle them.
func (s *Set) DescriptionConflicts(d *describe.Document) []string {
	keyed := map[string]bool{}
	for _, class := range d.Classes {
		keyed[class.Name] = class.Idempotency == decision.Keyed
	}
	var conflicts []string
	for _, route := range d.Routes {
		if text := s.describeConflict(route, keyed[route.Class]); text != "" {
			conflicts = append(conflicts, text)
		}
	}
	return conflicts
}

// describeConflict describes the conflict between the rules and a route. It returns "" if
// there is none.
func (s *Set) describeConflict(route describe.Route, keyed bool) string {
	request := sampleRequest(route)
	at := fmt.Sprintf("%s %s", request.Method, route.Path)
	result, matched := s.Classify(request)
	switch {
	case route.Rule != "" && !s.hasRule(route.Rule):
		return fmt.Sprintf("%s: the description names rule %q, which does not exist", at, route.Rule)
	case route.Rule != "" && (!matched || result.Rule != route.Rule):
		matching := "no rule"
		if matched {
			matching = fmt.Sprintf("rule %q", result.Rule)
		}
		return fmt.Sprintf("%s: the description names rule %q, but %s matches", at, route.Rule, matching)
	case matched && result.Class != route.Class:
		return fmt.Sprintf("%s: rule %q gives class %q, the description %q", at, result.Rule, result.Class, route.Class)
	case matched && keyed && result.Key == "":
		return fmt.Sprintf("%s: rule %q gives no key for the keyed class %q", at, result.Rule, route.Class)
	}
	return ""
}

// sampleRequest returns a request that matches a route's method and path and has a key in the
// route's key header.
func sampleRequest(route describe.Route) Request {
	return Request{
		Frontend: defaultFrontend, Method: cmp.Or(route.Method, http.MethodGet), Path: samplePath(route.Path),
		Headers: map[string]string{strings.ToLower(route.KeyHeader): sampleKey},
	}
}

// samplePath returns a path that matches a route's pattern.
func samplePath(pattern string) string {
	segments := strings.Split(pattern, "/")
	for i, segment := range segments {
		if describe.IsParameter(segment) {
			segments[i] = sampleSegment
		}
	}
	return strings.Join(segments, "/")
}

// hasRule reports whether there is a rule with the name.
func (s *Set) hasRule(name string) bool {
	return slices.ContainsFunc(s.rules, func(rule compiledRule) bool { return rule.Name == name })
}
