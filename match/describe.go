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

// Values in the request that is made of a route.
const (
	sampleKey     = "k"
	sampleSegment = "x" // for a parameter of the path
)

// Against describes where a service's description and the rules disagree. For each route of
// the description it makes a request of the route's method and path and classifies it. The
// rules come before the description's routes, so it reports
//
//   - a rule that matches the route's request with another class, or without a key for a
//     keyed class;
//   - a rule that the description names for the route and that does not match, or does not
//     exist.
//
// Nothing is applied: the caller decides what to do about a disagreement.
func (s *Set) Against(d *describe.Document) []string {
	keyed := map[string]bool{}
	for _, class := range d.Classes {
		keyed[class.Name] = class.Idempotency == decision.Keyed
	}
	var disagreements []string
	for _, route := range d.Routes {
		if text := s.compare(route, keyed[route.Class]); text != "" {
			disagreements = append(disagreements, text)
		}
	}
	return disagreements
}

// compare describes how the rules disagree with a route, or returns "" if they don't.
func (s *Set) compare(route describe.Route, keyed bool) string {
	request := sampleRequest(route)
	at := fmt.Sprintf("%s %s", request.Method, route.Path)
	result, matched := s.Classify(request)
	switch {
	case route.Rule != "" && !s.hasRule(route.Rule):
		return fmt.Sprintf("%s: the description names rule %q, which is not among the rules", at, route.Rule)
	case route.Rule != "" && (!matched || result.Rule != route.Rule):
		taker := "no rule"
		if matched {
			taker = fmt.Sprintf("rule %q", result.Rule)
		}
		return fmt.Sprintf("%s: the description names rule %q, but %s takes it", at, route.Rule, taker)
	case matched && result.Class != route.Class:
		return fmt.Sprintf("%s: rule %q gives class %q, the description %q", at, result.Rule, result.Class, route.Class)
	case matched && keyed && result.Key == "":
		return fmt.Sprintf("%s: rule %q gives no key to the keyed class %q", at, result.Rule, route.Class)
	}
	return ""
}

// sampleRequest makes a request of a route.
func sampleRequest(route describe.Route) Request {
	return Request{
		Front: defaultFront, Method: cmp.Or(route.Method, http.MethodGet), Path: samplePath(route.Path),
		Headers: map[string]string{strings.ToLower(route.KeyHeader): sampleKey},
	}
}

// samplePath makes a path of a pattern.
func samplePath(pattern string) string {
	segments := strings.Split(pattern, "/")
	for i, segment := range segments {
		if describe.IsParameter(segment) {
			segments[i] = sampleSegment
		}
	}
	return strings.Join(segments, "/")
}

// hasRule reports whether a rule has the name.
func (s *Set) hasRule(name string) bool {
	return slices.ContainsFunc(s.rules, func(rule compiledRule) bool { return rule.Name == name })
}
