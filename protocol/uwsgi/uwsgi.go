// Package uwsgi is the codec of the uwsgi protocol. A request is a packet of variables and a
// body (request.go); the answer is an HTTP response (response.go). The package doesn't decide
// how a request is answered.
package uwsgi

import "errors"

// The supported values of a packet's first modifier, which is the kind of the packet.
const (
	ModifierRequest = 0
	ModifierPing    = 100
)

// The errors that this package's errors wrap, unless reading from the connection failed.
var (
	ErrMalformed = errors.New("malformed")
	ErrTooLarge  = errors.New("too large")
)

// Var is a variable that the web server passes with a request, or a header of a response.
type Var struct{ Name, Value string }
