package lines_test

import (
	"bufio"
	"bytes"
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"

	"quincerail.example/quincerail/internal/randomsteps"
	"quincerail.example/quincerail/protocol/lines"
)

// hasBody is the argument for lines.Read in these tests: only "ask" lines have a body.
func hasBody(words []string) bool { return words[0] == "ask" }

func newReader(text string) *bufio.Reader {
	return bufio.NewReaderSize(strings.NewReader(text), 16<<10)
}

func TestRead_ReadsAppendedMessages(t *testing.T) {
	text := string(lines.Append(lines.Append(nil, []byte("a\r\nb"), "ask", "1", "x"), nil, "used", "t"))
	if want := "ask 1 x 4\r\na\r\nb\r\nused t\r\n"; text != want {
		t.Fatalf("Append = %q, want %q", text, want)
	}
	r := newReader(text)
	words, body, err := lines.Read(r, hasBody)
	if err != nil || !reflect.DeepEqual(words, []string{"ask", "1", "x", "4"}) || string(body) != "a\r\nb" {
		t.Errorf("Read(line with a body) = %q, %q, %v, want [ask 1 x 4], the body %q", words, body, err, "a\r\nb")
	}
	if words, body, err = lines.Read(r, hasBody); err != nil || len(words) != 2 || body != nil {
		t.Errorf("Read(line without a body) = %q, %q, %v, want two words and no body", words, body, err)
	}
}

func TestRead_RejectsMalformedMessages(t *testing.T) {
	for name, text := range map[string]string{
		"line without CR":             "used t\n",
		"empty line":                  "\r\n",
		"line too long":               strings.Repeat("x", 3000),
		"body length is not a number": "ask 1 x\r\n",
		"negative body length":        "ask 1 x -4\r\n",
		"body length over MaxBody":    "ask 1 x 2000000000\r\n",
		"no CR LF after the body":     "ask 1 x 2\r\nabcd",
	} {
		if _, _, err := lines.Read(newReader(text), hasBody); !errors.Is(err, lines.ErrMalformed) {
			t.Errorf("%s: Read error = %v, want ErrMalformed", name, err)
		}
	}
}

// FuzzRead checks that Read returns the same messages, and fails at the same message, however
// the input is split and however often reads time out. Some inputs have random bytes.
func FuzzRead(f *testing.F) {
	valid := lines.Append(nil, []byte("a call's body"), "ask", "1", "abc")
	valid = lines.Append(valid, nil, "used", "7", "0.5", "1")
	randomsteps.Fuzz(f, func(t *testing.T, s *randomsteps.Source) {
		data := bytes.Clone(valid)
		for range s.Pick(3) {
			data[s.Pick(len(data))] = byte(s.Pick(256))
		}
		whole := newReader(string(data))
		interrupted := bufio.NewReaderSize(randomsteps.InterruptedReader{Source: s, Data: bytes.NewReader(data)}, 16<<10)
		for {
			words, body, wantErr := lines.Read(whole, hasBody)
			gotWords, gotBody, err := lines.Read(interrupted, hasBody)
			for errors.Is(err, os.ErrDeadlineExceeded) {
				gotWords, gotBody, err = lines.Read(interrupted, hasBody)
			}
			if !reflect.DeepEqual(gotWords, words) || !bytes.Equal(gotBody, body) || (err == nil) != (wantErr == nil) {
				t.Fatalf("Read of interrupted input = %q, %q, %v, want %q, %q, %v", gotWords, gotBody, err, words, body, wantErr)
			}
			if err != nil {
				return
			}
		}
	})
}
