// Package decision declares the types that a server shares with its decision module
// (package policy): the settings of an instance (settings.go), the requests and gauges
// that it reads (request.go, outcome.go), and the actions and log events that it
// produces (host.go, events.go). The package contains no decision logic.
//
// Every point in time is the duration since the start of one monotonic clock, which the
// host chooses.
package decision
