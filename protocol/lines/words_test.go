package lines_test

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/protocol/lines"
)

// TestWordParser_ParsesEachType checks that valid words give their value, and that invalid
// words give the zero value and set Failed.
func TestWordParser_ParsesEachType(t *testing.T) {
	for _, tc := range []struct {
		name  string
		parse func(*lines.WordParser) any
		want  any
		valid bool
	}{
		{"uint", func(p *lines.WordParser) any { return p.Uint("9223372036854775807") }, uint64(1<<63 - 1), true},
		{"uint of 64 bits", func(p *lines.WordParser) any { return p.Uint("9223372036854775808") }, uint64(0), false},
		{"negative uint", func(p *lines.WordParser) any { return p.Uint("-1") }, uint64(0), false},
		{"hex uint", func(p *lines.WordParser) any { return p.HexUint("ffffffffffffffff") }, uint64(1<<64 - 1), true},
		{"hex uint with an invalid digit", func(p *lines.WordParser) any { return p.HexUint("g") }, uint64(0), false},
		{"hex string", func(p *lines.WordParser) any { return p.HexString("6b00") }, "k\x00", true},
		{"hex string with an odd number of digits", func(p *lines.WordParser) any { return p.HexString("6b0") }, "", false},
		{"float", func(p *lines.WordParser) any { return p.Float("-0.5") }, -0.5, true},
		{"float out of range", func(p *lines.WordParser) any { return p.Float("1e400") }, 0.0, false},
		{"milliseconds", func(p *lines.WordParser) any { return p.Milliseconds("0.5") }, 500 * time.Microsecond, true},
		{"negative milliseconds", func(p *lines.WordParser) any { return p.Milliseconds("-1") }, time.Duration(0), false},
		{"milliseconds over the maximum", func(p *lines.WordParser) any { return p.Milliseconds("1e12") }, time.Duration(0), false},
		{"milliseconds are NaN", func(p *lines.WordParser) any { return p.Milliseconds("NaN") }, time.Duration(0), false},
		{"bool", func(p *lines.WordParser) any { return p.Bool("true") }, true, true},
		{"invalid bool", func(p *lines.WordParser) any { return p.Bool("maybe") }, false, false},
		{"time", func(p *lines.WordParser) any { return p.UnixNano("1000000000") }, time.Unix(1, 0), true},
		{"time is not a number", func(p *lines.WordParser) any { return p.UnixNano("now") }, time.Time{}, false},
	} {
		var p lines.WordParser
		if got := tc.parse(&p); got != tc.want || p.Failed == tc.valid {
			t.Errorf("%s: got %v with Failed = %t, want %v with Failed = %t", tc.name, got, p.Failed, tc.want, !tc.valid)
		}
	}
}

// TestReadLine_ChecksLimitAndEnd reads a line within the limit, one over the limit, one that
// the input ends in, and the end of the input.
func TestReadLine_ChecksLimitAndEnd(t *testing.T) {
	const limit = 7 // including the line end
	r := bufio.NewReader(strings.NewReader("short\r\ntoo long\nhalf"))
	for _, want := range []struct {
		line string
		err  error
	}{{"short", nil}, {"", lines.ErrLineTooLong}, {"half", io.ErrUnexpectedEOF}, {"", io.EOF}} {
		if got, err := lines.ReadLine(r, limit); got != want.line || !errors.Is(err, want.err) {
			t.Errorf("ReadLine = %q, %v, want %q, %v", got, err, want.line, want.err)
		}
	}
}

// TestParseStatusLine_ChecksVersionAndRange checks that lines of another version or with a
// status code out of range are not status lines; 0 is the expected status of those.
func TestParseStatusLine_ChecksVersionAndRange(t *testing.T) {
	for line, want := range map[string]int{
		"HTTP/1.1 204 No Content": 204, "HTTP/1.0 200": 200, "HTTP/1.1 599 x": 599,
		"HTTP/1.1 199 Low": 0, "HTTP/1.1 600 High": 0, "HTTP/2 200 OK": 0, "HTTP/1.1 2x0 OK": 0, "": 0,
	} {
		if status, ok := lines.ParseStatusLine(line, 200); ok != (want != 0) || ok && status != want {
			t.Errorf("ParseStatusLine(%q, 200) = %d, %t, want %d, %t", line, status, ok, want, want != 0)
		}
	}
}
