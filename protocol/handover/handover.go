// Package handover is the codec of the connection between two processes of one server during
// a handover. The predecessor is the process that is already serving; the successor is the
// process that takes over. The package doesn't decide whether a claim is granted.
package handover

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"strconv"

	"quincerail.example/quincerail/idempotency"
	"quincerail.example/quincerail/protocol/lines"
)

// Kind is the first word of a message. The words must not change, because the predecessor and
// the successor may run different versions of the program.
type Kind string

// The kinds of messages, and which process sends them.
const (
	Key             Kind = "key"   // both: the state of an idempotency key
	Claim           Kind = "claim" // successor: asks whether it may run an attempt
	Grant           Kind = "grant" // predecessor: the successor may run the attempt
	Deny            Kind = "deny"  // predecessor: the successor must not run the attempt
	NextBatch       Kind = "next"  // successor: requests the next batch of keys
	BatchEnd        Kind = "part"  // predecessor: all keys of a batch were sent
	TrafficDisabled Kind = "away"  // both: whether operators have disabled traffic
)

// Message is a decoded message. Which fields are set depends on its kind.
type Message struct {
	Kind         Kind
	State        idempotency.KeyState // Key, Claim
	RanAttemptID string               // Grant, Deny
	Flag         bool                 // BatchEnd: it was the last batch; TrafficDisabled: traffic is disabled
}

// noAttemptID stands for an absent attempt id, because a word can't be empty.
const noAttemptID = "-"

// minWords is the minimum number of words of each kind of message, without the length of an
// optional body.
var minWords = map[Kind]int{Key: 7, Claim: 7, Grant: 2, Deny: 2, NextBatch: 1, BatchEnd: 2, TrafficDisabled: 2}

// Read reads the next message. Callers may retry it after a read error such as a timeout. The
// error wraps lines.ErrMalformed if the bytes are not a message.
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

// parse sets the message's fields from the words of its line and its body, and reports
// whether the words are valid for its kind.
func (m *Message) parse(words []string, body []byte) bool {
	minCount, known := minWords[m.Kind]
	if !known || len(words) < minCount {
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
	case BatchEnd, TrafficDisabled:
		m.Flag = p.Bool(words[1])
	}
	return !p.Failed
}

// parseState parses the words that Key and Claim have in common.
func parseState(p *lines.WordParser, words []string) idempotency.KeyState {
	state := idempotency.KeyState{
		Key: p.HexString(words[1]), Class: p.HexString(words[2]), BodyHash: p.HexUint(words[3]),
		RanAttemptID: words[4], ExpiresAt: p.UnixNano(words[5]),
	}
	if state.RanAttemptID == noAttemptID {
		state.RanAttemptID = ""
	}
	return state
}

// stateWords returns the words of a Key or Claim message. lastWord is the word that the two
// kinds don't have in common.
func stateWords(kind Kind, k idempotency.KeyState, lastWord string) []string {
	attemptID := k.RanAttemptID
	if attemptID == "" {
		attemptID = noAttemptID
	}
	return []string{
		string(kind), hex.EncodeToString([]byte(k.Key)), hex.EncodeToString([]byte(k.Class)), strconv.FormatUint(k.BodyHash, 16), attemptID,
		strconv.FormatInt(k.ExpiresAt.UnixNano(), 10), lastWord,
	}
}

// AppendKey appends to dst the message with the state of a key. It omits a result that has
// fields, or a body larger than lines.MaxBody; retries of the request then fail.
func AppendKey(dst []byte, k idempotency.KeyState) []byte {
	var body []byte
	if r := k.Result; r != nil && len(r.Fields) == 0 && len(r.Body) <= lines.MaxBody {
		body = append([]byte{}, r.Body...)
	}
	return lines.Append(dst, body, stateWords(Key, k, strconv.FormatBool(k.Completed))...)
}

// AppendClaim appends to dst the message that asks whether an attempt may run.
func AppendClaim(dst []byte, k idempotency.KeyState) []byte {
	return lines.Append(dst, nil, stateWords(Claim, k, strconv.FormatInt(k.ArrivedAt.UnixNano(), 10))...)
}

// AppendClaimReply appends to dst the reply to a claim.
func AppendClaimReply(dst []byte, attemptID string, granted bool) []byte {
	kind := Deny
	if granted {
		kind = Grant
	}
	return lines.Append(dst, nil, string(kind), attemptID)
}

// AppendNextBatch appends to dst the message that requests the next batch of keys.
func AppendNextBatch(dst []byte) []byte { return lines.Append(dst, nil, string(NextBatch)) }

// AppendBatchEnd appends to dst the message that ends a batch of keys. isLast reports whether
// it is the last batch.
func AppendBatchEnd(dst []byte, isLast bool) []byte {
	return lines.Append(dst, nil, string(BatchEnd), strconv.FormatBool(isLast))
}

// AppendTrafficDisabled appends to dst the message that states whether operators have disabled
// traffic.
func AppendTrafficDisabled(dst []byte, disabled bool) []byte {
	return lines.Append(dst, nil, string(TrafficDisabled), strconv.FormatBool(disabled))
}
