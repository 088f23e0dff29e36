package guard

import "time"

// Connection is what the owner of a connection knows when it would close it.
type Connection struct {
	SocketDrained    bool          // the socket was read empty after the decision to close it
	ResponsesPending bool          // requests were read whose responses are not written
	MessagePartial   bool          // a part of a message was read
	IdleFor          time.Duration // since the last byte was read
	MessageAge       time.Duration // since the first byte of the partial message was read
	StallTimeout     time.Duration // a partial message is given up after so long without a further byte
	NoticeRemaining  time.Duration // until the peer was notified long enough ago to send no more requests
	ProcessEnding    bool          // the process exits: the connection can't be closed later
}

// MaxMessageTime bounds how long one message may take from its first byte to its last:
// no client waits longer for a response.
const MaxMessageTime = 10 * time.Second

// HoldReason says why a connection may not be closed yet, or a process may not exit yet.
// Its values are attributes of log events.
type HoldReason string

// The reasons.
const (
	NotHeld          HoldReason = ""
	SocketNotDrained HoldReason = "unexamined"
	PendingResponses HoldReason = "owed_answers"
	PartialMessage   HoldReason = "partial_message"
	NoticePeriod     HoldReason = "notice_period"
)

// recheckInterval is when to ask again where no time is known.
const recheckInterval = 20 * time.Millisecond

// MayClose decides whether a connection may be closed now. If it may not, it returns the
// reason, and after how long to ask again.
//
// Inputs: what was read from the socket, what is still to be written, and when the peer
// was notified. Rule: the socket has to be drained; then, unless the process exits, all
// responses are written first, a partial message gets its time to arrive, and an idle
// connection stays open for the notice period. Reason: a request whose bytes have arrived
// must not be lost, and a peer that was just notified may have a request on the way.
func MayClose(c Connection) (reason HoldReason, retryAfter time.Duration) {
	switch {
	case !c.SocketDrained:
		return SocketNotDrained, 0
	case c.ProcessEnding:
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
