package logging

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// maxCountedMessages bounds the messages that are counted. Beyond it the counts start
// anew, which lets some lines through that would have been suppressed.
const maxCountedMessages = 4096

// rateLimiter is a handler that passes each message on at most maxPerSecond times a
// second, in windows of whole seconds of Unix time.
type rateLimiter struct {
	next         slog.Handler
	maxPerSecond int
	counters     *counters // shared by the handlers that WithAttrs and WithGroup make
}

// counters counts messages by level and text.
type counters struct {
	mu        sync.Mutex
	byMessage map[string]*counter
}

// counter counts one message in its latest window.
type counter struct {
	second     int64 // Unix time of the window
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

// count counts a record's message. It returns whether the record is allowed, and how many
// were suppressed in the window before if this one is the first of a new window.
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

// suppressedRecord reports how often a record's message was suppressed.
func suppressedRecord(r slog.Record, count int) slog.Record {
	report := slog.NewRecord(r.Time, slog.LevelWarn, eventSuppressed, r.PC)
	report.AddAttrs(slog.Int("count", count), slog.String("of", r.Message), slog.String("within", time.Second.String()))
	return report
}
