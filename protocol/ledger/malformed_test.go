package ledger

import (
	"bufio"
	"testing"

	"quincerail.example/quincerail/internal/golden"
)

// TestRead_MatchesGoldenTranscript compares the results and errors for malformed and unusual
// replies with those of an earlier version.
func TestRead_MatchesGoldenTranscript(t *testing.T) {
	inputs := []string{
		"", "a\r\n", "a paid\r\n", "a posted\r\n", "a posted x\r\n", "a posted 2\r\nok", "a posted 2\r\nokay\r\n", "a posted 0\r\n\r\n",
		"a posted 2 3\r\n", "a posted 9000\r\n", "a queue_full\r\n", "a queue_full 2\r\n", "a error 2\r\nok\r\n", "a expired\r\n", "a moot\r\n",
		"posted a 2\r\n", "a POSTED 2\r\nok\r\n", "a moot\n",
	}
	golden.Equal(t, "malformed", golden.Transcript(inputs, func(r *bufio.Reader) (any, error) {
		reply, err := Read(r)
		return reply, err
	}))
}
