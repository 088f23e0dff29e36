package describe

import "strings"

// Table finds the route of a request in a trie of path segments that is built
// once from Routes. It gives what Routes.Match gives (the route with the most
// fixed segments, the first of them in order where several tie), without
// allocating and without splitting the path: a lookup costs the path's
// segments times the branches that they can take, not the number of routes.
// BenchmarkMatch measures it against Routes.Match. It is safe for concurrent
// use, as it does not change once built.
type Table struct {
	routes Routes
	root   node
}

// node is what is reached after some segments of a path.
type node struct {
	fixed  map[string]*node // by the next segment's text
	param  *node            // for any next segment that is not empty
	leaves []int            // routes whose pattern ends here, in their order
}

// Compile builds the table of routes.
func (rs Routes) Compile() *Table {
	t := &Table{routes: rs}
	for i, r := range rs {
		n := &t.root
		for seg := range strings.SplitSeq(r.Path, "/") {
			if strings.HasPrefix(seg, "{") && strings.HasSuffix(seg, "}") {
				if n.param == nil {
					n.param = &node{}
				}
				n = n.param
				continue
			}
			if n.fixed == nil {
				n.fixed = map[string]*node{}
			}
			if n.fixed[seg] == nil {
				n.fixed[seg] = &node{}
			}
			n = n.fixed[seg]
		}
		n.leaves = append(n.leaves, i)
	}
	return t
}

// Routes gives the routes that the table was built from.
func (t *Table) Routes() Routes { return t.routes }

// best is the best route found so far.
type best struct {
	route, fixed int
}

// Match gives the route of a method and a path.
func (t *Table) Match(method, path string) (Route, bool) {
	found := best{route: -1, fixed: -1}
	t.walk(&t.root, method, path, 0, &found)
	if found.route < 0 {
		return Route{}, false
	}
	return t.routes[found.route], true
}

// walk follows the segments of path from n, of which fixed were fixed so far.
func (t *Table) walk(n *node, method, path string, fixed int, found *best) {
	seg, rest, more := strings.Cut(path, "/")
	if next := n.fixed[seg]; next != nil {
		t.follow(next, method, rest, more, fixed+1, found)
	}
	if n.param != nil && seg != "" {
		t.follow(n.param, method, rest, more, fixed, found)
	}
}

func (t *Table) follow(n *node, method, rest string, more bool, fixed int, found *best) {
	if more {
		t.walk(n, method, rest, fixed, found)
		return
	}
	for _, i := range n.leaves { // the first that takes the method is the earliest here
		if r := t.routes[i]; r.Method == "" || strings.EqualFold(r.Method, method) {
			if fixed > found.fixed || fixed == found.fixed && i < found.route {
				*found = best{i, fixed}
			}
			return
		}
	}
}
