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

func hasBody(words []string) bool { return words[0] == "ask" }

func reader(text string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(text), 16<<10) }

func TestRead(t *testing.T) {
	text := string(lines.Append(lines.Append(nil, []byte("a\r\nb"), "ask", "1", "x"), nil, "used", "t"))
	if want := "ask 1 x 4\r\na\r\nb\r\nused t\r\n"; text != want {
		t.Fatalf("appended %q, want %q", text, want)
	}
	r := reader(text)
	words, body, err := lines.Read(r, hasBody)
	if err != nil || !reflect.DeepEqual(words, []string{"ask", "1", "x", "4"}) || string(body) != "a\r\nb" {
		t.Errorf("%q, %q, %v", words, body, err)
	}
	if words, body, err = lines.Read(r, hasBody); err != nil || len(words) != 2 || body != nil {
		t.Errorf("%q, %q, %v", words, body, err)
	}
}

func TestBroken(t *testing.T) {
	for name, text := range map[string]string{
		"no CR":       "used t\n",
		"empty":       "\r\n",
		"long":        strings.Repeat("x", 3000),
		"no length":   "ask 1 x\r\n",
		"negative":    "ask 1 x -4\r\n",
		"claimed":     "ask 1 x 2000000000\r\n",
		"no line end": "ask 1 x 2\r\nabcd",
	} {
		if _, _, err := lines.Read(reader(text), hasBody); !errors.Is(err, lines.ErrMalformed) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// FuzzRead sees that messages are read the same however they arrive.
func FuzzRead(f *testing.F) {
	whole := lines.Append(nil, []byte("a call's body"), "ask", "1", "abc")
	whole = lines.Append(whole, nil, "used", "7", "0.5", "1")
	randomsteps.Fuzz(f, func(t *testing.T, s *randomsteps.Source) {
		data := bytes.Clone(whole)
		for range s.Pick(3) {
			data[s.Pick(len(data))] = byte(s.Pick(256))
		}
		plain := reader(string(data))
		broken := bufio.NewReaderSize(randomsteps.Interrupted{Source: s, Data: bytes.NewReader(data)}, 16<<10)
		for {
			words, body, wantErr := lines.Read(plain, hasBody)
			gotWords, gotBody, err := lines.Read(broken, hasBody)
			for errors.Is(err, os.ErrDeadlineExceeded) {
				gotWords, gotBody, err = lines.Read(broken, hasBody)
			}
			if !reflect.DeepEqual(gotWords, words) || !bytes.Equal(gotBody, body) || (err == nil) != (wantErr == nil) {
				t.Fatalf("got %q, %q, %v, want %q, %q, %v", gotWords, gotBody, err, words, body, wantErr)
			}
			if err != nil {
				return
			}
		}
	})
}
