// Package ledger is the codec of the calls to the shared dependency, which the platform calls
// the ledger. The package doesn't decide when to call it, or what a failure means.
package ledger

import (
	"bufio"
	"fmt"
	"strconv"
	"time"

	"quincerail.example/quincerail/protocol/lines"
)

// Status is how a call ended: the second word of its reply.
type Status string

// The statuses and the words that the platform uses for them.
const (
	Succeeded  Status = "posted"     // the reply has a body
	Rejected   Status = "queue_full" // the call did not run
	Failed     Status = "error"      // the call may have taken effect
	TimedOut   Status = "expired"    // the call may have taken effect
	NotStarted Status = "moot"       // the call did not run, because its caller no longer waited for it
)

// The first words of the messages to the shared dependency.
const (
	wordCall   = "post"
	wordCancel = "abandon"
)

// Reply is the reply to a call.
type Reply struct {
	ID     string
	Status Status
	Body   []byte // nil unless Status is Succeeded
}

// wordsWithBody is the number of words of a reply that has a body: the id, the status and the
// body's length.
const wordsWithBody = 3

// Read reads the next reply. Callers may retry it after a read error such as a timeout. The
// error wraps lines.ErrMalformed if the bytes are not a reply.
func Read(r *bufio.Reader) (Reply, error) {
	words, body, err := lines.Read(r, func(w []string) bool {
		return len(w) == wordsWithBody && Status(w[1]) == Succeeded
	})
	if err != nil {
		return Reply{}, err
	}
	if len(words) < 2 || !validStatus(Status(words[1]), body != nil) {
		return Reply{}, fmt.Errorf("%w: reply %q", lines.ErrMalformed, words)
	}
	return Reply{ID: words[0], Status: Status(words[1]), Body: body}, nil
}

// validStatus reports whether s is a known status. Succeeded is valid only in a reply with a
// body.
func validStatus(s Status, hasBody bool) bool {
	switch s {
	case Succeeded:
		return hasBody
	case Rejected, Failed, TimedOut, NotStarted:
		return true
	}
	return false
}

// AppendCall appends a call to dst. timeout is how long the caller waits for the reply; it is
// encoded in whole milliseconds, with a minimum of 1.
func AppendCall(dst []byte, id string, timeout time.Duration, body []byte) []byte {
	ms := max(1, timeout.Milliseconds())
	return lines.Append(dst, append([]byte{}, body...), wordCall, id, strconv.FormatInt(ms, 10))
}

// AppendCancel appends to dst the message that cancels a call.
func AppendCancel(dst []byte, id string) []byte { return lines.Append(dst, nil, wordCancel, id) }
