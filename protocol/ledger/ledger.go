// Package ledger is the codec of the calls to the ledger. It takes no decisions.
package ledger

import (
	"bufio"
	"fmt"
	"strconv"
	"time"

	"quincerail.example/quincerail/protocol/lines"
)

// Status is the word of a reply.
type Status string

// The replies.
const (
	Succeeded    Status = "posted"
	Rejected Status = "queue_full"
	Failed   Status = "error"
	TimedOut   Status = "expired"
	NotStarted      Status = "moot"
)

// Reply is a call's reply.
type Reply struct {
	ID     string
	Status Status
	Body   []byte // of posted
}

// Read reads the next reply. It may be called again after an interrupted read.
func Read(r *bufio.Reader) (Reply, error) {
	words, body, err := lines.Read(r, func(w []string) bool {
		return len(w) == 3 && Status(w[1]) == Succeeded
	})
	if err != nil {
		return Reply{}, err
	}
	if len(words) < 2 {
		return Reply{}, fmt.Errorf("%w: reply %q", lines.ErrMalformed, words)
	}
	reply := Reply{ID: words[0], Status: Status(words[1]), Body: body}
	switch reply.Status {
	case Rejected, Failed, TimedOut, NotStarted:
		return reply, nil
	case Succeeded:
		if body != nil {
			return reply, nil
		}
	}
	return Reply{}, fmt.Errorf("%w: reply %q", lines.ErrMalformed, words)
}

// AppendPost appends a call, with how long its caller will wait.
func AppendPost(to []byte, id string, wait time.Duration, body []byte) []byte {
	ms := max(1, wait.Milliseconds())
	return lines.Append(to, append([]byte{}, body...), "post", id, strconv.FormatInt(ms, 10))
}

// AppendAbandon appends that a call is given up.
func AppendAbandon(to []byte, id string) []byte { return lines.Append(to, nil, "abandon", id) }
