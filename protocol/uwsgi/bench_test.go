package uwsgi_test

import (
	"bufio"
	"bytes"
	"testing"

	"quincerail.example/quincerail/protocol/uwsgi"
)

// BenchmarkRoundTrip measures reading a request and its response.
func BenchmarkRoundTrip(b *testing.B) {
	request := packet(b, "a body of some length")
	response := uwsgi.AppendResponse(nil, uwsgi.Response{Status: 200, Headers: []uwsgi.Var{{Name: "X-A", Value: "b"}}, Body: []byte("hej")})
	source := bytes.NewReader(nil)
	r := bufio.NewReader(source)
	b.ReportAllocs()
	for b.Loop() {
		source.Reset(request)
		r.Reset(source)
		d := uwsgi.Decoder{MaxBody: 100}
		if _, err := d.Read(r); err != nil {
			b.Fatal(err)
		}
		source.Reset(response)
		r.Reset(source)
		if _, err := uwsgi.ReadResponse(r, "POST"); err != nil {
			b.Fatal(err)
		}
	}
}
