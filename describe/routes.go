package describe

import "strings"

// DefaultKeyHeader is the header with the idempotency key if the document names no other.
const DefaultKeyHeader = "Idempotency-Key"

// Route assigns a class to requests with a method and a path.
type Route struct {
	Method    string // case-insensitive; empty for any method
	Path      string // pattern; a segment {name} is a parameter and matches any non-empty segment
	Class     string
	KeyHeader string // header with the idempotency key
	Rule      string // name of the rule that should match the route's requests; may be empty
}

// Routes is a list of routes. Match uses their order only to break ties.
type Routes []Route

// Match returns the route for a method and path, or false if no route matches. If several
// match, it returns the one whose pattern has the most fixed segments, and the first of these
// in a tie.
func (rs Routes) Match(method, path string) (Route, bool) {
	best, mostFixed := Route{}, -1
	for i := range rs {
		route := &rs[i]
		if !route.acceptsMethod(method) {
			continue
		}
		if fixed, ok := matchPattern(route.Path, path); ok && fixed > mostFixed {
			best, mostFixed = *route, fixed
		}
	}
	return best, mostFixed >= 0
}

// acceptsMethod reports whether the route applies to requests with the method.
func (r *Route) acceptsMethod(method string) bool {
	return r.Method == "" || strings.EqualFold(r.Method, method)
}

// matchPattern reports whether a path matches a pattern. If so, it also returns the number of
// fixed segments in the pattern, which are those that are not parameters.
func matchPattern(pattern, path string) (fixed int, ok bool) {
	want, got := strings.Split(pattern, "/"), strings.Split(path, "/")
	if len(want) != len(got) {
		return 0, false
	}
	for i, segment := range want {
		switch {
		case IsParameter(segment):
			if got[i] == "" {
				return 0, false
			}
		case segment != got[i]:
			return 0, false
		default:
			fixed++
		}
	}
	return fixed, true
}

// IsParameter reports whether a segment of a route's path is a parameter such as {name}.
func IsParameter(segment string) bool {
	return strings.HasPrefix(segment, "{") && strings.HasSuffix(segment, "}")
}
