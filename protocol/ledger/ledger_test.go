package ledger

import (
	"bufio"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/protocol/lines"
)

// TestRead_ReadsEachStatus checks that a reply of each known status is read, and that one of
// an unknown status is rejected.
func TestRead_ReadsEachStatus(t *testing.T) {
	r := bufio.NewReaderSize(strings.NewReader("a posted 2\r\nok\r\nb queue_full\r\nc error\r\nd expired\r\ne moot\r\nf paid\r\n"), 16<<10)
	for _, want := range []Reply{{"a", Succeeded, []byte("ok")}, {"b", Rejected, nil}, {"c", Failed, nil}, {"d", TimedOut, nil}, {"e", NotStarted, nil}} {
		if got, err := Read(r); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("Read = %+v, %v, want %+v", got, err, want)
		}
	}
	if _, err := Read(r); !errors.Is(err, lines.ErrMalformed) {
		t.Errorf("Read(unknown status) error = %v, want ErrMalformed", err)
	}
}

func TestAppendCall_WritesCallAndCancellation(t *testing.T) {
	got := string(AppendCancel(AppendCall(nil, "ab", 250*time.Millisecond, []byte("body")), "ab"))
	if want := "post ab 250 4\r\nbody\r\nabandon ab\r\n"; got != want {
		t.Errorf("call and its cancellation encoded as %q, want %q", got, want)
	}
}
