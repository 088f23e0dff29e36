// Package uwsgi is the codec of the uwsgi protocol: a packet of variables and a request
// body (request.go), answered by an HTTP response (response.go). It takes no decisions.
package uwsgi

import "errors"

// The first modifiers that are supported: the kinds of packets.
const (
	ModifierRequest = 0
	ModifierPing    = 100
)

// The kinds of errors of this package, besides those of reading.
var (
	ErrMalformed = errors.New("malformed")
	ErrTooLarge  = errors.New("too large")
)

// Var is a variable of a request, as the web server passes it, or a header of a response.
type Var struct{ Name, Value string }
