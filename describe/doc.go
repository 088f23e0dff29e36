// Package describe reads what a service offers from its OpenAPI 3 or AsyncAPI 3 document:
// the classes of requests, and the routes to them. The document names them in extensions:
//
//	x-quincerail-classes (at the top): per class aim_ms, deadline_ms, worth,
//	    late_worth, effect (safe, keyed or unsafe) and window_ms
//	x-quincerail-class (at an operation): the operation's class
//	x-quincerail-key (at an operation): the header with the key of a keyed class
//	x-quincerail-rule (at an operation): the matching rule that should match its requests
//	    (package match compares the two)
//
// [Load] reads a document of either kind. Its [Routes] find the route of a request one by
// one; [Routes.Compile] makes a [Table] that finds the same route by the path's segments.
package describe
