package golden

import (
	"bufio"
	"strings"
	"testing"
)

func TestTranscript_ShowsResultsAndErrors(t *testing.T) {
	got := string(Transcript([]string{"a\nb", "a", strings.Repeat("x", maxShown+1) + "\n"}, func(r *bufio.Reader) (any, error) {
		line, err := r.ReadString('\n')
		return len(line), err
	}))
	want := "\"a\\nb\"\n\tread: 2\n\tleft: 1\n\"a\"\n\terror: EOF\n\tleft: 0\n" +
		`"` + strings.Repeat("x", maxShown) + "\" and 2 bytes\n\tread: 82\n\tleft: 0\n"
	if got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
