// Package processor is the codec of the link to the processor, which does the
// work. It takes no decisions.
package processor

import (
	"bufio"
	"fmt"
	"strconv"
	"time"

	"quincerail.example/quincerail/protocol/lines"
)

// Kind is the first word of a notice.
type Kind string

// The notices.
const (
	Greeting       Kind = "hi"
	RunCompleted Kind = "complete"
	CallRequested      Kind = "ask"
	GaugesRead     Kind = "used"
	HealthChecked    Kind = "tried"
	CommandRejected   Kind = "reject"
	Remark   Kind = "remark"
)

// Notice is what the processor says.
type Notice struct {
	Kind    Kind
	Number  uint64        // of complete, ask and remark
	ID      string        // of complete, ask and reject
	Word    string        // hi: new or old; complete and tried: how it ended; reject: the command
	Took    time.Duration // hi: since the start; complete: of the run
	Tag     string        // of used and tried
	Gauges  []float64     // of used
	Payload []byte        // complete: the result; ask: the call's body
}

// Read reads the next notice. It may be called again after an interrupted read.
func Read(r *bufio.Reader) (Notice, error) {
	words, body, err := lines.Read(r, func(w []string) bool {
		return Kind(w[0]) == RunCompleted && len(w) == 6 || Kind(w[0]) == CallRequested && len(w) == 4
	})
	if err != nil {
		return Notice{}, err
	}
	n := Notice{Kind: Kind(words[0]), Payload: body}
	broken := func() error { return fmt.Errorf("%w: notice %q", lines.ErrMalformed, words) }
	need := map[Kind]int{Greeting: 3, RunCompleted: 5, CallRequested: 4, GaugesRead: 2, HealthChecked: 3, CommandRejected: 3, Remark: 2}[n.Kind]
	if need == 0 || len(words) < need {
		return n, broken()
	}
	number := func(word string) uint64 {
		v, e := strconv.ParseUint(word, 10, 63)
		if e != nil {
			err = broken()
		}
		return v
	}
	millis := func(word string) time.Duration {
		v, e := strconv.ParseFloat(word, 64)
		if e != nil || !(v >= 0 && v < 1e12) {
			err = broken()
		}
		return time.Duration(v * float64(time.Millisecond))
	}
	switch n.Kind {
	case Greeting:
		n.Word, n.Took = words[1], millis(words[2])
	case RunCompleted:
		n.Number, n.ID, n.Word, n.Took = number(words[1]), words[2], words[3], millis(words[4])
	case CallRequested:
		n.Number, n.ID = number(words[1]), words[2]
	case GaugesRead:
		n.Tag = words[1]
		for _, w := range words[2:] {
			v, e := strconv.ParseFloat(w, 64)
			if e != nil {
				err = broken()
			}
			n.Gauges = append(n.Gauges, v)
		}
	case HealthChecked:
		n.Tag, n.Word = words[1], words[2]
	case CommandRejected:
		n.Word, n.ID = words[1], words[2]
	case Remark:
		n.Number = number(words[1])
	}
	return n, err
}

// AppendHello appends the first message on a link: the number of the last notice read.
func AppendHello(to []byte, last uint64) []byte {
	return lines.Append(to, nil, "hello", strconv.FormatUint(last, 10))
}

// AppendStart appends the command to run a request.
func AppendStart(to []byte, id, class string, body []byte) []byte {
	return lines.Append(to, append([]byte{}, body...), "begin", id, class)
}

// AppendCancel appends the command to stop a run.
func AppendCancel(to []byte, id string) []byte { return lines.Append(to, nil, "interrupt", id) }

// AppendCallReply appends the reply to the call that a run waits for.
func AppendCallReply(to []byte, id string, reply []byte) []byte {
	return lines.Append(to, append([]byte{}, reply...), "answer", id)
}

// AppendSkipCall appends the command to go on without the call of a notice.
func AppendSkipCall(to []byte, id string, notice uint64) []byte {
	return lines.Append(to, nil, "without", id, strconv.FormatUint(notice, 10))
}

// AppendReadGauges appends the question for the gauges.
func AppendReadGauges(to []byte, tag string) []byte { return lines.Append(to, nil, "usage", tag) }

// AppendHealthCheck appends the command to do the work of a deep health check.
func AppendHealthCheck(to []byte, tag string) []byte { return lines.Append(to, nil, "trial", tag) }
