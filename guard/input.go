package guard

import "errors"

// The reasons for which a connection takes no more messages.
var (
	ErrTooManyInvalid = errors.New("guard: too many bad messages on the connection")
	ErrNoMessages     = errors.New("guard: what comes on the connection is no messages")
)

// A connection takes messages in spite of bad ones up to these bounds, so that a peer
// which sends nothing else is not read for ever: as many bad ones as good ones came, and
// some more.
const (
	MaxInvalidMessages     = 64
	InitialInvalidMessages = 2
	MaxSkippedBytes        = 64 << 10 // bytes in a row in which no message begins
	InitialSkippedBytes    = 4 << 10  // likewise, where no good message has come
)

// Input is what the owner of a connection knows of input that is no message it can take.
type Input struct {
	ValidMessages   int // on the connection so far
	InvalidMessages int // likewise
	SkippedBytes    int // bytes in a row in which no message began
}

// MayContinue decides whether a connection goes on taking messages after one that it can't
// take. It does: the requests before it and behind it are owed their answers whatever
// stands between them. Where it may not, all that is open is answered at once and the
// connection ends, so that nothing more is written to it.
func MayContinue(input Input) error {
	switch {
	case input.InvalidMessages > min(InitialInvalidMessages+input.ValidMessages, MaxInvalidMessages):
		return ErrTooManyInvalid
	case input.SkippedBytes > MaxSkippedBytes, input.ValidMessages == 0 && input.SkippedBytes > InitialSkippedBytes:
		return ErrNoMessages
	}
	return nil
}
