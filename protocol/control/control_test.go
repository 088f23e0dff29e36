package control

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestRead takes calls in pieces of any size, and none whose line has not ended.
func TestRead(t *testing.T) {
	for _, x := range []struct {
		text, want string
		err        error
	}{
		{"check\r\n", "check", nil},
		{"drain-on\nmore", "drain-on", nil},
		{"drain-on", "", io.EOF},
		{strings.Repeat("x", maxLine+2), "", ErrMalformed},
	} {
		r := bufio.NewReader(iotest.OneByteReader(strings.NewReader(x.text)))
		if got, err := Read(r); got != x.want || !errors.Is(err, x.err) {
			t.Errorf("%.20q: %q, %v, want %q, %v", x.text, got, err, x.want, x.err)
		}
	}
}

func TestAppendAnswer(t *testing.T) {
	if got := string(AppendAnswer(AppendAnswer(nil, nil), errors.New("two\nlines"))); got != "done\r\nerror two lines\r\n" {
		t.Errorf("%q", got)
	}
}
