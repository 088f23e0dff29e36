package discovery

import (
	"bufio"
	"strings"
	"testing"

	"quincerail.example/quincerail/internal/golden"
)

// TestReadStatus_MatchesGoldenTranscript compares the results and errors for malformed and
// unusual responses with those of an earlier version.
func TestReadStatus_MatchesGoldenTranscript(t *testing.T) {
	inputs := []string{
		"", "HTTP/1.1", "\r\n", "ICY 200 OK\r\n\r\n", "HTTP/1.1 99 Low\r\n\r\n", "HTTP/1.1 600 High\r\n\r\n", "HTTP/1.1 2x4\r\n\r\n", "HTTP/1.1\r\n\r\n",
		"HTTP/1.1 204\r\n", "HTTP/1.1 204\r\nA: b", "HTTP/1.1 204\n\nmore", "HTTP/2 204\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n", "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nab",
		"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nabcd", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 63) + "\r\n", "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 64) + "\r\n",
		"HTTP/1.1 200 " + strings.Repeat("x", 20000) + "\r\n\r\n",
	}
	golden.Equal(t, "malformed", golden.Transcript(inputs, func(r *bufio.Reader) (any, error) {
		status, err := ReadStatus(r)
		return status, err
	}))
}
