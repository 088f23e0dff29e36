package simwire

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	typicalFields   = 12 // number of fields of a message for which Parse allocates space
	maxQuotedLength = 60 // bytes of malformed input that an error quotes

	fieldSeparator  = " "
	fieldAssignment = "="
	gaugeSeparator  = ","
	gaugeAssignment = ":"

	// Descriptions of valid values, for the errors of malformed fields.
	wantWholeNumber  = "a whole number"
	wantNumber       = "a number"
	wantRequestID    = "a request id"
	wantBool         = "0 or 1"
	wantGauge        = "a gauge"
	wantKnownOutcome = "a known outcome"
)

// Message is a parsed line: a name and fields. Each accessor decodes a field. Err returns the
// error of the first field that was malformed, or was required and absent.
type Message struct {
	Name   string
	fields map[string]string
	err    error
}

// Parse parses one line without its line ending. Fields are decoded by the accessors.
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

// parseField parses the first field of line, and returns the rest of the line. The settings
// and the text of a log event extend to the end of the line.
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

// shorten truncates text that an error quotes.
func shorten(text string) string {
	if len(text) > maxQuotedLength {
		return text[:maxQuotedLength] + "..."
	}
	return text
}

// Err returns the first error of the accessors, or nil.
func (m *Message) Err() error { return m.err }

// setErr sets the error of a field, unless another field's error is set already.
func (m *Message) setErr(key, value, want string) {
	if m.err == nil {
		m.err = fmt.Errorf("%s: %s=%q is not %s", m.Name, key, shorten(value), want)
	}
}

// id decodes the ID of a request, which is required.
func (m *Message) id(key string) string {
	id := m.fields[key]
	if id == "" {
		m.setErr(key, id, wantRequestID)
	}
	return id
}

// int decodes a whole number, 0 if absent.
func (m *Message) int(key string) int64 {
	text, ok := m.fields[key]
	if !ok {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		m.setErr(key, text, wantWholeNumber)
	}
	return n
}

// requiredInt decodes a whole number, which is required.
func (m *Message) requiredInt(key string) int64 {
	if _, ok := m.fields[key]; !ok {
		m.setErr(key, "", wantWholeNumber)
	}
	return m.int(key)
}

// float decodes a number, 0 if absent.
func (m *Message) float(key string) float64 {
	text, ok := m.fields[key]
	if !ok {
		return 0
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		m.setErr(key, text, wantNumber)
	}
	return x
}

// bool decodes "0" or "1", false if absent.
func (m *Message) bool(key string) bool {
	switch text := m.fields[key]; text {
	case "", "0":
		return false
	case "1":
		return true
	default:
		m.setErr(key, text, wantBool)
		return false
	}
}

// time decodes a time in microseconds, 0 if absent.
func (m *Message) time(key string) time.Duration { return microseconds(m.int(key)) }

// microseconds converts a time of the wire.
func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
