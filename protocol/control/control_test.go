package control

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestRead_WaitsForWholeLine checks that commands that arrive byte by byte are read whole,
// and that an incomplete or overlong line is an error.
func TestRead_WaitsForWholeLine(t *testing.T) {
	for _, tc := range []struct {
		text, want string
		err        error
	}{
		{"check\r\n", "check", nil},
		{"drain-on\nmore", "drain-on", nil},
		{"drain-on", "", io.EOF},
		{strings.Repeat("x", maxLine+2), "", ErrMalformed},
	} {
		r := bufio.NewReader(iotest.OneByteReader(strings.NewReader(tc.text)))
		if got, err := Read(r); got != tc.want || !errors.Is(err, tc.err) {
			t.Errorf("Read(%.20q) = %q, %v, want %q, %v", tc.text, got, err, tc.want, tc.err)
		}
	}
}

func TestAppendAnswer_WritesErrorOnOneLine(t *testing.T) {
	const want = "done\r\nerror two lines\r\n"
	if got := string(AppendAnswer(AppendAnswer(nil, nil), errors.New("two\nlines"))); got != want {
		t.Errorf("AppendAnswer without and with an error = %q, want %q", got, want)
	}
}
