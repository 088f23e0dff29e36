// Package match evaluates rules that determine the class and the idempotency key of a
// request. Operators write the rules in CEL, the Common Expression Language
// (github.com/google/cel-spec; the library is cel.dev/cel-go). When a rule file is loaded,
// each rule is type-checked and compiled, and its estimated cost must be within a limit. If
// any rule is invalid, the whole file is rejected and all problems are reported. At run time
// the same limit applies to the actual cost of each expression of a rule.
//
// # Use
//
// [Load] and [Parse] compile a rule file to a [Set]. [Set.Classify] classifies requests.
// [ActiveRules] holds the set in use, which a reload replaces. [Set.DescriptionConflicts]
// compares the rules with a service's OpenAPI or AsyncAPI document.
//
// # Variables of a rule
//
// A rule is evaluated on one request, in the same form on every frontend:
//
//	front    string               "thrift", "uwsgi" or "http"
//	method   string               HTTP method; empty on Thrift
//	path     string               HTTP path; empty on Thrift
//	headers  map(string, string)  names in lower case: HTTP headers, uwsgi's HTTP_* variables, Thrift's fields
//	body     bytes                the request's body; body.json(p) returns the JSON value at the path p
//	                              (dots between names) as a string, body.has_json(p) whether it exists
//
// Rules are evaluated in order. The first rule whose match is true determines the class, and
// the key if the rule has one. A rule whose evaluation fails, because a header or a body
// field is missing or the cost exceeds the limit, does not match, and the next rule is
// evaluated. Rules do no I/O.
package match
