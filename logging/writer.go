package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// queuedLines is how many lines wait for a sink at most.
const queuedLines = 2048

// Writer passes lines on to a sink from a goroutine of its own, so that whoever logs never
// waits for one that is slow or stands still, as a full pipe does that nobody reads. Lines
// for which there is no room are dropped, and counted: a line event=log_lines_dropped
// count=N tells of them once the sink takes lines again.
type Writer struct {
	sink    io.Writer
	format  Format
	lines   chan line
	dropped atomic.Int64
}

// line is one to write, or a request to be told that those before it are written.
type line struct {
	text    []byte
	written chan<- struct{}
}

// NewWriter makes a writer of lines in a format. It works until the process ends.
func NewWriter(sink io.Writer, format Format) *Writer {
	w := &Writer{sink: sink, format: format, lines: make(chan line, queuedLines)}
	go w.run()
	return w
}

// Write implements io.Writer. It never waits and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- line{text: append([]byte(nil), p...)}:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Flush waits until what was written before is passed on, for a bounded time. It reports
// whether it is.
func (w *Writer) Flush(within time.Duration) bool {
	written := make(chan struct{})
	timeout := time.After(within)
	select {
	case w.lines <- line{written: written}:
	case <-timeout:
		return false
	}
	select {
	case <-written:
		return true
	case <-timeout:
		return false
	}
}

func (w *Writer) run() {
	for l := range w.lines {
		if l.written != nil {
			close(l.written)
			continue
		}
		_, _ = w.sink.Write(l.text) // there is nobody to tell
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = io.WriteString(w.sink, w.droppedLine(n)) // likewise
		}
	}
}

func (w *Writer) droppedLine(n int64) string {
	if w.format == JSON {
		return fmt.Sprintf(`{"level":"WARN","msg":"log_lines_dropped","count":%d}`+"\n", n)
	}
	return fmt.Sprintf("level=WARN event=log_lines_dropped count=%d\n", n)
}
