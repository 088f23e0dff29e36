package guard

import "errors"

// The reasons for which a connection takes no more messages.
var (
	ErrTooManyBad = errors.New("guard: too many bad messages on the connection")
	ErrNoMessages = errors.New("guard: what comes on the connection is no messages")
)

// A connection takes messages in spite of bad ones up to these bounds, so that a peer
// which sends nothing else is not read for ever: as many bad ones as good ones came, and
// some more.
const (
	MaxBadMessages   = 64
	FirstBadMessages = 2
	MaxDropped       = 64 << 10 // bytes in a row in which no message begins
	FirstDropped     = 4 << 10  // likewise, where no good message has come
)

// Input is what the owner of a connection knows of input that is no message it can take.
type Input struct {
	GoodMessages int // on the connection so far
	BadMessages  int // likewise
	Dropped      int // bytes in a row in which no message began
}

// MayGoOn decides whether a connection goes on taking messages after one that it can't
// take. It does: the requests before it and behind it are owed their answers whatever
// stands between them. Where it may not, all that is open is answered at once and the
// connection ends, so that nothing more is written to it.
func MayGoOn(input Input) error {
	switch {
	case input.BadMessages > min(FirstBadMessages+input.GoodMessages, MaxBadMessages):
		return ErrTooManyBad
	case input.Dropped > MaxDropped, input.GoodMessages == 0 && input.Dropped > FirstDropped:
		return ErrNoMessages
	}
	return nil
}
