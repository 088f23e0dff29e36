package uwsgi_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"os"
	"reflect"
	"strings"
	"testing"

	"quincerail.example/quincerail/internal/randomsteps"
	"quincerail.example/quincerail/protocol/uwsgi"
)

var vars = []uwsgi.Var{{Name: "REQUEST_METHOD", Value: "POST"}, {Name: "PATH_INFO", Value: "/gavor"}}

// packet returns a request with a body.
func packet(t testing.TB, body string) []byte {
	t.Helper()
	b, err := uwsgi.AppendRequest(nil, vars, []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestDecoder_ReadsRequest(t *testing.T) {
	d := uwsgi.Decoder{MaxBody: 100}
	req, err := d.Read(bufio.NewReader(bytes.NewReader(packet(t, "10 kr"))))
	if err != nil || string(req.Body) != "10 kr" || req.Get("PATH_INFO") != "/gavor" || req.Get("CONTENT_LENGTH") != "5" {
		t.Errorf("Read = %+v, %v, want the body %q with its CONTENT_LENGTH", req, err, "10 kr")
	}
}

func TestDecoder_RejectsMalformedRequests(t *testing.T) {
	for _, tc := range []struct {
		name, bytes string
		want        error
	}{
		{"unknown modifier", "\x05\x00\x00\x00", uwsgi.ErrMalformed},
		{"variable longer than the packet", "\x00\x04\x00\x00\x09\x00ab", uwsgi.ErrMalformed},
		{"variable without value", "\x00\x03\x00\x00\x01\x00a", uwsgi.ErrMalformed},
		{"empty variable name", "\x00\x04\x00\x00\x00\x00\x00\x00", uwsgi.ErrMalformed},
		{"content length is not a number", strings.Replace(string(packet(t, "12345")), "\x01\x005", "\x01\x00x", 1), uwsgi.ErrMalformed},
		{"body too large", string(packet(t, strings.Repeat("x", 101))), uwsgi.ErrTooLarge},
		{"truncated body", string(packet(t, "12345"))[:len(packet(t, ""))+2], io.ErrUnexpectedEOF},
		{"truncated header", "\x00\x04", io.ErrUnexpectedEOF},
		{"empty input", "", io.EOF},
	} {
		d := uwsgi.Decoder{MaxBody: 100}
		if _, err := d.Read(bufio.NewReader(strings.NewReader(tc.bytes))); !errors.Is(err, tc.want) {
			t.Errorf("%s: Read error = %v, want %v", tc.name, err, tc.want)
		}
	}
}

// TestReadResponse_ReadsAndRejects checks that an encoded response is decoded unchanged, how the
// body of other responses is delimited, and that malformed responses are rejected.
func TestReadResponse_ReadsAndRejects(t *testing.T) {
	sent := uwsgi.Response{Status: 201, Headers: []uwsgi.Var{{Name: "X-A", Value: "b"}}, Body: []byte("hej")}
	got, err := uwsgi.ReadResponse(bufio.NewReader(bytes.NewReader(uwsgi.AppendResponse(nil, sent))), "POST")
	if err != nil || !reflect.DeepEqual(*got, sent) {
		t.Errorf("ReadResponse = %+v, %v, want %+v", got, err, sent)
	}
	for _, tc := range []struct {
		name, text, body string
		want             error
	}{
		{"body until the end of the input", "HTTP/1.0 200 OK\r\n\r\nall of it", "all of it", nil},
		{"status without body", "HTTP/1.1 204 No Content\r\n\r\nx", "", nil},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", "", io.ErrUnexpectedEOF},
		{"truncated headers", "HTTP/1.1 200 OK\r\nA: b\r\n", "", io.ErrUnexpectedEOF},
		{"status is not a number", "HTTP/1.1 abc\r\n\r\n", "", uwsgi.ErrMalformed},
		{"other protocol", "SMTP 200\r\n\r\n", "", uwsgi.ErrMalformed},
		{"header without colon", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "", uwsgi.ErrMalformed},
		{"transfer encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "", uwsgi.ErrMalformed},
		{"content length too large", "HTTP/1.1 200 OK\r\nContent-Length: 2000000000\r\n\r\n", "", uwsgi.ErrTooLarge},
		{"too many headers", "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 101) + "\r\n", "", uwsgi.ErrTooLarge},
		{"body too large", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", uwsgi.MaxResponseBody+1), "", uwsgi.ErrTooLarge},
	} {
		got, err := uwsgi.ReadResponse(bufio.NewReader(strings.NewReader(tc.text)), "POST")
		if !errors.Is(err, tc.want) || err == nil && string(got.Body) != tc.body {
			t.Errorf("%s: ReadResponse = %+v, %v, want the body %q, error %v", tc.name, got, err, tc.body, tc.want)
		}
	}
}

// FuzzDecoder checks that Read returns the same request and error however the input is split
// and however often reads time out, and that it never panics.
func FuzzDecoder(f *testing.F) {
	valid := packet(f, "a body of some length")
	randomsteps.Fuzz(f, func(t *testing.T, s *randomsteps.Source) {
		data := bytes.Clone(valid)
		for range s.Pick(3) {
			data[s.Pick(len(data))] = byte(s.Pick(256))
		}
		whole, interrupted := uwsgi.Decoder{MaxBody: 100}, uwsgi.Decoder{MaxBody: 100}
		want, wantErr := whole.Read(bufio.NewReader(bytes.NewReader(data)))
		r := bufio.NewReader(randomsteps.InterruptedReader{Source: s, Data: bytes.NewReader(data)})
		got, err := interrupted.Read(r)
		for errors.Is(err, os.ErrDeadlineExceeded) {
			got, err = interrupted.Read(r)
		}
		if !reflect.DeepEqual(got, want) || (err == nil) != (wantErr == nil) {
			t.Fatalf("Read of interrupted input = %+v, %v, want %+v, %v", got, err, want, wantErr)
		}
	})
}
