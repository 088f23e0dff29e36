// Package decision holds the types that a server shares with its decision module
// (package policy): the settings that an instance starts with (settings.go), the
// requests and gauges that it takes in (request.go, outcome.go), and the actions and log
// events that it gives (host.go, events.go). It decides nothing.
//
// All points in time are spans on one monotonic clock of the host's choice.
package decision
