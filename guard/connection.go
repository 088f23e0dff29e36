package guard

import "time"

// ConnectionState is the state of a connection that its owner wants to close.
type ConnectionState struct {
	SocketDrained    bool          // the socket was read empty after the owner decided to close it
	ResponsesPending bool          // some requests were read whose responses are not written yet
	MessagePartial   bool          // the last message was read in part only
	IdleFor          time.Duration // time since the last byte was read
	MessageAge       time.Duration // time since the first byte of the partial message was read
	StallTimeout     time.Duration // a partial message is abandoned when IdleFor reaches this
	NoticeRemaining  time.Duration // time until a notified peer is sure to send no more requests
	ProcessExiting   bool          // the process exits now, so the connection can't be closed later
}

// MaxMessageTime is the maximum time from a message's first byte to its last. It need not be
// longer, because no client waits longer for a response.
const MaxMessageTime = 10 * time.Second

// HoldReason says why a connection may not be closed yet, or a process may not exit yet.
// The values appear in log attributes.
type HoldReason string

// The results of [MayClose]. [MayExit] returns some of them too.
const (
	NotHeld          HoldReason = ""
	SocketNotDrained HoldReason = "unexamined"
	PendingResponses HoldReason = "owed_answers"
	PartialMessage   HoldReason = "partial_message"
	NoticePeriod     HoldReason = "notice_period"
)

// recheckInterval is the time until the next check if the end of the reason can't be predicted.
const recheckInterval = 20 * time.Millisecond

// MayClose decides whether a connection may be closed now. If not, it returns the reason,
// and the time after which to check again.
//
// Inputs: what was read from the socket, which responses are pending, and how much of the
// notice period remains. Rule: the socket must have been drained. Unless the process exits,
// all responses must also have been written, a partial message has until StallTimeout and
// MaxMessageTime to arrive, and a connection without one stays open for the notice period.
// Reason: a request whose bytes have arrived must not be lost, and a peer that was just
// notified may have sent a request that has not arrived yet.
func MayClose(c ConnectionState) (reason HoldReason, retryAfter time.Duration) {
	switch {
	case !c.SocketDrained:
		return SocketNotDrained, 0
	case c.ProcessExiting:
		return NotHeld, 0
	case c.ResponsesPending:
		return PendingResponses, recheckInterval
	case c.MessagePartial && c.IdleFor < c.StallTimeout && c.MessageAge < MaxMessageTime:
		return PartialMessage, min(c.StallTimeout-c.IdleFor, MaxMessageTime-c.MessageAge)
	case !c.MessagePartial && c.NoticeRemaining > 0:
		return NoticePeriod, c.NoticeRemaining
	}
	return NotHeld, 0
}
