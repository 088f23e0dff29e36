package thrift_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"os"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"

	"quincerail.example/quincerail/internal/fakes"
	"quincerail.example/quincerail/internal/randomsteps"
	"quincerail.example/quincerail/protocol/thrift"
)

func read(b []byte) (*thrift.Message, error) {
	return new(thrift.Reader).Read(bufio.NewReaderSize(bytes.NewReader(b), 16<<10))
}

func TestMessages(t *testing.T) {
	fields := map[string]string{"verb": "ny-gava", "unique": "k"}
	m, err := read(fakes.AppendExecute(nil, 3, fields, []byte("body")))
	if err != nil || m.Name != "execute" || m.Seq != 3 || m.Fields["verb"] != "ny-gava" || m.Fields["door"] == "" ||
		string(m.Body) != "body" || m.Err != nil {
		t.Errorf("execute: %+v, %v", m, err)
	}
	if m, err = read(fakes.AppendInterrupt(nil, 3)); err != nil || m.Type != thrift.Oneway || m.CanceledSeq != 3 {
		t.Errorf("interrupt: %+v, %v", m, err)
	}
	if m, err = read(fakes.AppendCheck(nil, 5, true)); err != nil || !m.Probe {
		t.Errorf("check: %+v, %v", m, err)
	}
	if m, err = read(fakes.AppendExecute(nil, 1, nil, make([]byte, thrift.MaxBody+1))); err != nil || m.Err == nil {
		t.Errorf("a large body: %+v, %v, want an intact message at fault", m, err)
	}
}

func TestReplies(t *testing.T) {
	fields := map[string]string{"later": "250", "giveup": "1"}
	for _, x := range []struct {
		bytes []byte
		want  fakes.Reply
	}{
		{
			thrift.AppendAnswer(nil, "execute", 7, thrift.Answer{Body: []byte("b"), OK: true}),
			fakes.Reply{Type: thrift.Reply, Name: "execute", Seq: 7, Body: "b", Fields: map[string]string{}, Healthy: true},
		},
		{
			thrift.AppendShed(nil, 8, fields),
			fakes.Reply{Type: thrift.Reply, Name: "execute", Seq: 8, ResultField: 1, Fields: fields},
		},
		{
			thrift.AppendFault(nil, 9, nil),
			fakes.Reply{Type: thrift.Reply, Name: "execute", Seq: 9, ResultField: 2, Fields: map[string]string{}},
		},
		{
			thrift.AppendException(nil, "sing", 10, thrift.UnknownMethod, "unknown"),
			fakes.Reply{Type: thrift.Exception, Name: "sing", Seq: 10},
		},
		{thrift.AppendLeaving(nil), fakes.Reply{Type: thrift.Oneway, Name: "leaving"}},
	} {
		got, err := fakes.ReadReply(bufio.NewReader(bytes.NewReader(x.bytes)))
		if err != nil || !reflect.DeepEqual(got, x.want) {
			t.Errorf("got %+v, %v, want %+v", got, err, x.want)
		}
	}
}

// TestBroken sees that a frame is refused by its claimed length, before that
// much is waited for or allocated, and so are other breaches.
func TestBroken(t *testing.T) {
	good := string(fakes.AppendCheck(nil, 1, false))
	deep := "\x00\x00\x00\x60\x80\x01\x00\x01\x00\x00\x00\x01x\x00\x00\x00\x01" + strings.Repeat("\x0c\x00\x09", 30)
	for name, frame := range map[string]string{
		"length":  "\x7f\xff\xff\xff",
		"version": strings.Replace(good, "\x80\x01", "\x80\x02", 1),
		"type":    strings.Replace(good, "\x80\x01\x00\x01", "\x80\x01\x00\x02", 1),
		"map":     "\x00\x00\x00\x1c\x80\x01\x00\x01\x00\x00\x00\x07execute\x00\x00\x00\x01\x0d\x00\x01\x0b\x0b\x7f\xff\xff\xff",
		"depth":   deep + strings.Repeat("\x00", 200),
		"tail":    strings.Replace(good, "\x00\x00\x00\x16", "\x00\x00\x00\x17", 1) + "x",
	} {
		if _, err := read([]byte(frame)); !errors.Is(err, thrift.ErrMalformed) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// TestMessagesBehindBadOnes: what follows something that is no message is read, also where
// it comes in single bytes.
func TestMessagesBehindBadOnes(t *testing.T) {
	check := fakes.AppendCheck(nil, 7, true)
	claims := func(size byte, rest string) string { return "\x00\x00\x00" + string(size) + rest }
	for name, noise := range map[string]string{
		"nothing":               "",
		"an empty frame":        claims(0, ""),
		"a short frame":         claims(2, "no"),
		"a frame of text":       claims(4, "spam"),
		"a frame that claims":   claims(0x7f, "spam"),
		"a huge frame":          "\x7f\xff\xff\xffspam",
		"text":                  "GET / HTTP/1.1\r\n\r\n",
		"half a message":        string(check[:20]),
		"a reply":               strings.Replace(string(check), "\x80\x01\x00\x01", "\x80\x01\x00\x02", 1),
		"a message and a half":  string(check) + string(check[:9]),
		"a frame of 20 kB":      "\x00\x00\x50\x00" + string(check[4:]) + strings.Repeat("x", 20<<10-len(check)+4),
		"the same, but no call": "\x00\x00\x50\x00" + strings.Repeat("x", 20<<10),
	} {
		stream := noise + string(check) + string(check)
		for _, source := range []io.Reader{strings.NewReader(stream), iotest.OneByteReader(strings.NewReader(stream))} {
			b, last := bufio.NewReaderSize(source, 16<<10), 0
			var reader thrift.Reader
			for {
				m, err := reader.Read(b)
				if err != nil && !errors.Is(err, thrift.ErrMalformed) {
					break
				}
				if err == nil && m.Name == "check" && m.Seq == 7 && m.Probe {
					last++
				}
			}
			want := 2
			if strings.HasPrefix(noise, string(check)) {
				want = 3
			}
			if name == "half a message" || name == "a message and a half" {
				want-- // the frame that was begun swallows a part of the next
			}
			if last < want {
				t.Errorf("%s: %d messages behind it were read, want %d", name, last, want)
			}
		}
	}
}

// FuzzRead sees that a message is read the same however it arrives, and that
// no bytes panic the codec.
func FuzzRead(f *testing.F) {
	whole := fakes.AppendExecute(nil, 1, map[string]string{"verb": "x"}, []byte("some body"))
	whole = fakes.AppendInterrupt(whole, 1)
	whole = fakes.AppendCheck(whole, 3, true)
	randomsteps.Fuzz(f, func(t *testing.T, s *randomsteps.Source) {
		data := bytes.Clone(whole)
		for range s.Pick(3) {
			data[s.Pick(len(data))] = byte(s.Pick(256))
		}
		plain := bufio.NewReaderSize(bytes.NewReader(data), 16<<10)
		broken := bufio.NewReaderSize(randomsteps.Interrupted{Source: s, Data: bytes.NewReader(data)}, 16<<10)
		var ofPlain, ofBroken thrift.Reader
		for {
			want, wantErr := ofPlain.Read(plain)
			got, err := ofBroken.Read(broken)
			for errors.Is(err, os.ErrDeadlineExceeded) {
				got, err = ofBroken.Read(broken)
			}
			if !reflect.DeepEqual(got, want) || (err == nil) != (wantErr == nil) {
				t.Fatalf("got %+v, %v, want %+v, %v", got, err, want, wantErr)
			}
			if err != nil && !errors.Is(err, thrift.ErrMalformed) {
				if !errors.Is(err, io.EOF) {
					t.Fatalf("error %v", err)
				}
				return
			}
		}
	})
}
