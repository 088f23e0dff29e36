// Package logging configures log/slog for the program. [New] returns a logger that writes
// lines of key=value text, with the message under the key event (event=drain stop_in=3s), or
// JSON. Its level can change while the program runs. It limits the rate of each message, so
// that a fault that affects every request does not flood the log. A [Writer] passes lines to
// a sink without blocking the logger.
package logging

import (
	"fmt"
	"io"
	"log/slog"
)

// Log event messages.
const (
	eventSuppressed   = "suppressed"
	eventLinesDropped = "log_lines_dropped"
)

// eventKey is the key of the message in the text format.
const eventKey = "event"

// Format is an output format of log lines.
type Format string

// Output formats.
const (
	Text Format = "text" // key=value pairs, the message as event=...
	JSON Format = "json" // one object a line, the message as msg
)

// ParseLevel parses a level name: debug, info, warn or error, in any case.
func ParseLevel(name string) (slog.Level, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return level, fmt.Errorf("logging: level %q: %w", name, err)
	}
	return level, nil
}

// New returns a logger that writes lines at level and above to w. It writes at most
// maxPerSecond lines a second with the same level and message; 0 means no limit. It counts
// the suppressed lines and reports them in a line event=suppressed count=N of=MESSAGE, which
// precedes the next line with that message in a later second.
func New(w io.Writer, format Format, level slog.Leveler, maxPerSecond int) *slog.Logger {
	handler := newHandler(w, format, level)
	if maxPerSecond > 0 {
		handler = newRateLimiter(handler, maxPerSecond)
	}
	return slog.New(handler)
}

// newHandler returns a handler that formats lines, without a rate limit.
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

// renameMessage changes the key of the message to eventKey.
func renameMessage(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.MessageKey {
		a.Key = eventKey
	}
	return a
}

// Discard returns a logger that writes nothing, for tests and tools.
func Discard() *slog.Logger { return slog.New(slog.DiscardHandler) }
