package logging

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestWriter_BlockedSinkDoesNotBlockWrite checks that Write returns while the sink blocks.
// Once the sink accepts lines again, the queued lines and the number of dropped lines must
// be written.
func TestWriter_BlockedSinkDoesNotBlockWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, sink := io.Pipe()
		w := NewWriter(sink, Text)
		const excess = 5
		for range 1 + maxQueuedLines + excess { // the goroutine has taken one line out of the queue
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
		}
		if w.Flush(time.Second) {
			t.Error("Flush returned true while the sink was blocked")
		}
		got := make(chan string)
		go func() {
			text, _ := io.ReadAll(reader)
			got <- string(text)
		}()
		if !w.Flush(time.Second) {
			t.Error("Flush returned false after the sink was unblocked")
		}
		_ = sink.Close() // closing a pipe never fails
		text := <-got
		if n := strings.Count(text, "line\n"); n != 1+maxQueuedLines {
			t.Errorf("sink received %d lines, want %d", n, 1+maxQueuedLines)
		}
		if !strings.Contains(text, "event=log_lines_dropped count=5\n") {
			t.Errorf("dropped lines are not reported at the end of the output: %q", text[len(text)-100:])
		}
		close(w.queue)
	})
}
