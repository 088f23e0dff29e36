package logging

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// maxCountedMessages limits the number of counters. When it is reached, all counts are
// reset, so a few lines that should be suppressed are written.
const maxCountedMessages = 4096

// rateLimiter is a handler that passes each message to the next handler at most
// maxPerSecond times a second. Its windows are whole seconds of Unix time.
type rateLimiter struct {
	next         slog.Handler
	maxPerSecond int
	counters     *counters // shared with the handlers that WithAttrs and WithGroup return
}

// counters counts log lines by level and message.
type counters struct {
	mu        sync.Mutex
	byMessage map[string]*counter
}

// counter counts the lines of one level and message in its latest window.
type counter struct {
	second     int64 // Unix time at which the window starts
	lines      int
	suppressed int
}

func newRateLimiter(next slog.Handler, maxPerSecond int) *rateLimiter {
	return &rateLimiter{next: next, maxPerSecond: maxPerSecond, counters: &counters{byMessage: map[string]*counter{}}}
}

// Enabled implements slog.Handler.
func (l *rateLimiter) Enabled(ctx context.Context, level slog.Level) bool {
	return l.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (l *rateLimiter) Handle(ctx context.Context, r slog.Record) error {
	allowed, suppressed := l.counters.count(r, l.maxPerSecond)
	if suppressed > 0 {
		if err := l.next.Handle(ctx, suppressedRecord(r, suppressed)); err != nil {
			return err
		}
	}
	if !allowed {
		return nil
	}
	return l.next.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (l *rateLimiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimiter{next: l.next.WithAttrs(attrs), maxPerSecond: l.maxPerSecond, counters: l.counters}
}

// WithGroup implements slog.Handler.
func (l *rateLimiter) WithGroup(name string) slog.Handler {
	return &rateLimiter{next: l.next.WithGroup(name), maxPerSecond: l.maxPerSecond, counters: l.counters}
}

// count counts a record and reports whether it may be written. If the record is the first
// in a new window, count also returns how many lines were suppressed in the message's
// previous window.
func (c *counters) count(r slog.Record, maxPerSecond int) (allowed bool, suppressed int) {
	key, second := r.Level.String()+" "+r.Message, r.Time.Unix()
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.byMessage[key]
	if n == nil {
		if len(c.byMessage) >= maxCountedMessages {
			clear(c.byMessage)
		}
		n = &counter{second: second}
		c.byMessage[key] = n
	}
	if n.second != second {
		suppressed = n.suppressed
		*n = counter{second: second}
	}
	n.lines++
	if n.lines > maxPerSecond {
		n.suppressed++
		return false, suppressed
	}
	return true, suppressed
}

// suppressedRecord returns a record that reports how many lines with r's message were
// suppressed.
func suppressedRecord(r slog.Record, count int) slog.Record {
	report := slog.NewRecord(r.Time, slog.LevelWarn, eventSuppressed, r.PC)
	report.AddAttrs(slog.Int("count", count), slog.String("of", r.Message), slog.String("within", time.Second.String()))
	return report
}
