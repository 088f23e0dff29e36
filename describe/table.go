package describe

import "strings"

// Table finds the route of a request in a trie of path segments. It finds the same route as
// Routes.Match without allocating memory or splitting the path. The cost of a lookup depends
// on the number of path segments and on the branches that they match, not on the number of
// routes. BenchmarkMatch compares the two. A Table is immutable and therefore safe for
// concurrent use.
type Table struct {
	routes Routes
	root   node
}

// node is a node of the trie. It represents a sequence of pattern segments.
type node struct {
	fixed     map[string]*node // children for a fixed next segment, by its text
	parameter *node            // child for a parameter; matches any next segment that is not empty
	routes    []int            // indexes of the routes whose pattern ends here, ascending
}

// Compile builds a Table from the routes. The caller must not change the routes afterwards.
func (rs Routes) Compile() *Table {
	t := &Table{routes: rs}
	for i, route := range rs {
		n := &t.root
		for segment := range strings.SplitSeq(route.Path, "/") {
			n = n.child(segment)
		}
		n.routes = append(n.routes, i)
	}
	return t
}

// child returns the child node for a segment of a pattern. It adds the node if it does not
// exist.
func (n *node) child(segment string) *node {
	if IsParameter(segment) {
		if n.parameter == nil {
			n.parameter = &node{}
		}
		return n.parameter
	}
	if n.fixed == nil {
		n.fixed = map[string]*node{}
	}
	if n.fixed[segment] == nil {
		n.fixed[segment] = &node{}
	}
	return n.fixed[segment]
}

// Routes returns the routes that the table was built from.
func (t *Table) Routes() Routes { return t.routes }

// routeSearch is the state of a search for the route of a request.
type routeSearch struct {
	table  *Table
	method string
	route  int // index of the best route so far; -1 if none was found
	fixed  int // number of fixed segments of that route
}

// Match returns the route for a method and path. It is the route that Routes.Match returns.
func (t *Table) Match(method, path string) (Route, bool) {
	s := routeSearch{table: t, method: method, route: -1, fixed: -1}
	s.visit(&t.root, path, 0)
	if s.route < 0 {
		return Route{}, false
	}
	return t.routes[s.route], true
}

// visit searches the subtree of a node for the remaining path. fixed is the number of fixed
// segments on the way to the node.
func (s *routeSearch) visit(n *node, path string, fixed int) {
	segment, rest, more := strings.Cut(path, "/")
	if next := n.fixed[segment]; next != nil {
		s.follow(next, rest, more, fixed+1)
	}
	if n.parameter != nil && segment != "" {
		s.follow(n.parameter, rest, more, fixed)
	}
}

// follow visits a child node. If the path has no more segments, it compares the first of the
// node's routes that accepts the method with the best route so far.
func (s *routeSearch) follow(n *node, rest string, more bool, fixed int) {
	if more {
		s.visit(n, rest, fixed)
		return
	}
	for _, i := range n.routes {
		if !s.table.routes[i].acceptsMethod(s.method) {
			continue
		}
		if fixed > s.fixed || fixed == s.fixed && i < s.route {
			s.route, s.fixed = i, fixed
		}
		return // the node's other routes have the same number of fixed segments and a higher index
	}
}
