package processor

import (
	"bufio"
	"strings"
	"testing"

	"quincerail.example/quincerail/internal/golden"
)

// TestRead_MatchesGoldenTranscript compares the results and errors for malformed and unusual
// notices with those of an earlier version.
func TestRead_MatchesGoldenTranscript(t *testing.T) {
	inputs := []string{
		"", "sing\r\n", "HI new 5\r\n", "hi\r\n", "hi new\r\n", "hi new x\r\n", "hi new NaN\r\n", "hi new -1\r\n", "hi new Inf\r\n",
		"hi new 1e12\r\n", "hi new 9e11\r\n", "hi other 0.5\r\n", "hi new 5 more\r\n", "hi new 5\n",
		"complete\r\n", "complete 1 a good\r\n", "complete 1 a good 1\r\n", "complete x a good 1\r\n", "complete -1 a good 1 0\r\n\r\n",
		"complete 1 a sung 1 0\r\n\r\n", "complete 1 a good y 0\r\n\r\n", "complete x a good y 2\r\nab\r\n", "complete 1 a good 1 9000\r\n",
		"complete 1 a good 1 2\r\nabc\r\n", "complete 1 a good 1 2 3\r\n", "complete 9223372036854775808 a good 1 0\r\n\r\n",
		"complete 9223372036854775807 a good 1 0\r\n\r\n", "ask\r\n", "ask 6\r\n", "ask 6 a\r\n", "ask x a 1\r\nb\r\n", "ask 6 a 1\r\nb\r\n",
		"ask 6 a 0\r\n\r\n", "ask 6 a x\r\n", "ask 6 a 1 2\r\n", "used\r\n", "used 9\r\n", "used 9 much\r\n", "used 9 0.5 much 1\r\n",
		"used 9 NaN -1 1e400\r\n", "tried t\r\n", "tried t good\r\n", "tried t sung more\r\n", "reject begin\r\n", "reject begin a\r\n",
		"remark\r\n", "remark x\r\n", "remark 7\r\n", "remark 7 words " + strings.Repeat("x", 2000) + "\r\n",
	}
	golden.Equal(t, "malformed", golden.Transcript(inputs, func(r *bufio.Reader) (any, error) {
		n, err := Read(r)
		return []any{n.Kind, n.Number, n.Elapsed, n.Tag, n.Gauges, len(n.Payload), n.Payload != nil}, err
	}))
}
