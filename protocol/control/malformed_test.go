package control

import (
	"bufio"
	"strings"
	"testing"

	"quincerail.example/quincerail/internal/golden"
)

// TestMalformed compares what becomes of calls with what the version before made of them.
func TestMalformed(t *testing.T) {
	inputs := []string{
		"", "\n", "\r\n", "check", "check\n", "check\r\nmore", "  drain-on  \r\n", "\tx\ty\t\n", strings.Repeat("x", 256), strings.Repeat("x", 257),
		strings.Repeat("x", 256) + "\n", strings.Repeat("x", 257) + "\n", strings.Repeat("x", 9000) + "\n",
	}
	golden.Equal(t, "malformed", golden.Transcript(inputs, func(r *bufio.Reader) (any, error) {
		call, err := Read(r)
		return len(call), err
	}))
}
