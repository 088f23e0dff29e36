package logging

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestWriterNeverWaits: a sink that stands still holds up nobody who logs. What there was
// room for is written once it goes on, and then how many lines were dropped.
func TestWriterNeverWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, sink := io.Pipe()
		w := NewWriter(sink, Text)
		const excess = 5
		for range 1 + queuedLines + excess { // one is in the sink's hands
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
		}
		if w.Flush(time.Second) {
			t.Error("it has flushed into a sink that stands still")
		}
		got := make(chan string)
		go func() {
			text, _ := io.ReadAll(reader)
			got <- string(text)
		}()
		if !w.Flush(time.Second) {
			t.Error("it has not flushed though the sink goes on")
		}
		_ = sink.Close() // a pipe's end never fails to close
		text := <-got
		if n := strings.Count(text, "line\n"); n != 1+queuedLines {
			t.Errorf("%d lines were written, want %d", n, 1+queuedLines)
		}
		if !strings.Contains(text, "event=log_lines_dropped count=5\n") {
			t.Errorf("no word of what was dropped: %q", text[len(text)-100:])
		}
		close(w.lines)
	})
}
