package fleettest

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

// Line is one line of a child's log.
type Line struct {
	Child  string
	Event  string
	Fields map[string]string
	At     time.Time // when it was read
	Text   string
}

var field = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)

func (f *Fleet) take(child, text string) {
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

// Lines gives all lines of the logs so far, in the order in which they were read.
func (f *Fleet) Lines() []Line {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lines[:len(f.lines):len(f.lines)]
}

// Log gives the text of one child's log.
func (f *Fleet) Log(name string) string {
	var b strings.Builder
	for _, l := range f.Lines() {
		if l.Child == name {
			fmt.Fprintln(&b, l.Text)
		}
	}
	return b.String()
}

// Await waits for a line from a place of Lines on, and gives it. The error
// names what was waited for, when that takes too long.
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
			return Line{}, fmt.Errorf("fleettest: %s did not come within %v", what, f.opt.Within)
		}
	}
}

// AwaitAct waits for a piece of fleet work that the registry was handed, from a
// place of its Acts on.
func (f *Fleet) AwaitAct(what string, from int, is func(fakes.FencedWrite) bool) (fakes.FencedWrite, error) {
	deadline := time.After(f.opt.Within)
	for {
		acts, changed := f.Registry.Writes()
		for ; from < len(acts); from++ {
			if is(acts[from]) {
				return acts[from], nil
			}
		}
		select {
		case <-changed:
		case <-deadline:
			return fakes.FencedWrite{}, fmt.Errorf("fleettest: %s did not come within %v", what, f.opt.Within)
		}
	}
}
