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

func packet(t testing.TB, body string) []byte {
	t.Helper()
	b, err := uwsgi.AppendRequest(nil, vars, []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestRequest(t *testing.T) {
	d := uwsgi.Decoder{MaxBody: 100}
	req, err := d.Read(bufio.NewReader(bytes.NewReader(packet(t, "10 kr"))))
	if err != nil || string(req.Body) != "10 kr" || req.Get("PATH_INFO") != "/gavor" || req.Get("CONTENT_LENGTH") != "5" {
		t.Errorf("%+v, %v", req, err)
	}
}

func TestFaults(t *testing.T) {
	for _, x := range []struct {
		name, bytes string
		want        error
	}{
		{"modifier", "\x05\x00\x00\x00", uwsgi.ErrMalformed},
		{"cut variable", "\x00\x04\x00\x00\x09\x00ab", uwsgi.ErrMalformed},
		{"no value", "\x00\x03\x00\x00\x01\x00a", uwsgi.ErrMalformed},
		{"no name", "\x00\x04\x00\x00\x00\x00\x00\x00", uwsgi.ErrMalformed},
		{"length", strings.Replace(string(packet(t, "12345")), "\x01\x005", "\x01\x00x", 1), uwsgi.ErrMalformed},
		{"large", string(packet(t, strings.Repeat("x", 101))), uwsgi.ErrTooLarge},
		{"cut body", string(packet(t, "12345"))[:len(packet(t, ""))+2], io.ErrUnexpectedEOF},
		{"cut head", "\x00\x04", io.ErrUnexpectedEOF},
		{"nothing", "", io.EOF},
	} {
		d := uwsgi.Decoder{MaxBody: 100}
		if _, err := d.Read(bufio.NewReader(strings.NewReader(x.bytes))); !errors.Is(err, x.want) {
			t.Errorf("%s: error %v, want %v", x.name, err, x.want)
		}
	}
}

func TestResponse(t *testing.T) {
	sent := uwsgi.Response{Status: 201, Headers: []uwsgi.Var{{Name: "X-A", Value: "b"}}, Body: []byte("hej")}
	got, err := uwsgi.ReadResponse(bufio.NewReader(bytes.NewReader(uwsgi.AppendResponse(nil, sent))), "POST")
	if err != nil || !reflect.DeepEqual(*got, sent) {
		t.Errorf("got %+v, %v, want %+v", got, err, sent)
	}
	for _, x := range []struct {
		name, text, body string
		want             error
	}{
		{"to the end", "HTTP/1.0 200 OK\r\n\r\nall of it", "all of it", nil},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\nx", "", nil},
		{"cut", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", "", io.ErrUnexpectedEOF},
		{"cut header", "HTTP/1.1 200 OK\r\nA: b\r\n", "", io.ErrUnexpectedEOF},
		{"status", "HTTP/1.1 abc\r\n\r\n", "", uwsgi.ErrMalformed},
		{"protocol", "SMTP 200\r\n\r\n", "", uwsgi.ErrMalformed},
		{"header", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "", uwsgi.ErrMalformed},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "", uwsgi.ErrMalformed},
		{"claimed", "HTTP/1.1 200 OK\r\nContent-Length: 2000000000\r\n\r\n", "", uwsgi.ErrTooLarge},
		{"headers", "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 101) + "\r\n", "", uwsgi.ErrTooLarge},
		{"large", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", uwsgi.MaxResult+1), "", uwsgi.ErrTooLarge},
	} {
		got, err := uwsgi.ReadResponse(bufio.NewReader(strings.NewReader(x.text)), "POST")
		if !errors.Is(err, x.want) || err == nil && string(got.Body) != x.body {
			t.Errorf("%s: %+v, %v, want %q, %v", x.name, got, err, x.body, x.want)
		}
	}
}

// FuzzDecoder sees that a request is read the same however it arrives, and that
// no bytes panic the codec.
func FuzzDecoder(f *testing.F) {
	whole := packet(f, "a body of some length")
	randomsteps.Fuzz(f, func(t *testing.T, s *randomsteps.Source) {
		data := bytes.Clone(whole)
		for range s.Pick(3) {
			data[s.Pick(len(data))] = byte(s.Pick(256))
		}
		plain, broken := uwsgi.Decoder{MaxBody: 100}, uwsgi.Decoder{MaxBody: 100}
		want, wantErr := plain.Read(bufio.NewReader(bytes.NewReader(data)))
		r := bufio.NewReader(randomsteps.Interrupted{Source: s, Data: bytes.NewReader(data)})
		got, err := broken.Read(r)
		for errors.Is(err, os.ErrDeadlineExceeded) {
			got, err = broken.Read(r)
		}
		if !reflect.DeepEqual(got, want) || (err == nil) != (wantErr == nil) {
			t.Fatalf("got %+v, %v, want %+v, %v", got, err, want, wantErr)
		}
	})
}
