// Package logging makes the program's logger, on log/slog: lines of key=value text whose
// message is the key event (event=drain stop_in=3s), or JSON; a level that can change
// while the program runs; a rate limit on a message that repeats ([New]), so that a fault
// that affects each request does not flood the log; and a [Writer] that never blocks.
package logging

import (
	"fmt"
	"io"
	"log/slog"
)

// Messages of the log events.
const (
	eventSuppressed   = "suppressed"
	eventLinesDropped = "log_lines_dropped"
)

// eventKey is the key of the message in the text format.
const eventKey = "event"

// Format says how lines are written.
type Format string

// The formats.
const (
	Text Format = "text" // key=value, the message as event=...
	JSON Format = "json"
)

// ParseLevel reads debug, info, warn or error.
func ParseLevel(name string) (slog.Level, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return level, fmt.Errorf("logging: level %q: %w", name, err)
	}
	return level, nil
}

// New returns a logger that writes lines at level and above to w. Of each message, at most
// maxPerSecond lines a second are written, or all if that is 0. The others are counted, and
// reported by a line event=suppressed count=N of=MESSAGE before the message's next line in a
// later second.
func New(w io.Writer, format Format, level slog.Leveler, maxPerSecond int) *slog.Logger {
	handler := newHandler(w, format, level)
	if maxPerSecond > 0 {
		handler = newRateLimiter(handler, maxPerSecond)
	}
	return slog.New(handler)
}

// newHandler returns the handler that formats lines, without a rate limit.
func newHandler(w io.Writer, format Format, level slog.Leveler) slog.Handler {
	if format == JSON {
		return slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	}
	options := &slog.HandlerOptions{Level: level}
	if format == Text {
		options.ReplaceAttr = renameMessage
	}
	return slog.NewTextHandler(w, options)
}

// renameMessage gives the message the key event.
func renameMessage(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.MessageKey {
		a.Key = eventKey
	}
	return a
}

// Discard returns a logger that writes nothing, for tests and tools.
func Discard() *slog.Logger { return slog.New(slog.DiscardHandler) }
