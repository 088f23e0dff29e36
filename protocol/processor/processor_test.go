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

func readNotice(text string) (Notice, error) {
	return Read(bufio.NewReaderSize(strings.NewReader(text), 16<<10))
}

// TestRead_ReadsEachKind checks that notices of each kind are read, and that malformed ones
// are rejected.
func TestRead_ReadsEachKind(t *testing.T) {
	for text, want := range map[string]Notice{
		"hi new 1500\r\n":                       {Kind: Greeting, Cold: true, Elapsed: 1500 * time.Millisecond},
		"complete 4 ab good 12 3\r\nxyz\r\n":    {Kind: RunCompleted, Number: 4, RunID: "ab", Status: RunSucceeded, Elapsed: 12 * time.Millisecond, Payload: []byte("xyz")},
		"hi old 1\r\n":                          {Kind: Greeting, Elapsed: time.Millisecond},
		"tried t bad\r\n":                       {Kind: HealthChecked, Tag: "t"},
		"complete 5 ab gone 0 0\r\n\r\n":        {Kind: RunCompleted, Number: 5, RunID: "ab", Status: RunNotStarted, Payload: []byte{}},
		"complete 5 ab sung 0 0\r\n\r\n":        {Kind: RunCompleted, Number: 5, RunID: "ab", Status: "sung", Payload: []byte{}},
		"complete 5 ab cut 12 0\r\n\r\n":        {Kind: RunCompleted, Number: 5, RunID: "ab", Status: RunCancelled, Elapsed: 12 * time.Millisecond, Payload: []byte{}},
		"complete 5 ab bad 1\r\n":               {Kind: RunCompleted, Number: 5, RunID: "ab", Status: RunFailed, Elapsed: time.Millisecond},
		"ask 6 ab 2\r\nhi\r\n":                  {Kind: CallRequested, Number: 6, RunID: "ab", Payload: []byte("hi")},
		"used 9 0.25 3 0.5 12\r\n":              {Kind: GaugesRead, Tag: "9", Gauges: []float64{0.25, 3, 0.5, 12}},
		"tried t good\r\n":                      {Kind: HealthChecked, Tag: "t", Healthy: true},
		"reject begin ab\r\n":                   {Kind: CommandRejected, Command: Start, RunID: "ab"},
		"remark 7 some words of no meaning\r\n": {Kind: Remark, Number: 7},
	} {
		if got, err := readNotice(text); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("Read(%q) = %+v, %v, want %+v", text, got, err, want)
		}
	}
	for _, text := range []string{
		"sing 1\r\n", "hi new x\r\n", "complete -1 ab good 1 0\r\n\r\n", "ask 6\r\n",
		"used 9 much\r\n", "hi new NaN\r\n",
	} {
		if _, err := readNotice(text); !errors.Is(err, lines.ErrMalformed) {
			t.Errorf("Read(%q) error = %v, want ErrMalformed", text, err)
		}
	}
}

func TestAppend_WritesEachCommand(t *testing.T) {
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
		t.Errorf("commands encoded as %q\nwant %q", b, want)
	}
}

// TestRead_FormatsNoErrorForValidNotice guards against formatting an error for every notice in
// case it is malformed. Thousands of notices arrive each second.
func TestRead_FormatsNoErrorForValidNotice(t *testing.T) {
	text := strings.NewReader("")
	r := bufio.NewReaderSize(text, 16<<10)
	allocs := testing.AllocsPerRun(100, func() {
		text.Reset("tried t good\r\n")
		r.Reset(text)
		if _, err := Read(r); err != nil {
			t.Fatal(err)
		}
	})
	const maxAllocs = 5
	if allocs > maxAllocs {
		t.Errorf("Read of a valid notice made %v allocations, want at most %d", allocs, maxAllocs)
	}
}
