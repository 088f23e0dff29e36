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
	Hi       Kind = "hi"
	Complete Kind = "complete"
	Ask      Kind = "ask"
	Used     Kind = "used"
	Tried    Kind = "tried"
	Reject   Kind = "reject"
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
		return Kind(w[0]) == Complete && len(w) == 6 || Kind(w[0]) == Ask && len(w) == 4
	})
	if err != nil {
		return Notice{}, err
	}
	n := Notice{Kind: Kind(words[0]), Payload: body}
	broken := func() error { return fmt.Errorf("%w: notice %q", lines.ErrBroken, words) }
	need := map[Kind]int{Hi: 3, Complete: 5, Ask: 4, Used: 2, Tried: 3, Reject: 3, Remark: 2}[n.Kind]
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
	case Hi:
		n.Word, n.Took = words[1], millis(words[2])
	case Complete:
		n.Number, n.ID, n.Word, n.Took = number(words[1]), words[2], words[3], millis(words[4])
	case Ask:
		n.Number, n.ID = number(words[1]), words[2]
	case Used:
		n.Tag = words[1]
		for _, w := range words[2:] {
			v, e := strconv.ParseFloat(w, 64)
			if e != nil {
				err = broken()
			}
			n.Gauges = append(n.Gauges, v)
		}
	case Tried:
		n.Tag, n.Word = words[1], words[2]
	case Reject:
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

// AppendBegin appends the command to run a request.
func AppendBegin(to []byte, id, class string, body []byte) []byte {
	return lines.Append(to, append([]byte{}, body...), "begin", id, class)
}

// AppendInterrupt appends the command to stop a run.
func AppendInterrupt(to []byte, id string) []byte { return lines.Append(to, nil, "interrupt", id) }

// AppendAnswer appends the reply to the call that a run waits for.
func AppendAnswer(to []byte, id string, reply []byte) []byte {
	return lines.Append(to, append([]byte{}, reply...), "answer", id)
}

// AppendWithout appends the command to go on without the call of a notice.
func AppendWithout(to []byte, id string, notice uint64) []byte {
	return lines.Append(to, nil, "without", id, strconv.FormatUint(notice, 10))
}

// AppendUsage appends the question for the gauges.
func AppendUsage(to []byte, tag string) []byte { return lines.Append(to, nil, "usage", tag) }

// AppendTrial appends the command to do the work of a deep health check.
func AppendTrial(to []byte, tag string) []byte { return lines.Append(to, nil, "trial", tag) }
