// Package handover is the codec between two processes of one server while one takes over
// from the other. The predecessor is the process that serves already, the successor the one
// that takes over. It takes no decisions.
package handover

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"strconv"

	"quincerail.example/quincerail/idempotency"
	"quincerail.example/quincerail/protocol/lines"
)

// Kind is the first word of a message. Versions of the program that run side by side must
// understand each other, so the words never change.
type Kind string

// The messages.
const (
	Key             Kind = "key"   // both: the state of an idempotency key
	Claim           Kind = "claim" // the successor asks whether it may run an attempt
	Grant           Kind = "grant" // the predecessor: it may
	Deny            Kind = "deny"  // the predecessor: it may not
	Next            Kind = "next"  // the successor asks for the next part of the keys
	Part            Kind = "part"  // the predecessor: all keys of a part were sent
	TrafficDisabled Kind = "away"  // both: whether operators have disabled traffic
)

// Message is a message that was read. Which fields are set depends on its kind.
type Message struct {
	Kind         Kind
	State        idempotency.KeyState // Key, Claim
	RanAttemptID string               // Grant, Deny
	On           bool                 // Part: it was the last; TrafficDisabled: traffic is disabled
}

// none stands for an attempt id where there is none.
const none = "-"

// minWords is how many words a message has at least, without the length of a body.
var minWords = map[Kind]int{Key: 7, Claim: 7, Grant: 2, Deny: 2, Next: 1, Part: 2, TrafficDisabled: 2}

// Read reads the next message. It may be called again after a read that was interrupted.
// The error wraps lines.ErrMalformed where the bytes are not a message.
func Read(r *bufio.Reader) (Message, error) {
	words, body, err := lines.Read(r, func(w []string) bool { return Kind(w[0]) == Key && len(w) == minWords[Key]+1 })
	if err != nil {
		return Message{}, err
	}
	m := Message{Kind: Kind(words[0])}
	if !m.parse(words, body) {
		return Message{}, fmt.Errorf("%w: message %q", lines.ErrMalformed, words)
	}
	return m, nil
}

// parse sets the fields of a message. It reports false if the words are not those of its
// kind.
func (m *Message) parse(words []string, body []byte) bool {
	fewest, known := minWords[m.Kind]
	if !known || len(words) < fewest {
		return false
	}
	var p lines.WordParser
	switch m.Kind {
	case Key:
		m.State = parseState(&p, words)
		m.State.Completed = p.Bool(words[6])
		if body != nil {
			m.State.Result = &idempotency.Payload{Body: body}
		}
	case Claim:
		m.State = parseState(&p, words)
		m.State.ArrivedAt = p.UnixNano(words[6])
	case Grant, Deny:
		m.RanAttemptID = words[1]
	case Part, TrafficDisabled:
		m.On = p.Bool(words[1])
	}
	return !p.Failed
}

// parseState reads what Key and Claim have in common.
func parseState(p *lines.WordParser, words []string) idempotency.KeyState {
	state := idempotency.KeyState{
		Key: p.HexString(words[1]), Class: p.HexString(words[2]), BodyHash: p.HexUint(words[3]),
		RanAttemptID: words[4], ExpiresAt: p.UnixNano(words[5]),
	}
	if state.RanAttemptID == none {
		state.RanAttemptID = ""
	}
	return state
}

// stateWords returns the words of Key or Claim; last is the one that differs.
func stateWords(kind Kind, k idempotency.KeyState, last string) []string {
	ran := k.RanAttemptID
	if ran == "" {
		ran = none
	}
	return []string{
		string(kind), hex.EncodeToString([]byte(k.Key)), hex.EncodeToString([]byte(k.Class)), strconv.FormatUint(k.BodyHash, 16), ran,
		strconv.FormatInt(k.ExpiresAt.UnixNano(), 10), last,
	}
}

// AppendKey appends the state of a key. A result that has fields, or is too large, is left
// out; retries of its request fail then.
func AppendKey(to []byte, k idempotency.KeyState) []byte {
	var body []byte
	if r := k.Result; r != nil && len(r.Fields) == 0 && len(r.Body) <= lines.MaxBody {
		body = append([]byte{}, r.Body...)
	}
	return lines.Append(to, body, stateWords(Key, k, strconv.FormatBool(k.Completed))...)
}

// AppendClaim appends the question whether an attempt may run.
func AppendClaim(to []byte, k idempotency.KeyState) []byte {
	return lines.Append(to, nil, stateWords(Claim, k, strconv.FormatInt(k.ArrivedAt.UnixNano(), 10))...)
}

// AppendClaimReply appends the answer to AppendClaim.
func AppendClaimReply(to []byte, ran string, granted bool) []byte {
	kind := Deny
	if granted {
		kind = Grant
	}
	return lines.Append(to, nil, string(kind), ran)
}

// AppendNext asks for the next part of the keys.
func AppendNext(to []byte) []byte { return lines.Append(to, nil, string(Next)) }

// AppendPart appends that all keys of a part were sent, and whether it was the last part.
func AppendPart(to []byte, last bool) []byte {
	return lines.Append(to, nil, string(Part), strconv.FormatBool(last))
}

// AppendTrafficDisabled appends whether operators have disabled traffic.
func AppendTrafficDisabled(to []byte, on bool) []byte {
	return lines.Append(to, nil, string(TrafficDisabled), strconv.FormatBool(on))
}
