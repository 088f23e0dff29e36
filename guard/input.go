package guard

// The reasons for which a connection is read no further.
var (
	ErrTooManyInvalid error = &DenialError{"too many bad messages on the connection"}
	ErrNoMessages     error = &DenialError{"what comes on the connection is no messages"}
)

// Bounds of invalid input, beyond which a connection is read no further. A connection may
// have as many invalid messages as valid ones and InitialInvalidMessages more, at most
// MaxInvalidMessages.
const (
	MaxInvalidMessages     = 64
	InitialInvalidMessages = 2
	MaxSkippedBytes        = 64 << 10 // in a row, in which no message begins
	InitialSkippedBytes    = 4 << 10  // likewise, before the first valid message
)

// Input is what the owner of a connection knows of the messages that it has read.
type Input struct {
	ValidMessages   int // so far
	InvalidMessages int // so far
	SkippedBytes    int // in a row, in which no message began
}

// MayContinue decides whether a connection is read further after invalid input. If it may
// not, the owner answers all open requests and closes the connection.
//
// Inputs: the numbers of valid and invalid messages, and of bytes skipped in a row. Rule:
// it may, within the bounds above. Reason: the requests before and after an invalid message
// still have to get their responses.
func MayContinue(input Input) error {
	switch {
	case input.InvalidMessages > min(InitialInvalidMessages+input.ValidMessages, MaxInvalidMessages):
		return ErrTooManyInvalid
	case input.SkippedBytes > MaxSkippedBytes, input.ValidMessages == 0 && input.SkippedBytes > InitialSkippedBytes:
		return ErrNoMessages
	}
	return nil
}
