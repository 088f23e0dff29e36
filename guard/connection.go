package guard

import "time"

// Connection is what the owner of a connection knows as it would end it.
type Connection struct {
	Examined   bool          // its socket was read empty after the wish to end it
	Owed       bool          // answers are still to go out
	Partial    bool          // a part of a message has come
	SilentFor  time.Duration // since its last byte came
	PartialFor time.Duration // since the first byte of that message came
	Stalled    time.Duration // a message without a further byte for so long is given up
	NoticeLeft time.Duration // until its peer has known for long enough that nothing new is wanted
	Last       bool          // the process ends: there is no later
}

// MaxMessage bounds how long one message may take from its first byte to its last:
// no client waits longer for an answer.
const MaxMessage = 10 * time.Second

// KeptFor says why a connection may not be ended yet.
type KeptFor string

// The reasons.
const (
	Nothing        KeptFor = ""
	Unexamined     KeptFor = "unexamined"
	OwedAnswers    KeptFor = "owed_answers"
	PartialMessage KeptFor = "partial_message"
	NoticePeriod   KeptFor = "notice_period"
)

// lookAgain is when to ask again where nothing tells a time.
const lookAgain = 20 * time.Millisecond

// MayEnd decides whether a connection may be ended now. Where it may not, it returns
// the reason, and after how long to ask again.
func MayEnd(c Connection) (reason KeptFor, again time.Duration) {
	switch {
	case !c.Examined:
		return Unexamined, 0
	case c.Last:
		return Nothing, 0
	case c.Owed:
		return OwedAnswers, lookAgain
	case c.Partial && c.SilentFor < c.Stalled && c.PartialFor < MaxMessage:
		return PartialMessage, min(c.Stalled-c.SilentFor, MaxMessage-c.PartialFor)
	case !c.Partial && c.NoticeLeft > 0:
		return NoticePeriod, c.NoticeLeft
	}
	return Nothing, 0
}
