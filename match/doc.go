// Package match decides which class a request belongs to and what its idempotency key is,
// by rules that operators write in CEL, the Common Expression Language
// (github.com/google/cel-spec; the library is cel.dev/cel-go). A rule is type-checked, its
// cost estimated and bounded, and compiled once, when its file is loaded; a file with one
// invalid rule is rejected as a whole, with each problem reported. Each evaluation is
// bounded by the same cost at run time.
//
// # Use
//
// [Load] or [Parse] compile a rule file to a [Set], whose [Set.Classify] classifies
// requests. [Rules] holds the set in force, which a reload replaces. [Set.Against] compares
// the rules with a service's description.
//
// # What a rule sees
//
// A rule sees one request, the same on every frontend:
//
//	front    string               "thrift", "uwsgi" or "http"
//	method   string               HTTP method; empty on Thrift
//	path     string               HTTP path; empty on Thrift
//	headers  map(string, string)  lower-case names: HTTP headers, uwsgi's HTTP_* variables, Thrift's fields
//	body     bytes                the request's body; body.json(p) returns the JSON value at the path p
//	                              (dots between names) as a string, body.has_json(p) whether there is one
//
// Rules are evaluated in order; the first whose match is true names the class, and the key
// if it has one. A rule whose evaluation fails (a missing header or body field, a cost
// beyond the bound) does not match, and the next one is evaluated. Rules do no I/O.
package match
