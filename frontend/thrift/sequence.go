package thrift

// sequenceOrder classifies the sequence number of a call relative to earlier ones.
type sequenceOrder int

const (
	inOrder    sequenceOrder = iota // the next number, or one that earlier calls skipped
	outOfOrder                      // earlier numbers are missing, or the number is out of range
	duplicate                       // the number was used before, so a reply would be the second one with it
)

// sequenceWindow is how many of the latest sequence numbers are remembered, and how far the
// number of a call may be ahead of the highest one. It is the number of bits of
// sequenceTracker.received.
const sequenceWindow = 64

// sequenceTracker checks the sequence numbers of the calls on one connection, which start at 1
// and increase by 1. The zero value is ready for use.
type sequenceTracker struct {
	highest       int32  // highest number of a call
	received      uint64 // bit i is set if highest-i was received
	highestOneway int32  // highest number of a oneway message that continued the count; may be below highest
}

// recordOneway records the number of a oneway message. Some peers number these messages
// together with the calls and others do not; both are accepted.
func (s *sequenceTracker) recordOneway(number int32) {
	if number == max(s.highest, s.highestOneway)+1 {
		s.highestOneway = number
	}
}

// recordCall records the number of a call and returns the call's order.
func (s *sequenceTracker) recordCall(number int32) sequenceOrder {
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

// advance records a number above the highest one. The numbers in between may still arrive.
func (s *sequenceTracker) advance(number int32, ahead int64) sequenceOrder {
	followsOneway := s.highestOneway > s.highest && number == s.highestOneway+1
	s.highest = number
	s.received = s.received<<ahead | 1
	if ahead == 1 || followsOneway {
		return inOrder
	}
	return outOfOrder
}
