package logging

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestWriterNeverBlocks: a blocked sink does not block a logger. What there was
// room for is written once it accepts lines again, and then how many lines were dropped.
func TestWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, sink := io.Pipe()
		w := NewWriter(sink, Text)
		const excess = 5
		for range 1 + maxQueuedLines + excess { // one is being written
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
		}
		if w.Flush(time.Second) {
			t.Error("flushed into a blocked sink")
		}
		got := make(chan string)
		go func() {
			text, _ := io.ReadAll(reader)
			got <- string(text)
		}()
		if !w.Flush(time.Second) {
			t.Error("not flushed though the sink accepts lines again")
		}
		_ = sink.Close() // closing a pipe never fails
		text := <-got
		if n := strings.Count(text, "line\n"); n != 1+maxQueuedLines {
			t.Errorf("%d lines were written, want %d", n, 1+maxQueuedLines)
		}
		if !strings.Contains(text, "event=log_lines_dropped count=5\n") {
			t.Errorf("the dropped lines are not reported: %q", text[len(text)-100:])
		}
		close(w.queue)
	})
}
