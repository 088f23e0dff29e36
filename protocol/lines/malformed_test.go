package lines_test

import (
	"bufio"
	"strings"
	"testing"

	"quincerail.example/quincerail/internal/golden"
	"quincerail.example/quincerail/protocol/lines"
)

// TestRead_MatchesGoldenTranscript compares the results and errors for malformed and unusual
// lines with those of an earlier version.
func TestRead_MatchesGoldenTranscript(t *testing.T) {
	inputs := []string{
		"", "\n", "\r\n", " \r\n", "used", "used t\n", "used t\r", "used  t \r\nmore", "\r\nused t\r\n",
		"ask\r\n", "ask 1 x\r\n", "ask 1 x -4\r\n", "ask 1 x +4\r\nabcd\r\n", "ask 1 x 0\r\n\r\nmore", "ask 1 x 4\r\nab",
		"ask 1 x 4\r\nabcd", "ask 1 x 4\r\nabcd\n\r", "ask 1 x 2\r\nabcd\r\n", "ask 1 x 8193\r\n", "ask 1 x 2000000000\r\n",
		"ask 1 x 8192\r\n" + strings.Repeat("b", 8192) + "\r\n", "ask 1 x 3000000000\r\n", "ask 1 x 1e1\r\n",
		strings.Repeat("x", 1024), strings.Repeat("x", 1025), strings.Repeat("x", 1022) + "\r\n", strings.Repeat("x ", 2000) + "\r\n",
	}
	golden.Equal(t, "malformed", golden.Transcript(inputs, func(r *bufio.Reader) (any, error) {
		words, body, err := lines.Read(r, hasBody)
		return []any{len(words), len(body), body != nil}, err
	}))
}
