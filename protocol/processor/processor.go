// Package processor is the codec of the connection to the processor, the process on the
// same machine that runs requests. It takes no decisions.
package processor

import (
	"bufio"
	"fmt"
	"strconv"
	"time"

	"quincerail.example/quincerail/protocol/lines"
)

// NoticeKind is the first word of a notice.
type NoticeKind string

// The notices, with the platform's words for them.
const (
	Greeting        NoticeKind = "hi"       // the answer to AppendHello
	RunCompleted    NoticeKind = "complete" // a run is over
	CallRequested   NoticeKind = "ask"      // a run waits for a call
	GaugesRead      NoticeKind = "used"     // the answer to AppendReadGauges
	HealthChecked   NoticeKind = "tried"    // the answer to AppendHealthCheck
	CommandRejected NoticeKind = "reject"   // a command was not carried out
	Remark          NoticeKind = "remark"   // a numbered notice without meaning
)

// RunEnd is how a run ended.
type RunEnd string

// The ends of a run, with the platform's words for them.
const (
	RunSucceeded  RunEnd = "good" // with a result
	RunFailed     RunEnd = "bad"
	RunCancelled  RunEnd = "cut"  // it was stopped, or ended at a call as its request is over
	RunNotStarted RunEnd = "gone" // nothing was started, as the request is over
)

// Command is the first word of a command.
type Command string

// The commands, with the platform's words for them.
const (
	Hello       Command = "hello"
	Start       Command = "begin"
	Cancel      Command = "interrupt"
	ReplyToCall Command = "answer"
	SkipCall    Command = "without"
	ReadGauges  Command = "usage"
	CheckHealth Command = "trial"
)

// The platform's words for states.
const (
	wordCold    = "new"
	wordHealthy = "good"
)

// Notice is a message from the processor. Which fields are set depends on its kind.
type Notice struct {
	Kind    NoticeKind
	Number  uint64        // RunCompleted, CallRequested and Remark are numbered in the order of sending
	RunID   string        // RunCompleted, CallRequested, CommandRejected
	Cold    bool          // Greeting: the processor has started anew
	Took    time.Duration // Greeting: since its start; RunCompleted: of the run
	End     RunEnd        // RunCompleted; any word, of which the constants are known
	Tag     string        // GaugesRead, HealthChecked: of the question
	Gauges  []float64     // GaugesRead
	Healthy bool          // HealthChecked
	Command Command       // CommandRejected
	Payload []byte        // RunCompleted: the result; CallRequested: the call's body
}

// minWords is how many words a notice has at least. The length of a payload, the last word,
// is among them for CallRequested, which always has one, and not for RunCompleted.
var minWords = map[NoticeKind]int{
	Greeting: 3, RunCompleted: 5, CallRequested: 4, GaugesRead: 2, HealthChecked: 3, CommandRejected: 3, Remark: 2,
}

// Read reads the next notice. It may be called again after a read that was interrupted. The
// error wraps lines.ErrMalformed where the bytes are not a notice.
func Read(r *bufio.Reader) (Notice, error) {
	words, body, err := lines.Read(r, hasPayload)
	if err != nil {
		return Notice{}, err
	}
	n := Notice{Kind: NoticeKind(words[0]), Payload: body}
	if !n.parse(words) {
		return Notice{}, fmt.Errorf("%w: notice %q", lines.ErrMalformed, words)
	}
	return n, nil
}

// hasPayload reports whether a payload follows a line: its last word is the length then.
func hasPayload(words []string) bool {
	switch NoticeKind(words[0]) {
	case RunCompleted:
		return len(words) == minWords[RunCompleted]+1
	case CallRequested:
		return len(words) == minWords[CallRequested]
	}
	return false
}

// parse sets the fields of a notice from its words. It reports false if they are not those
// of its kind.
func (n *Notice) parse(words []string) bool {
	fewest, known := minWords[n.Kind]
	if !known || len(words) < fewest {
		return false
	}
	var p lines.WordParser
	switch n.Kind {
	case Greeting:
		n.Cold, n.Took = words[1] == wordCold, p.Milliseconds(words[2])
	case RunCompleted:
		n.Number, n.RunID, n.End, n.Took = p.Uint(words[1]), words[2], RunEnd(words[3]), p.Milliseconds(words[4])
	case CallRequested:
		n.Number, n.RunID = p.Uint(words[1]), words[2]
	case GaugesRead:
		n.Tag = words[1]
		for _, word := range words[2:] {
			n.Gauges = append(n.Gauges, p.Float(word))
		}
	case HealthChecked:
		n.Tag, n.Healthy = words[1], words[2] == wordHealthy
	case CommandRejected:
		n.Command, n.RunID = Command(words[1]), words[2]
	case Remark:
		n.Number = p.Uint(words[1])
	}
	return !p.Failed
}

// AppendHello appends the first message on a connection: the number of the last notice
// that was read. The processor sends all later ones again.
func AppendHello(to []byte, lastNotice uint64) []byte {
	return lines.Append(to, nil, string(Hello), strconv.FormatUint(lastNotice, 10))
}

// AppendStart appends the command to run a request. For one that runs already nothing
// happens.
func AppendStart(to []byte, id, class string, body []byte) []byte {
	return lines.Append(to, append([]byte{}, body...), string(Start), id, class)
}

// AppendCancel appends the command to stop a run.
func AppendCancel(to []byte, id string) []byte { return lines.Append(to, nil, string(Cancel), id) }

// AppendCallReply appends the reply to the call that a run waits for.
func AppendCallReply(to []byte, id string, reply []byte) []byte {
	return lines.Append(to, append([]byte{}, reply...), string(ReplyToCall), id)
}

// AppendSkipCall appends the command to go on without the call that a notice asked for.
func AppendSkipCall(to []byte, id string, notice uint64) []byte {
	return lines.Append(to, nil, string(SkipCall), id, strconv.FormatUint(notice, 10))
}

// AppendReadGauges appends the question for the gauges. The answer has the same tag.
func AppendReadGauges(to []byte, tag string) []byte {
	return lines.Append(to, nil, string(ReadGauges), tag)
}

// AppendHealthCheck appends the command to do the work of a deep health check. The answer
// has the same tag.
func AppendHealthCheck(to []byte, tag string) []byte {
	return lines.Append(to, nil, string(CheckHealth), tag)
}
