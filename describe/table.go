package describe

import "strings"

// Table finds the route of a request in a trie of path segments that is built once from
// Routes. It finds the route that Routes.Match finds, without allocating and without
// splitting the path: a lookup costs the path's segments times the branches that they can
// take, not the number of routes. BenchmarkMatch compares the two. A Table does not change,
// so it is safe for concurrent use.
type Table struct {
	routes Routes
	root   node
}

// node is what some segments of a path lead to.
type node struct {
	fixed     map[string]*node // by the text of the next segment
	parameter *node            // for any next segment that is not empty
	routes    []int            // whose pattern ends here, in their order
}

// Compile builds the table of the routes.
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

// child returns the node that a pattern's segment leads to, which it adds if there is none.
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

// lookup is the search for a request's route.
type lookup struct {
	table  *Table
	method string
	route  int // the best one so far; -1 for none
	fixed  int // its fixed segments
}

// Match returns the route of a method and a path: the one that Routes.Match returns.
func (t *Table) Match(method, path string) (Route, bool) {
	l := lookup{table: t, method: method, route: -1, fixed: -1}
	l.visit(&t.root, path, 0)
	if l.route < 0 {
		return Route{}, false
	}
	return t.routes[l.route], true
}

// visit follows the segments of path from a node that fixed fixed segments led to.
func (l *lookup) visit(n *node, path string, fixed int) {
	segment, rest, more := strings.Cut(path, "/")
	if next := n.fixed[segment]; next != nil {
		l.follow(next, rest, more, fixed+1)
	}
	if n.parameter != nil && segment != "" {
		l.follow(n.parameter, rest, more, fixed)
	}
}

// follow visits a node if the path has more segments, else considers the node's routes.
func (l *lookup) follow(n *node, rest string, more bool, fixed int) {
	if more {
		l.visit(n, rest, fixed)
		return
	}
	for _, i := range n.routes {
		if !l.table.routes[i].acceptsMethod(l.method) {
			continue
		}
		if fixed > l.fixed || fixed == l.fixed && i < l.route {
			l.route, l.fixed = i, fixed
		}
		return // the first route that accepts the method is the earliest of this node
	}
}
