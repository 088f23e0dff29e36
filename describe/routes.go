package describe

import "strings"

// DefaultKeyHeader is the header with the key if a document names no other.
const DefaultKeyHeader = "Idempotency-Key"

// Route leads requests to a class.
type Route struct {
	Method    string // empty for every method
	Path      string // a pattern: {name} is a parameter, which stands for one segment
	Class     string
	KeyHeader string
	Rule      string // the matching rule that the document says matches its requests; may be empty
}

// Routes finds the route of a request.
type Routes []Route

// Match returns the route of a method and path: the one with the most fixed segments, the
// first of them if several have as many.
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

// acceptsMethod reports whether the route is for requests of the method.
func (r *Route) acceptsMethod(method string) bool {
	return r.Method == "" || strings.EqualFold(r.Method, method)
}

// matchPattern reports whether a path matches a pattern, and how many of the pattern's
// segments are fixed.
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

// IsParameter reports whether a segment of a route's path is a parameter, such as {name}.
func IsParameter(segment string) bool {
	return strings.HasPrefix(segment, "{") && strings.HasSuffix(segment, "}")
}
