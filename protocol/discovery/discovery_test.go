package discovery

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
)

func TestAppendReport_WritesRequest(t *testing.T) {
	want := "PUT /announce/n3 HTTP/1.1\r\nHost: h:1\r\nContent-Type: application/json\r\nContent-Length: 20\r\n\r\n{\"accepting\":\"true\"}"
	if got := string(AppendReport(nil, "h:1", "n3", true)); got != want {
		t.Errorf("AppendReport = %q, want %q", got, want)
	}
}

// TestReadStatus_ReadsResponsesInTurn checks that responses with and without a body are read
// one after the other, and that malformed ones are rejected.
func TestReadStatus_ReadsResponsesInTurn(t *testing.T) {
	r := bufio.NewReader(strings.NewReader("HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 503 Busy\r\ncontent-length: 4\r\n\r\nwaitHTTP/1.1 204 No Content\r\n\r\n"))
	for _, want := range []int{204, 503, 204} {
		if got, err := ReadStatus(r); err != nil || got != want {
			t.Errorf("ReadStatus = %d, %v, want %d", got, err, want)
		}
	}
	if _, err := ReadStatus(r); !errors.Is(err, io.EOF) {
		t.Errorf("ReadStatus at the end of the input: error %v, want EOF", err)
	}
	for name, text := range map[string]string{
		"other protocol":      "ICY 200 OK\r\n\r\n",
		"status code too low": "HTTP/1.1 99 Low\r\n\r\n",
		"body too large":      "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
		"transfer encoding":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"too many headers":    "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 65) + "\r\n",
		"line too long":       "HTTP/1.1 200 " + strings.Repeat("x", 5000) + "\r\n\r\n",
	} {
		if _, err := ReadStatus(bufio.NewReader(strings.NewReader(text))); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: ReadStatus error = %v, want ErrMalformed", name, err)
		}
	}
}
