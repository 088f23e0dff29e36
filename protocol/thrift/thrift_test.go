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

func readMessage(b []byte) (*thrift.Message, error) {
	return new(thrift.Reader).Read(bufio.NewReaderSize(bytes.NewReader(b), 16<<10))
}

// TestRead_ReadsEachMethod checks the arguments of each method, and that a too large body sets
// the message's error.
func TestRead_ReadsEachMethod(t *testing.T) {
	fields := map[string]string{"verb": "ny-gava", "unique": "k"}
	m, err := readMessage(fakes.AppendExecute(nil, 3, fields, []byte("body")))
	if err != nil || m.Name != "execute" || m.Seq != 3 || m.Fields["verb"] != "ny-gava" || m.Fields["door"] == "" ||
		string(m.Body) != "body" || m.Err != nil {
		t.Errorf("Read(execute) = %+v, %v, want call 3 with its fields and body", m, err)
	}
	if m, err = readMessage(fakes.AppendInterrupt(nil, 3)); err != nil || m.Type != thrift.Oneway || m.CanceledSeq != 3 {
		t.Errorf("Read(interrupt) = %+v, %v, want a oneway message with CanceledSeq 3", m, err)
	}
	if m, err = readMessage(fakes.AppendCheck(nil, 5, true)); err != nil || !m.Probe {
		t.Errorf("Read(check) = %+v, %v, want a message with Probe set", m, err)
	}
	if m, err = readMessage(fakes.AppendExecute(nil, 1, nil, make([]byte, thrift.MaxRequestBody+1))); err != nil || m.Err == nil {
		t.Errorf("Read(execute with a too large body) = %+v, %v, want a message with Err set", m, err)
	}
}

// TestAppend_WritesReplies checks that a client decodes the replies as they were encoded.
func TestAppend_WritesReplies(t *testing.T) {
	fields := map[string]string{"later": "250", "giveup": "1"}
	for _, tc := range []struct {
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
		got, err := fakes.ReadReply(bufio.NewReader(bytes.NewReader(tc.bytes)))
		if err != nil || !reflect.DeepEqual(got, tc.want) {
			t.Errorf("ReadReply = %+v, %v, want %+v", got, err, tc.want)
		}
	}
}

// TestRead_RejectsMalformedFrames checks that a frame of excessive size is rejected before that
// many bytes are awaited or allocated, and that other malformed frames are rejected.
func TestRead_RejectsMalformedFrames(t *testing.T) {
	valid := string(fakes.AppendCheck(nil, 1, false))
	deep := "\x00\x00\x00\x60\x80\x01\x00\x01\x00\x00\x00\x01x\x00\x00\x00\x01" + strings.Repeat("\x0c\x00\x09", 30)
	for name, frame := range map[string]string{
		"frame size too large":       "\x7f\xff\xff\xff",
		"unknown version":            strings.Replace(valid, "\x80\x01", "\x80\x02", 1),
		"message type is not a call": strings.Replace(valid, "\x80\x01\x00\x01", "\x80\x01\x00\x02", 1),
		"map larger than the frame":  "\x00\x00\x00\x1c\x80\x01\x00\x01\x00\x00\x00\x07execute\x00\x00\x00\x01\x0d\x00\x01\x0b\x0b\x7f\xff\xff\xff",
		"values nested too deep":     deep + strings.Repeat("\x00", 200),
		"bytes after the arguments":  strings.Replace(valid, "\x00\x00\x00\x16", "\x00\x00\x00\x17", 1) + "x",
	} {
		if _, err := readMessage([]byte(frame)); !errors.Is(err, thrift.ErrMalformed) {
			t.Errorf("%s: Read error = %v, want ErrMalformed", name, err)
		}
	}
}

// TestRead_ResynchronizesAfterMalformedInput checks that the messages after bytes that are not
// a message are read, also if the input arrives byte by byte.
func TestRead_ResynchronizesAfterMalformedInput(t *testing.T) {
	check := fakes.AppendCheck(nil, 7, true)
	frameOf := func(size byte, rest string) string { return "\x00\x00\x00" + string(size) + rest }
	for name, malformed := range map[string]string{
		"no malformed bytes":                              "",
		"empty frame":                                     frameOf(0, ""),
		"frame shorter than a message":                    frameOf(2, "no"),
		"frame of text":                                   frameOf(4, "spam"),
		"frame size larger than the frame":                frameOf(0x7f, "spam"),
		"implausible frame size":                          "\x7f\xff\xff\xffspam",
		"text without frames":                             "GET / HTTP/1.1\r\n\r\n",
		"truncated message":                               string(check[:20]),
		"reply":                                           strings.Replace(string(check), "\x80\x01\x00\x01", "\x80\x01\x00\x02", 1),
		"message and a truncated message":                 string(check) + string(check[:9]),
		"call in a frame over maxFrame":                   "\x00\x00\x50\x00" + string(check[4:]) + strings.Repeat("x", 20<<10-len(check)+4),
		"bytes that are no call in a frame over maxFrame": "\x00\x00\x50\x00" + strings.Repeat("x", 20<<10),
	} {
		stream := malformed + string(check) + string(check)
		for _, source := range []io.Reader{strings.NewReader(stream), iotest.OneByteReader(strings.NewReader(stream))} {
			b, received := bufio.NewReaderSize(source, 16<<10), 0
			var reader thrift.Reader
			for {
				m, err := reader.Read(b)
				if err != nil && !errors.Is(err, thrift.ErrMalformed) {
					break
				}
				if err == nil && m.Name == "check" && m.Seq == 7 && m.Probe {
					received++
				}
			}
			want := 2
			if strings.HasPrefix(malformed, string(check)) {
				want = 3
			}
			if name == "truncated message" || name == "message and a truncated message" {
				want-- // the frame of the truncated message includes the start of the next message
			}
			if received < want {
				t.Errorf("%s: Read returned %d of the valid messages, want at least %d", name, received, want)
			}
		}
	}
}

// FuzzRead checks that Read returns the same messages and errors however the input is split
// and however often reads time out, and that it never panics.
func FuzzRead(f *testing.F) {
	valid := fakes.AppendExecute(nil, 1, map[string]string{"verb": "x"}, []byte("some body"))
	valid = fakes.AppendInterrupt(valid, 1)
	valid = fakes.AppendCheck(valid, 3, true)
	randomsteps.Fuzz(f, func(t *testing.T, s *randomsteps.Source) {
		data := bytes.Clone(valid)
		for range s.Pick(3) {
			data[s.Pick(len(data))] = byte(s.Pick(256))
		}
		whole := bufio.NewReaderSize(bytes.NewReader(data), 16<<10)
		interrupted := bufio.NewReaderSize(randomsteps.InterruptedReader{Source: s, Data: bytes.NewReader(data)}, 16<<10)
		var wholeReader, interruptedReader thrift.Reader
		for {
			want, wantErr := wholeReader.Read(whole)
			got, err := interruptedReader.Read(interrupted)
			for errors.Is(err, os.ErrDeadlineExceeded) {
				got, err = interruptedReader.Read(interrupted)
			}
			if !reflect.DeepEqual(got, want) || (err == nil) != (wantErr == nil) {
				t.Fatalf("Read of interrupted input = %+v, %v, want %+v, %v", got, err, want, wantErr)
			}
			if err != nil && !errors.Is(err, thrift.ErrMalformed) {
				if !errors.Is(err, io.EOF) {
					t.Fatalf("Read error = %v, want ErrMalformed or EOF", err)
				}
				return
			}
		}
	})
}
