package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines is the capacity of a Writer's queue.
const maxQueuedLines = 2048

// Writer writes lines to a sink from its own goroutine, so that a logger never blocks on a
// slow sink or on a full pipe without a reader. If its queue is full, it drops and counts
// lines. Once the sink accepts lines again, a line event=log_lines_dropped count=N reports
// them. Its methods are safe for concurrent use.
type Writer struct {
	sink    io.Writer
	format  Format
	queue   chan queuedItem
	dropped atomic.Int64
}

// queuedItem is a line to write, or a request of Flush to be notified when the lines before
// it are written.
type queuedItem struct {
	line    []byte
	written chan<- struct{} // closed for a request of Flush; nil for a line
}

// NewWriter starts a Writer, which runs until the process ends. format is the format of the
// line that reports dropped lines.
func NewWriter(sink io.Writer, format Format) *Writer {
	w := &Writer{sink: sink, format: format, queue: make(chan queuedItem, maxQueuedLines)}
	go w.run()
	return w
}

// Write implements io.Writer. It queues p as one line. It never blocks and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.queue <- queuedItem{line: append([]byte(nil), p...)}:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Flush waits until all lines written before the call are passed to the sink, for at most
// timeout. It reports whether they were.
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

// run writes the queued lines to the sink. It returns only if the queue is closed, which
// only tests do.
func (w *Writer) run() {
	for item := range w.queue {
		if item.written != nil {
			close(item.written)
			continue
		}
		_, _ = w.sink.Write(item.line) // there is no other place to report an error
		if dropped := w.dropped.Swap(0); dropped > 0 {
			_, _ = io.WriteString(w.sink, w.droppedLine(dropped)) // as above
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
