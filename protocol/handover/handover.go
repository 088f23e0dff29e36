// Package handover is the codec between two processes of one app server while
// the younger takes over from the elder. It takes no decisions.
package handover

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/protocol/lines"
)

// Kind is the first word of a message.
type Kind string

// The messages.
const (
	Key   Kind = "key"   // both: what has become of a key
	Claim Kind = "claim" // the younger: may this try run?
	Grant Kind = "grant" // the elder: it may
	Deny  Kind = "deny"  // the elder: it may not
	Next  Kind = "next"  // the younger: the next part of the keys, please
	Part  Kind = "part"  // the elder: a part has been told
	TrafficDisabled  Kind = "away"  // both: what operators have said
)

// Message is a message that was read.
type Message struct {
	Kind  Kind
	State dispatch.KeyState // of key and claim
	RanAttemptID   string            // of grant and deny
	On    bool              // of part: it was the last; of away: callers are sent away
}

// none stands for an id that there is none of.
const none = "-"

// Read reads the next message. It may be called again after an interrupted read.
func Read(r *bufio.Reader) (Message, error) {
	words, body, err := lines.Read(r, func(w []string) bool { return Kind(w[0]) == Key && len(w) == 8 })
	if err != nil {
		return Message{}, err
	}
	m := Message{Kind: Kind(words[0])}
	broken := fmt.Errorf("%w: message %q", lines.ErrMalformed, words)
	if len(words) < map[Kind]int{Key: 7, Claim: 7, Grant: 2, Deny: 2, Next: 1, Part: 2, TrafficDisabled: 2}[m.Kind] {
		return m, broken
	}
	moment := func(word string) time.Time {
		ns, e := strconv.ParseInt(word, 10, 64)
		if e != nil {
			err = broken
		}
		return time.Unix(0, ns)
	}
	truth := func(word string) bool {
		b, e := strconv.ParseBool(word)
		if e != nil {
			err = broken
		}
		return b
	}
	switch m.Kind {
	case Key, Claim:
		key, e := hex.DecodeString(words[1])
		class, e2 := hex.DecodeString(words[2])
		hash, e3 := strconv.ParseUint(words[3], 16, 64)
		if e != nil || e2 != nil || e3 != nil {
			return m, broken
		}
		m.State = dispatch.KeyState{Key: string(key), Class: string(class), BodyHash: hash, RanAttemptID: words[4], ExpiresAt: moment(words[5])}
		if m.State.RanAttemptID == none {
			m.State.RanAttemptID = ""
		}
		if m.Kind == Claim {
			m.State.ArrivedAt = moment(words[6])
		} else {
			m.State.Completed = truth(words[6])
		}
		if body != nil {
			m.State.Result = &dispatch.Payload{Body: body}
		}
	case Grant, Deny:
		m.RanAttemptID = words[1]
	case Part, TrafficDisabled:
		m.On = truth(words[1])
	case Next:
	default:
		err = broken
	}
	return m, err
}

func words(kind Kind, k dispatch.KeyState, last string) []string {
	ran := k.RanAttemptID
	if ran == "" {
		ran = none
	}
	return []string{
		string(kind), hex.EncodeToString([]byte(k.Key)), hex.EncodeToString([]byte(k.Class)), strconv.FormatUint(k.BodyHash, 16), ran,
		strconv.FormatInt(k.ExpiresAt.UnixNano(), 10), last,
	}
}

// AppendKey appends what has become of a key. A result that the form has no room
// for is left out; its repeats fail then.
func AppendKey(to []byte, k dispatch.KeyState) []byte {
	var body []byte
	if r := k.Result; r != nil && len(r.Fields) == 0 && len(r.Body) <= lines.MaxBody {
		body = append([]byte{}, r.Body...)
	}
	return lines.Append(to, body, words(Key, k, strconv.FormatBool(k.Completed))...)
}

// AppendClaim appends the question whether a try may run.
func AppendClaim(to []byte, k dispatch.KeyState) []byte {
	return lines.Append(to, nil, words(Claim, k, strconv.FormatInt(k.ArrivedAt.UnixNano(), 10))...)
}

// AppendClaimReply appends the answer to that.
func AppendClaimReply(to []byte, ran string, granted bool) []byte {
	kind := Deny
	if granted {
		kind = Grant
	}
	return lines.Append(to, nil, string(kind), ran)
}

// AppendNext appends the wish for the next part of the keys.
func AppendNext(to []byte) []byte { return lines.Append(to, nil, string(Next)) }

// AppendPart appends that a part of the keys has been told, and whether it was the last.
func AppendPart(to []byte, last bool) []byte {
	return lines.Append(to, nil, string(Part), strconv.FormatBool(last))
}

// AppendTrafficDisabled appends whether operators have callers sent away.
func AppendTrafficDisabled(to []byte, on bool) []byte {
	return lines.Append(to, nil, string(TrafficDisabled), strconv.FormatBool(on))
}
