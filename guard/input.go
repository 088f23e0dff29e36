package guard

// The denials of [MayContinue].
var (
	ErrTooManyInvalid error = &DenialError{"too many invalid messages on the connection"}
	ErrTooManySkipped error = &DenialError{"too many consecutive bytes on the connection without a message"}
)

// Bounds of invalid input. A connection that exceeds one is not read any further. The
// number of invalid messages may exceed the number of valid ones by InitialInvalidMessages,
// up to MaxInvalidMessages.
const (
	MaxInvalidMessages     = 64
	InitialInvalidMessages = 2
	MaxSkippedBytes        = 64 << 10 // consecutive bytes in which no message starts
	InitialSkippedBytes    = 4 << 10  // the same before the first valid message
)

// InputState counts what the owner of a connection has read from it.
type InputState struct {
	ValidMessages   int
	InvalidMessages int
	SkippedBytes    int // consecutive bytes up to now in which no message started
}

// MayContinue decides whether a connection is read further after invalid input. If not, the
// owner answers all open requests and closes the connection.
//
// Inputs: the numbers of valid messages, invalid messages, and consecutive skipped bytes.
// Rule: the connection is read further within the bounds above. Reason: the requests before
// and after an invalid message must still get their responses.
func MayContinue(input InputState) error {
	switch {
	case input.InvalidMessages > min(InitialInvalidMessages+input.ValidMessages, MaxInvalidMessages):
		return ErrTooManyInvalid
	case input.SkippedBytes > MaxSkippedBytes, input.ValidMessages == 0 && input.SkippedBytes > InitialSkippedBytes:
		return ErrTooManySkipped
	}
	return nil
}
