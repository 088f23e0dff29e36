package control

import (
	"bufio"
	"strings"
	"testing"

	"quincerail.example/quincerail/internal/golden"
)

// TestRead_MatchesGoldenTranscript compares the results and errors for malformed and unusual
// commands with those of an earlier version.
func TestRead_MatchesGoldenTranscript(t *testing.T) {
	inputs := []string{
		"", "\n", "\r\n", "check", "check\n", "check\r\nmore", "  drain-on  \r\n", "\tx\ty\t\n", strings.Repeat("x", 256), strings.Repeat("x", 257),
		strings.Repeat("x", 256) + "\n", strings.Repeat("x", 257) + "\n", strings.Repeat("x", 9000) + "\n",
	}
	golden.Equal(t, "malformed", golden.Transcript(inputs, func(r *bufio.Reader) (any, error) {
		command, err := Read(r)
		return len(command), err
	}))
}
