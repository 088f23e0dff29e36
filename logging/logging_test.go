package logging

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// TestRateLimit_ReportsSuppressedLines logs a message 25 times in a second with a limit of
// 10. The logger must write 10 lines, and report the other 15 before the next line with the
// message in a later second.
func TestRateLimit_ReportsSuppressedLines(t *testing.T) {
	var out bytes.Buffer
	level := new(slog.LevelVar)
	logger := New(&out, Text, level, 10)
	at := time.Unix(1_800_000_000, 0)
	write := func(when time.Time, msg string) {
		r := slog.NewRecord(when, slog.LevelWarn, msg, 0)
		r.AddAttrs(slog.String("key", "k1"))
		if err := logger.Handler().Handle(context.Background(), r); err != nil {
			t.Fatal(err)
		}
	}
	for range 25 {
		write(at, "journal_failed")
	}
	write(at, "other")
	write(at.Add(time.Second), "journal_failed")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 13 || !strings.Contains(lines[11], "event=suppressed count=15 of=journal_failed") ||
		!strings.Contains(lines[0], "level=WARN event=journal_failed key=k1") {
		t.Errorf("got %d lines, want 13, with the suppressed lines reported in line 12:\n%s", len(lines), out.String())
	}
	out.Reset()
	level.Set(slog.LevelError)
	logger.Warn("quiet")
	if out.Len() != 0 {
		t.Errorf("a line below the level was written: %q", out.String())
	}
}

// TestRateLimit_DerivedHandlersShareCounts checks that the limit applies to a message across
// a handler and the handlers derived from it with WithAttrs and WithGroup.
func TestRateLimit_DerivedHandlersShareCounts(t *testing.T) {
	var out bytes.Buffer
	logger := New(&out, Text, slog.LevelInfo, 1)
	at := time.Unix(1_800_000_000, 0)
	for _, handler := range []slog.Handler{
		logger.Handler(),
		logger.Handler().WithAttrs([]slog.Attr{slog.String("part", "a")}),
		logger.Handler().WithGroup("group"),
	} {
		if err := handler.Handle(t.Context(), slog.NewRecord(at, slog.LevelInfo, "drain", 0)); err != nil {
			t.Fatal(err)
		}
	}
	if n := strings.Count(out.String(), "event=drain"); n != 1 {
		t.Errorf("got %d lines, want 1:\n%s", n, out.String())
	}
}

func TestNew_JSONFormat(t *testing.T) {
	var out bytes.Buffer
	New(&out, JSON, slog.LevelInfo, 0).Info("drain", "stop_in", "3s")
	if !strings.Contains(out.String(), `"msg":"drain","stop_in":"3s"`) {
		t.Errorf("New with JSON wrote %s, want msg and stop_in as fields", out.String())
	}
	if _, err := ParseLevel("loud"); err == nil {
		t.Error("ParseLevel(\"loud\") returned no error")
	}
}
