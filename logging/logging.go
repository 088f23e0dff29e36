// Package logging makes the program's logger on log/slog: lines of key=value
// text in the house style, whose message is the key event (event=drain
// stop_in=3s), or JSON; a level that can change while the program runs; and a
// bound on a line that repeats, so that a fault that strikes each request does
// not flood the log at full load.
package logging

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
)

// Format says how lines are written.
type Format string

// The formats.
const (
	Text Format = "text" // key=value, the message as event=...
	JSON Format = "json"
)

// ParseLevel reads debug, info, warn or error.
func ParseLevel(s string) (slog.Level, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(s)); err != nil {
		return l, fmt.Errorf("logging: level %q: %w", s, err)
	}
	return l, nil
}

// New gives a logger that writes to w. Lines below level are left out; the
// same message more than most times in a second is counted, not written, and a
// line event=suppressed count=N of=MESSAGE comes before its next line in a
// later second (most 0 for no bound).
func New(w io.Writer, format Format, level slog.Leveler, most int) *slog.Logger {
	opts := &slog.HandlerOptions{Level: level, ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) == 0 && a.Key == slog.MessageKey && format == Text {
			a.Key = "event"
		}
		return a
	}}
	var h slog.Handler = slog.NewTextHandler(w, opts)
	if format == JSON {
		h = slog.NewJSONHandler(w, opts)
	}
	if most > 0 {
		h = &bounded{next: h, most: most, counts: &counts{seen: map[string]*count{}}}
	}
	return slog.New(h)
}

// bounded is a handler that lets a message through at most so often a second.
type bounded struct {
	next   slog.Handler
	most   int
	counts *counts // shared by the handlers that With makes
}

type counts struct {
	mu   sync.Mutex
	seen map[string]*count
}

type count struct {
	second     int64 // Unix seconds of the window
	n          int
	suppressed int
}

// most keys that are counted; more and the counts start anew, which lets some
// lines through that would have been held back.
const mostKeys = 4096

// Enabled implements slog.Handler.
func (b *bounded) Enabled(ctx context.Context, l slog.Level) bool { return b.next.Enabled(ctx, l) }

// Handle implements slog.Handler.
func (b *bounded) Handle(ctx context.Context, r slog.Record) error {
	key := r.Level.String() + " " + r.Message
	second := r.Time.Unix()
	b.counts.mu.Lock()
	c := b.counts.seen[key]
	if c == nil {
		if len(b.counts.seen) >= mostKeys {
			clear(b.counts.seen)
		}
		c = &count{second: second}
		b.counts.seen[key] = c
	}
	var report int
	if c.second != second {
		report, c.second, c.n, c.suppressed = c.suppressed, second, 0, 0
	}
	c.n++
	pass := c.n <= b.most
	if !pass {
		c.suppressed++
	}
	b.counts.mu.Unlock()
	if report > 0 {
		s := slog.NewRecord(r.Time, slog.LevelWarn, "suppressed", r.PC)
		s.AddAttrs(slog.Int("count", report), slog.String("of", r.Message),
			slog.String("within", time.Second.String()))
		if err := b.next.Handle(ctx, s); err != nil {
			return err
		}
	}
	if !pass {
		return nil
	}
	return b.next.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (b *bounded) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &bounded{next: b.next.WithAttrs(attrs), most: b.most, counts: b.counts}
}

// WithGroup implements slog.Handler.
func (b *bounded) WithGroup(name string) slog.Handler {
	return &bounded{next: b.next.WithGroup(name), most: b.most, counts: b.counts}
}

// Discard is a logger that writes nothing, for tests and tools.
func Discard() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }
