package simwire

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	typicalFields    = 12 // of a message
	maxQuotedLength  = 60 // bytes of a malformed input that an error shows
	fieldSeparator   = " "
	fieldAssignment  = "="
	gaugeSeparator   = ","
	gaugeAssignment  = ":"
	wantWholeNumber  = "a whole number"
	wantNumber       = "a number"
	wantRequestID    = "a request id"
	wantBool         = "0 or 1"
	wantGauge        = "a gauge"
	wantKnownOutcome = "a known outcome"
)

// Message is one line: a name and its fields. Its accessors note the first field that is
// malformed, which Err returns.
type Message struct {
	Name   string
	fields map[string]string
	err    error
}

// Parse reads one line.
func Parse(line string) (*Message, error) {
	name, rest, _ := strings.Cut(line, fieldSeparator)
	if name == "" {
		return nil, fmt.Errorf("a line without a name: %q", shorten(line))
	}
	if strings.Contains(name, fieldAssignment) {
		return nil, fmt.Errorf("a line that starts with a field: %q", shorten(line))
	}
	m := &Message{Name: name, fields: make(map[string]string, typicalFields)}
	for rest != "" {
		var err error
		if rest, err = m.parseField(rest); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// parseField reads the first field of what is left of a line, and returns the rest.
func (m *Message) parseField(line string) (rest string, err error) {
	for _, name := range []string{fieldSettings, fieldText} {
		if value, ok := strings.CutPrefix(line, name+fieldAssignment); ok {
			m.fields[name] = value
			return "", nil
		}
	}
	field, rest, _ := strings.Cut(line, fieldSeparator)
	name, value, ok := strings.Cut(field, fieldAssignment)
	if !ok || name == "" {
		return "", fmt.Errorf("%s: no name=value pair: %q", m.Name, shorten(field))
	}
	m.fields[name] = value
	return rest, nil
}

// shorten cuts a text that an error shows.
func shorten(text string) string {
	if len(text) > maxQuotedLength {
		return text[:maxQuotedLength] + "..."
	}
	return text
}

// Err is the first error met by the accessors.
func (m *Message) Err() error { return m.err }

func (m *Message) fail(key, value, want string) {
	if m.err == nil {
		m.err = fmt.Errorf("%s: %s=%q is not %s", m.Name, key, shorten(value), want)
	}
}

// id returns the id of a request, which must be given.
func (m *Message) id(key string) string {
	id := m.fields[key]
	if id == "" {
		m.fail(key, id, wantRequestID)
	}
	return id
}

// int returns a whole number, 0 when absent.
func (m *Message) int(key string) int64 {
	text, ok := m.fields[key]
	if !ok {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		m.fail(key, text, wantWholeNumber)
	}
	return n
}

// requiredInt returns a whole number, which must be given.
func (m *Message) requiredInt(key string) int64 {
	if _, ok := m.fields[key]; !ok {
		m.fail(key, "", wantWholeNumber)
	}
	return m.int(key)
}

// float returns a number, 0 when absent.
func (m *Message) float(key string) float64 {
	text, ok := m.fields[key]
	if !ok {
		return 0
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		m.fail(key, text, wantNumber)
	}
	return x
}

// bool returns a truth value, false when absent.
func (m *Message) bool(key string) bool {
	switch text := m.fields[key]; text {
	case "", "0":
		return false
	case "1":
		return true
	default:
		m.fail(key, text, wantBool)
		return false
	}
}

// time returns a time, given in microseconds, 0 when absent.
func (m *Message) time(key string) time.Duration { return microseconds(m.int(key)) }

// microseconds returns a time of the wire.
func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
