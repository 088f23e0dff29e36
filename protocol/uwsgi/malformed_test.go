package uwsgi_test

import (
	"bufio"
	"strings"
	"testing"

	"quincerail.example/quincerail/internal/golden"
	"quincerail.example/quincerail/protocol/uwsgi"
)

// TestDecoder_MatchesGoldenTranscript compares the results and errors for malformed and unusual
// requests with those of an earlier version.
func TestDecoder_MatchesGoldenTranscript(t *testing.T) {
	withLength := func(value string) string {
		b := "\x0e\x00CONTENT_LENGTH" + string([]byte{byte(len(value)), 0}) + value
		return "\x00" + string([]byte{byte(len(b)), 0}) + "\x00" + b
	}
	inputs := []string{
		"", "\x00", "\x00\x04\x00", "\x05\x00\x00\x00", "\x64\x00\x00\x00", "\x64\x00\x00\x01more", "\x00\x00\x00\x00", "\x00\x04\x00\x00\x09\x00ab",
		"\x00\x03\x00\x00\x01\x00a", "\x00\x04\x00\x00\x00\x00\x00\x00", "\x00\x04\x00\x00\x00\x00\x00", "\x00\x01\x00\x00x", "\x00\x05\x00\x00\x01\x00a\x00\x00",
		withLength(""), withLength("0") + "more", withLength("x"), withLength("-1"), withLength("+1"), withLength("5") + "12345more",
		withLength("5") + "123", withLength("101"),
		withLength("100") + strings.Repeat("x", 100), withLength("99999999999999999999"), withLength("9223372036854775807"),
	}
	golden.Equal(t, "malformed-requests", golden.Transcript(inputs, func(r *bufio.Reader) (any, error) {
		d := uwsgi.Decoder{MaxBody: 100}
		request, err := d.Read(r)
		if err != nil {
			return nil, err
		}
		return []any{request.Modifier1, request.Modifier2, request.Vars, string(request.Body)}, nil
	}))
}

// TestReadResponse_MatchesGoldenTranscript compares the results and errors for malformed and
// unusual responses with those of an earlier version.
func TestReadResponse_MatchesGoldenTranscript(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\n"
	inputs := []string{
		"", "HTTP/1.1", "\r\n", "SMTP 200\r\n\r\n", "HTTP/1.1 abc\r\n\r\n", "HTTP/1.1 199 x\r\n\r\n", "HTTP/1.1 600 x\r\n\r\n", "HTTP/1.1 200\r\n\r\nbody",
		"HTTP/1.0 200 OK\n\nbody", ok, ok + "A: b\r\n", ok + "A: b", ok + "no colon\r\n\r\n", ok + ": b\r\n\r\n", ok + "A b: c\r\n\r\n", ok + " A: b\r\n\r\n",
		ok + "A:  b  \r\nB:\r\n\r\n", ok + "Content-Length: x\r\n\r\n", ok + "Content-Length: -1\r\n\r\n", ok + "content-length: 3\r\n\r\nabcde",
		ok + "Content-Length: 9\r\n\r\nhalf", ok + "Content-Length: 2000000000\r\n\r\n", ok + "Content-Length: 9999999999\r\n\r\n",
		ok + "Content-Length: 3\r\nContent-Length: 2\r\n\r\nabcde", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ok + "Connection: close\r\nKeep-Alive: x\r\n\r\n",
		ok + strings.Repeat("A: b\r\n", 100) + "\r\n", ok + strings.Repeat("A: b\r\n", 101) + "\r\n", ok + strings.Repeat("A: b\r\n", 100) + "Content-Length: 1\r\n\r\nx",
		ok + "A: " + strings.Repeat("x", 8200) + "\r\n\r\n", ok + "A: " + strings.Repeat("x", 20000) + "\r\n\r\n", ok + "\r\n" + strings.Repeat("x", uwsgi.MaxResponseBody),
		ok + "\r\n" + strings.Repeat("x", uwsgi.MaxResponseBody+1), "HTTP/1.1 204 No Content\r\n\r\nx", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\nx",
		"HTTP/1.1 204 x\r\nContent-Length: 2000000000\r\n\r\n", "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
	}
	for _, method := range []string{"POST", "HEAD"} {
		golden.Equal(t, "malformed-responses-"+method, golden.Transcript(inputs, func(r *bufio.Reader) (any, error) {
			response, err := uwsgi.ReadResponse(r, method)
			if err != nil {
				return nil, err
			}
			return []any{response.Status, len(response.Headers), len(response.Body)}, nil
		}))
	}
}
