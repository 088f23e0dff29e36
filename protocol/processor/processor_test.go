package processor

import (
	"bufio"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/protocol/lines"
)

func read(text string) (Notice, error) {
	return Read(bufio.NewReaderSize(strings.NewReader(text), 16<<10))
}

func TestNotices(t *testing.T) {
	for text, want := range map[string]Notice{
		"hi new 1500\r\n":                       {Kind: Greeting, Word: "new", Took: 1500 * time.Millisecond},
		"complete 4 ab good 12 3\r\nxyz\r\n":    {Kind: RunCompleted, Number: 4, ID: "ab", Word: "good", Took: 12 * time.Millisecond, Payload: []byte("xyz")},
		"complete 5 ab cut 12 0\r\n\r\n":        {Kind: RunCompleted, Number: 5, ID: "ab", Word: "cut", Took: 12 * time.Millisecond, Payload: []byte{}},
		"complete 5 ab bad 1\r\n":               {Kind: RunCompleted, Number: 5, ID: "ab", Word: "bad", Took: time.Millisecond},
		"ask 6 ab 2\r\nhi\r\n":                  {Kind: CallRequested, Number: 6, ID: "ab", Payload: []byte("hi")},
		"used 9 0.25 3 0.5 12\r\n":              {Kind: GaugesRead, Tag: "9", Gauges: []float64{0.25, 3, 0.5, 12}},
		"tried t good\r\n":                      {Kind: HealthChecked, Tag: "t", Word: "good"},
		"reject begin ab\r\n":                   {Kind: CommandRejected, Word: "begin", ID: "ab"},
		"remark 7 some words of no meaning\r\n": {Kind: Remark, Number: 7},
	} {
		if got, err := read(text); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%q: %+v, %v, want %+v", text, got, err, want)
		}
	}
	for _, text := range []string{
		"sing 1\r\n", "hi new x\r\n", "complete -1 ab good 1 0\r\n\r\n", "ask 6\r\n",
		"used 9 much\r\n", "hi new NaN\r\n",
	} {
		if _, err := read(text); !errors.Is(err, lines.ErrMalformed) {
			t.Errorf("%q: error %v", text, err)
		}
	}
}

func TestCommands(t *testing.T) {
	b := AppendHello(nil, 12)
	b = AppendStart(b, "ab", "ny-gava", []byte("body"))
	b = AppendStart(b, "cd", "kampanjsida", nil)
	b = AppendCallReply(b, "ab", []byte("ok"))
	b = AppendSkipCall(b, "cd", 8)
	b = AppendCancel(b, "cd")
	b = AppendHealthCheck(AppendReadGauges(b, "3"), "4")
	want := "hello 12\r\nbegin ab ny-gava 4\r\nbody\r\nbegin cd kampanjsida 0\r\n\r\nanswer ab 2\r\nok\r\n" +
		"without cd 8\r\ninterrupt cd\r\nusage 3\r\ntrial 4\r\n"
	if string(b) != want {
		t.Errorf("got %q\nwant %q", b, want)
	}
}

// TestGoodNoticeCostsNoError guards the cost of what comes by the thousand a second:
// an error was formatted for every notice, in case it were broken.
func TestGoodNoticeCostsNoError(t *testing.T) {
	text := strings.NewReader("")
	r := bufio.NewReaderSize(text, 16<<10)
	allocs := testing.AllocsPerRun(100, func() {
		text.Reset("tried t good\r\n")
		r.Reset(text)
		if _, err := Read(r); err != nil {
			t.Fatal(err)
		}
	})
	if allocs > 5 {
		t.Errorf("%v allocations for a notice", allocs)
	}
}
