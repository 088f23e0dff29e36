// Package processor is the codec of the connection to the processor, the process on the same
// machine that runs requests. The server sends commands and the processor sends notices. The
// package doesn't decide when to send a command, or what follows from a notice.
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

// The kinds of notices and the words that the platform uses for them.
const (
	Greeting        NoticeKind = "hi"       // the reply to Hello
	RunCompleted    NoticeKind = "complete" // a run has ended
	CallRequested   NoticeKind = "ask"      // a run waits for a downstream call
	GaugesRead      NoticeKind = "used"     // the reply to ReadGauges
	HealthChecked   NoticeKind = "tried"    // the reply to CheckHealth
	CommandRejected NoticeKind = "reject"   // a command was not executed
	Remark          NoticeKind = "remark"   // has a number, but no meaning for the server
)

// RunStatus is how a run ended.
type RunStatus string

// The statuses of a run and the words that the platform uses for them.
const (
	RunSucceeded  RunStatus = "good" // with a result
	RunFailed     RunStatus = "bad"
	RunCancelled  RunStatus = "cut"  // cancelled, or ended at a call because its request is over
	RunNotStarted RunStatus = "gone" // not started, because its request is over
)

// Command is the first word of a command.
type Command string

// The commands and the words that the platform uses for them.
const (
	Hello       Command = "hello"
	Start       Command = "begin"
	Cancel      Command = "interrupt"
	ReplyToCall Command = "answer"
	SkipCall    Command = "without"
	ReadGauges  Command = "usage"
	CheckHealth Command = "trial"
)

// Words that the platform uses in notices.
const (
	wordCold    = "new"  // in Greeting
	wordHealthy = "good" // in HealthChecked
)

// Notice is a message from the processor. Which fields are set depends on its kind.
type Notice struct {
	Kind    NoticeKind
	Number  uint64        // RunCompleted, CallRequested, Remark: they are numbered in the order of sending
	RunID   string        // RunCompleted, CallRequested, CommandRejected
	Cold    bool          // Greeting: the processor has restarted
	Elapsed time.Duration // Greeting: time since the processor's start; RunCompleted: duration of the run
	Status  RunStatus     // RunCompleted: may be a word other than the constants
	Tag     string        // GaugesRead, HealthChecked: the tag of the command
	Gauges  []float64     // GaugesRead: in the processor's order
	Healthy bool          // HealthChecked
	Command Command       // CommandRejected
	Payload []byte        // RunCompleted: the result; CallRequested: the call's body
}

// minWords is the minimum number of words of each kind of notice. The payload's length, which
// is the last word, is counted for CallRequested, where the payload is mandatory, but not for
// RunCompleted, where it is optional.
var minWords = map[NoticeKind]int{
	Greeting: 3, RunCompleted: 5, CallRequested: 4, GaugesRead: 2, HealthChecked: 3, CommandRejected: 3, Remark: 2,
}

// Read reads the next notice. Callers may retry it after a read error such as a timeout. The
// error wraps lines.ErrMalformed if the bytes are not a notice.
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

// hasPayload reports whether a payload follows the line. The last word is then its length.
func hasPayload(words []string) bool {
	switch NoticeKind(words[0]) {
	case RunCompleted:
		return len(words) == minWords[RunCompleted]+1
	case CallRequested:
		return len(words) == minWords[CallRequested]
	}
	return false
}

// parse sets the notice's fields from the words of its line, and reports whether the words
// are valid for its kind.
func (n *Notice) parse(words []string) bool {
	minCount, known := minWords[n.Kind]
	if !known || len(words) < minCount {
		return false
	}
	var p lines.WordParser
	switch n.Kind {
	case Greeting:
		n.Cold, n.Elapsed = words[1] == wordCold, p.Milliseconds(words[2])
	case RunCompleted:
		n.Number, n.RunID, n.Status, n.Elapsed = p.Uint(words[1]), words[2], RunStatus(words[3]), p.Milliseconds(words[4])
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

// AppendHello appends to dst the first message of a connection. lastNotice is the number of
// the last notice that was read; the processor sends all later ones again.
func AppendHello(dst []byte, lastNotice uint64) []byte {
	return lines.Append(dst, nil, string(Hello), strconv.FormatUint(lastNotice, 10))
}

// AppendStart appends to dst the command that starts a run. The command has no effect if the
// run has already started.
func AppendStart(dst []byte, id, class string, body []byte) []byte {
	return lines.Append(dst, append([]byte{}, body...), string(Start), id, class)
}

// AppendCancel appends to dst the command that cancels a run.
func AppendCancel(dst []byte, id string) []byte { return lines.Append(dst, nil, string(Cancel), id) }

// AppendCallReply appends to dst the command with the reply to the downstream call that a run
// waits for.
func AppendCallReply(dst []byte, id string, reply []byte) []byte {
	return lines.Append(dst, append([]byte{}, reply...), string(ReplyToCall), id)
}

// AppendSkipCall appends to dst the command that continues a run without its downstream call.
// notice is the number of the notice that requested the call.
func AppendSkipCall(dst []byte, id string, notice uint64) []byte {
	return lines.Append(dst, nil, string(SkipCall), id, strconv.FormatUint(notice, 10))
}

// AppendReadGauges appends to dst the command that requests the gauges. The reply has the same
// tag.
func AppendReadGauges(dst []byte, tag string) []byte {
	return lines.Append(dst, nil, string(ReadGauges), tag)
}

// AppendHealthCheck appends to dst the command that does the work of a deep health check. The
// reply has the same tag.
func AppendHealthCheck(dst []byte, tag string) []byte {
	return lines.Append(dst, nil, string(CheckHealth), tag)
}
