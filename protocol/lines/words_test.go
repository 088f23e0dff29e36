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

// TestWordParser reads words that have a value and words that have none, which give zero.
func TestWordParser(t *testing.T) {
	for _, x := range []struct {
		name  string
		read  func(*lines.WordParser) any
		want  any
		valid bool
	}{
		{"uint", func(p *lines.WordParser) any { return p.Uint("9223372036854775807") }, uint64(1<<63 - 1), true},
		{"uint of 64 bits", func(p *lines.WordParser) any { return p.Uint("9223372036854775808") }, uint64(0), false},
		{"negative uint", func(p *lines.WordParser) any { return p.Uint("-1") }, uint64(0), false},
		{"hex uint", func(p *lines.WordParser) any { return p.HexUint("ffffffffffffffff") }, uint64(1<<64 - 1), true},
		{"no hex uint", func(p *lines.WordParser) any { return p.HexUint("g") }, uint64(0), false},
		{"hex string", func(p *lines.WordParser) any { return p.HexString("6b00") }, "k\x00", true},
		{"half a hex string", func(p *lines.WordParser) any { return p.HexString("6b0") }, "", false},
		{"float", func(p *lines.WordParser) any { return p.Float("-0.5") }, -0.5, true},
		{"float out of range", func(p *lines.WordParser) any { return p.Float("1e400") }, 0.0, false},
		{"milliseconds", func(p *lines.WordParser) any { return p.Milliseconds("0.5") }, 500 * time.Microsecond, true},
		{"negative milliseconds", func(p *lines.WordParser) any { return p.Milliseconds("-1") }, time.Duration(0), false},
		{"too many milliseconds", func(p *lines.WordParser) any { return p.Milliseconds("1e12") }, time.Duration(0), false},
		{"milliseconds that are no number", func(p *lines.WordParser) any { return p.Milliseconds("NaN") }, time.Duration(0), false},
		{"bool", func(p *lines.WordParser) any { return p.Bool("true") }, true, true},
		{"no bool", func(p *lines.WordParser) any { return p.Bool("maybe") }, false, false},
		{"time", func(p *lines.WordParser) any { return p.UnixNano("1000000000") }, time.Unix(1, 0), true},
		{"no time", func(p *lines.WordParser) any { return p.UnixNano("now") }, time.Time{}, false},
	} {
		var p lines.WordParser
		if got := x.read(&p); got != x.want || p.Failed == x.valid {
			t.Errorf("%s: %v, failed %t, want %v, valid %t", x.name, got, p.Failed, x.want, x.valid)
		}
	}
}

// TestReadLine reads lines within and beyond the limit, and at the end of the input.
func TestReadLine(t *testing.T) {
	const limit = 7 // with the line's end
	r := bufio.NewReader(strings.NewReader("short\r\ntoo long\nhalf"))
	for _, want := range []struct {
		line string
		err  error
	}{{"short", nil}, {"", lines.ErrLineTooLong}, {"half", io.ErrUnexpectedEOF}, {"", io.EOF}} {
		if got, err := lines.ReadLine(r, limit); got != want.line || !errors.Is(err, want.err) {
			t.Errorf("read %q, %v, want %q, %v", got, err, want.line, want.err)
		}
	}
}

// TestParseStatusLine parses the first lines of responses.
func TestParseStatusLine(t *testing.T) {
	for line, want := range map[string]int{
		"HTTP/1.1 204 No Content": 204, "HTTP/1.0 200": 200, "HTTP/1.1 599 x": 599,
		"HTTP/1.1 199 Low": 0, "HTTP/1.1 600 High": 0, "HTTP/2 200 OK": 0, "HTTP/1.1 2x0 OK": 0, "": 0,
	} {
		if status, ok := lines.ParseStatusLine(line, 200); ok != (want != 0) || ok && status != want {
			t.Errorf("%q: %d, %t, want %d", line, status, ok, want)
		}
	}
}
