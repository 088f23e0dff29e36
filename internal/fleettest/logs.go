package fleettest

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

// Line is one line of a process's log, which consists of key=value fields.
type Line struct {
	Child  string            // name of the member
	Event  string            // the field event
	Fields map[string]string // values without their quotes
	At     time.Time         // when it was read
	Text   string            // the whole line
}

// field matches one key=value field; a quoted value may contain spaces.
var field = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)

// recordLine parses a line of a member's log, appends it to the lines and wakes the waiters.
func (f *Fleet) recordLine(child, text string) {
	l := Line{Child: child, Fields: map[string]string{}, At: time.Now(), Text: text}
	for _, m := range field.FindAllStringSubmatch(text, -1) {
		l.Fields[m[1]] = strings.Trim(m[2], `"`)
	}
	l.Event = l.Fields["event"]
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lines = append(f.lines, l)
	close(f.changed)
	f.changed = make(chan struct{})
}

// Lines returns the lines of all logs so far, in the order in which they were read. After
// the exit of a process its log has an additional line with the event exited.
func (f *Fleet) Lines() []Line {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lines[:len(f.lines):len(f.lines)]
}

// Log returns the text of one member's log, over all its processes.
func (f *Fleet) Log(name string) string {
	var b strings.Builder
	for _, l := range f.Lines() {
		if l.Child == name {
			fmt.Fprintln(&b, l.Text)
		}
	}
	return b.String()
}

// Await returns the first of Lines, starting at index from, for which is(line) is true. If there
// is none yet, it waits for one. After Options.Within it returns an error that contains what, a
// description of the line.
func (f *Fleet) Await(what string, from int, is func(Line) bool) (Line, error) {
	deadline := time.After(f.opt.Within)
	for {
		f.mu.Lock()
		lines, changed := f.lines, f.changed
		f.mu.Unlock()
		for ; from < len(lines); from++ {
			if is(lines[from]) {
				return lines[from], nil
			}
		}
		select {
		case <-changed:
		case <-deadline:
			return Line{}, fmt.Errorf("fleettest: timed out after %v waiting for %s", f.opt.Within, what)
		}
	}
}

// AwaitWrite is like Await for the writes that the registry received, starting at index from
// of Registry.Writes.
func (f *Fleet) AwaitWrite(what string, from int, is func(fakes.FencedWrite) bool) (fakes.FencedWrite, error) {
	deadline := time.After(f.opt.Within)
	for {
		writes, changed := f.Registry.Writes()
		for ; from < len(writes); from++ {
			if is(writes[from]) {
				return writes[from], nil
			}
		}
		select {
		case <-changed:
		case <-deadline:
			return fakes.FencedWrite{}, fmt.Errorf("fleettest: timed out after %v waiting for %s", f.opt.Within, what)
		}
	}
}
