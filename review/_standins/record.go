package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line an event, with the time in seconds
// since the start of the script.
type record struct {
	mu    sync.Mutex
	file  *os.File
	lines *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, lines: bufio.NewWriterSize(file, 1<<20), start: time.Now()}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.start).Seconds()
	fmt.Fprintf(r.lines, "%9.4f %s\n", at, strings.TrimRight(fmt.Sprintf(format, args...), "\n"))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.lines.Flush()
	_ = r.file.Close()
}
