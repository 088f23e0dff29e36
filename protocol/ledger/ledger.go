// Package ledger is the codec of the calls to the shared dependency, which the platform
// calls the ledger. It takes no decisions.
package ledger

import (
	"bufio"
	"fmt"
	"strconv"
	"time"

	"quincerail.example/quincerail/protocol/lines"
)

// Status is how a call ended, as a reply's second word has it.
type Status string

// The statuses, with the platform's words for them.
const (
	Succeeded  Status = "posted"     // the reply's body follows
	Rejected   Status = "queue_full" // it never ran
	Failed     Status = "error"      // it may have had its effect
	TimedOut   Status = "expired"    // it may have had its effect
	NotStarted Status = "moot"       // nobody waits for it: it never ran
)

// The platform's words for the calls.
const (
	wordCall    = "post"
	wordAbandon = "abandon"
)

// Reply is the reply to a call.
type Reply struct {
	ID     string
	Status Status
	Body   []byte // of a call that succeeded; else nil
}

// wordsWithBody is how many words a reply has whose body follows: the id, the status and the
// body's length.
const wordsWithBody = 3

// Read reads the next reply. It may be called again after a read that was interrupted. The
// error wraps lines.ErrMalformed where the bytes are not a reply.
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

// validStatus reports whether a status is known, and has a body if it needs one.
func validStatus(s Status, hasBody bool) bool {
	switch s {
	case Succeeded:
		return hasBody
	case Rejected, Failed, TimedOut, NotStarted:
		return true
	}
	return false
}

// AppendPost appends a call, with how long its caller will wait: in whole milliseconds, at
// least one.
func AppendPost(to []byte, id string, wait time.Duration, body []byte) []byte {
	ms := max(1, wait.Milliseconds())
	return lines.Append(to, append([]byte{}, body...), wordCall, id, strconv.FormatInt(ms, 10))
}

// AppendAbandon appends that a call is given up.
func AppendAbandon(to []byte, id string) []byte { return lines.Append(to, nil, wordAbandon, id) }
