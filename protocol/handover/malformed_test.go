package handover

import (
	"bufio"
	"testing"

	"quincerail.example/quincerail/internal/golden"
)

// TestRead_MatchesGoldenTranscript compares the results and errors for malformed and unusual
// messages with those of an earlier version.
func TestRead_MatchesGoldenTranscript(t *testing.T) {
	inputs := []string{
		"", "sing\r\n", "key\r\n", "key 6b 63 0 - 1 true\r\n", "key 6b 63 0 - 1 maybe\r\n", "key 6b 63 0 - x true\r\n", "key 6 63 0 - 1 true\r\n",
		"key 6b zz 0 - 1 true\r\n", "key 6b 63 g - 1 true\r\n", "key 6b 63 0 - 1\r\n", "key 6b 63 0 r 1 true 2\r\nab\r\n", "key 6b 63 0 r 1 true x\r\n",
		"key 6b 63 0 r 1 true 2\r\nabc\r\n", "key 6b 63 0 r 1 true 2 3\r\n", "claim\r\n", "claim 6b 63 0 - 1\r\n", "claim 6b 63 0 - 1 2\r\n",
		"claim 6b 63 0 - 1 true\r\n", "claim 6b 63 0 - 1 2 3\r\n", "grant\r\n", "grant r\r\n", "grant r more\r\n", "deny\r\n", "next\r\n", "next more\r\n",
		"part\r\n", "part true\r\n", "part x\r\n", "away\r\n", "away false\r\n", "away x\r\n", "AWAY true\r\n", "next\n",
	}
	golden.Equal(t, "malformed", golden.Transcript(inputs, func(r *bufio.Reader) (any, error) {
		m, err := Read(r)
		return []any{m.Kind, m.State.Key, m.State.Class, m.State.Result != nil, m.Flag}, err
	}))
}
