package guard

import "time"

// Connection is what the owner of a connection knows as it would end it.
type Connection struct {
	SocketDrained    bool          // its socket was read empty after the wish to end it
	ResponsesPending bool          // answers are still to go out
	MessagePartial   bool          // a part of a message has come
	IdleFor          time.Duration // since its last byte came
	MessageAge       time.Duration // since the first byte of that message came
	StallTimeout     time.Duration // a message without a further byte for so long is given up
	NoticeRemaining  time.Duration // until its peer has known for long enough that nothing new is wanted
	ProcessEnding    bool          // the process ends: there is no later
}

// MaxMessageTime bounds how long one message may take from its first byte to its last:
// no client waits longer for an answer.
const MaxMessageTime = 10 * time.Second

// HoldReason says why a connection may not be ended yet.
type HoldReason string

// The reasons.
const (
	NotHeld          HoldReason = ""
	SocketNotDrained HoldReason = "unexamined"
	PendingResponses HoldReason = "owed_answers"
	PartialMessage   HoldReason = "partial_message"
	NoticePeriod     HoldReason = "notice_period"
)

// recheckInterval is when to ask again where nothing tells a time.
const recheckInterval = 20 * time.Millisecond

// MayClose decides whether a connection may be ended now. Where it may not, it returns
// the reason, and after how long to ask again.
func MayClose(c Connection) (reason HoldReason, again time.Duration) {
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
