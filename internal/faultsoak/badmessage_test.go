package faultsoak

import (
	"fmt"
	"testing"
	"time"
)

// Numbers of requests before and after a bad message on one connection, and the duration of
// their runs.
const (
	beforeBadMessage      = 4
	afterBadMessage       = 8
	badMessageRunDuration = 250 * time.Millisecond
)

// A bad message on a connection, with or without open requests, must not prevent the answer to
// any request before or after it.
func TestBadMessage_OtherRequestsOnConnectionAreAnswered(t *testing.T) {
	for _, before := range []int{0, beforeBadMessage} {
		for _, bad := range badMessages {
			t.Run(fmt.Sprintf("%s after %d requests", bad.Name, before), func(t *testing.T) {
				t.Parallel()
				b := newTestNodeWithRunDuration(t, badMessageRunDuration)
				c := b.dial()
				b.sendSeveral(c, "before", before)
				message := bad.Append(c.NextSeq(bad.TakesSeq))
				b.send(c, RequestSpec{Body: "page in the same write", Write: writeTogether(message)})
				b.sendSeveral(c, "after", afterBadMessage-1)
				c.AwaitAnswers()
				report := b.checkRules()
				if answered := countAnswers(report); answered != before+afterBadMessage {
					t.Errorf("the client received %d answers, want %d", answered, before+afterBadMessage)
				}
			})
		}
	}
}

// sendSeveral sends n requests with a short pause after each.
func (b *testNode) sendSeveral(c *Client, name string, n int) {
	b.Helper()
	const interval = 15 * time.Millisecond
	for i := range n {
		b.send(c, RequestSpec{Body: fmt.Sprint("page ", name, " ", i)})
		time.Sleep(interval)
	}
}

// writeTogether returns a RequestSpec.Write that writes before and the message in one call.
func writeTogether(before []byte) func(write func([]byte) error, message []byte) error {
	return func(write func([]byte) error, message []byte) error {
		return write(append(append([]byte(nil), before...), message...))
	}
}

// countAnswers returns the number of answers of all kinds in a report.
func countAnswers(report Report) (n int) {
	for _, kind := range report.Outcomes {
		n += kind
	}
	return n
}
