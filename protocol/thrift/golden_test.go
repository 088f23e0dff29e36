package thrift_test

import (
	"bufio"
	"bytes"
	"testing"

	"quincerail.example/quincerail/internal/fakes"
	"quincerail.example/quincerail/internal/golden"
	"quincerail.example/quincerail/protocol/thrift"
)

// TestAppend_MatchesGoldenFiles checks that a message of each kind is encoded as in its golden
// file.
func TestAppend_MatchesGoldenFiles(t *testing.T) {
	fields := map[string]string{"later": "250", "giveup": "1", "feedback": "0.5000"}
	for name, got := range map[string][]byte{
		"answer":      thrift.AppendAnswer(nil, "execute", 7, thrift.Answer{Body: []byte("a\r\nb"), Fields: fields, OK: true}),
		"answer-bare": thrift.AppendAnswer([]byte("before"), "check", -1, thrift.Answer{}),
		"shed":        thrift.AppendShed(nil, 8, fields),
		"fault":       thrift.AppendFault(nil, 9, nil),
		"exception":   thrift.AppendException(nil, "sing", 10, thrift.UnknownMethod, "unknown"),
		"leaving":     thrift.AppendLeaving(nil),
	} {
		golden.Equal(t, name, got)
	}
}

// BenchmarkMessages measures decoding a request and encoding its answer.
func BenchmarkMessages(b *testing.B) {
	request := fakes.AppendExecute(nil, 3, map[string]string{"verb": "ny-gava", "unique": "k"}, []byte("body"))
	answer := thrift.Answer{Body: []byte("result"), Fields: map[string]string{"feedback": "0.5000"}, OK: true}
	source, dst := bytes.NewReader(nil), make([]byte, 0, 1<<10)
	r := bufio.NewReaderSize(source, 16<<10)
	var reader thrift.Reader
	b.ReportAllocs()
	for b.Loop() {
		source.Reset(request)
		r.Reset(source)
		m, err := reader.Read(r)
		if err != nil {
			b.Fatal(err)
		}
		dst = thrift.AppendAnswer(dst[:0], m.Name, m.Seq, answer)
	}
}
