package thrift

// sequenceOrder is how the sequence number of a call follows those before it.
type sequenceOrder int

const (
	inOrder    sequenceOrder = iota // the next number, or one that an earlier call left out
	outOfOrder                      // numbers before it are missing, or it is out of bounds
	duplicate                       // it was used before: an answer would be the second to one number
)

// sequenceWindow is how many of the last numbers a sequence remembers, and how far a call may
// be ahead of them: the bits of sequence.received.
const sequenceWindow = 64

// sequence tracks the sequence numbers of the calls on one connection, which start at 1 and
// count up. Its zero value is ready for use.
type sequence struct {
	highest       int32  // of the calls
	received      uint64 // bit i is set if highest-i was received
	highestOneway int32  // of the oneway messages that continued the count; may be below highest
}

// oneway takes the number of a oneway message. Some peers count these along with the calls,
// others don't: both are in order.
func (s *sequence) oneway(number int32) {
	if number == max(s.highest, s.highestOneway)+1 {
		s.highestOneway = number
	}
}

// call takes the number of a call, and returns how it follows.
func (s *sequence) call(number int32) sequenceOrder {
	ahead := int64(number) - int64(s.highest)
	switch {
	case ahead > sequenceWindow, number < 1:
		return outOfOrder
	case ahead > 0:
		return s.advance(number, ahead)
	case ahead <= -sequenceWindow || s.received>>-ahead&1 == 1:
		return duplicate
	}
	s.received |= 1 << -ahead
	return inOrder
}

// advance takes a number that is ahead of the highest one. Those in between may still come.
func (s *sequence) advance(number int32, ahead int64) sequenceOrder {
	followsOneway := s.highestOneway > s.highest && number == s.highestOneway+1
	s.highest = number
	s.received = s.received<<ahead | 1
	if ahead == 1 || followsOneway {
		return inOrder
	}
	return outOfOrder
}
