package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines is how many lines are queued for a sink at most.
const maxQueuedLines = 2048

// Writer passes lines on to a sink in a goroutine of its own, so that a logger never blocks
// on a slow sink, or on a full pipe that nobody reads. Lines that don't fit in its queue are
// dropped and counted: a line event=log_lines_dropped count=N reports them once the sink
// accepts lines again. Its methods may be called from any goroutine.
type Writer struct {
	sink    io.Writer
	format  Format
	queue   chan queuedItem
	dropped atomic.Int64
}

// queuedItem is a line to write, or a request to report that those before it are written.
type queuedItem struct {
	line    []byte
	written chan<- struct{} // of a request; nil for a line
}

// NewWriter makes a writer of lines in a format. It works until the process ends.
func NewWriter(sink io.Writer, format Format) *Writer {
	w := &Writer{sink: sink, format: format, queue: make(chan queuedItem, maxQueuedLines)}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.queue <- queuedItem{line: append([]byte(nil), p...)}:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Flush waits until the lines written before are passed on, for at most a timeout. It
// reports whether they are.
func (w *Writer) Flush(timeout time.Duration) bool {
	written := make(chan struct{})
	expired := time.After(timeout)
	select {
	case w.queue <- queuedItem{written: written}:
	case <-expired:
		return false
	}
	select {
	case <-written:
		return true
	case <-expired:
		return false
	}
}

// run writes what is queued. It never returns.
func (w *Writer) run() {
	for item := range w.queue {
		if item.written != nil {
			close(item.written)
			continue
		}
		_, _ = w.sink.Write(item.line) // an error can't be reported anywhere
		if dropped := w.dropped.Swap(0); dropped > 0 {
			_, _ = io.WriteString(w.sink, w.droppedLine(dropped)) // likewise
		}
	}
}

// droppedLine returns the line that reports how many lines were dropped.
func (w *Writer) droppedLine(count int64) string {
	if w.format == JSON {
		return fmt.Sprintf(`{"level":"WARN","msg":"%s","count":%d}`+"\n", eventLinesDropped, count)
	}
	return fmt.Sprintf("level=WARN event=%s count=%d\n", eventLinesDropped, count)
}
