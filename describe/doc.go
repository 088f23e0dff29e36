// Package describe reads the request classes and the routes of a service from its OpenAPI 3
// or AsyncAPI 3 document. The document contains them in extensions:
//
//	x-quincerail-classes (top level): for each class aim_ms, deadline_ms, worth,
//	    late_worth, effect (safe, keyed or unsafe) and window_ms
//	x-quincerail-class (in an operation): the operation's class
//	x-quincerail-key (in an operation): the header with the idempotency key of a keyed class
//	x-quincerail-rule (in an operation): the name of the rule that should match the
//	    operation's requests; package match compares the rules with the document
//
// [Parse] reads a document of either kind. [Routes.Match] finds the route of a request by
// testing all routes. [Routes.Compile] builds a [Table], which finds the same route in a trie
// of path segments.
package describe
