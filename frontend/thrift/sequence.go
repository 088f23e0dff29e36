package thrift

// sequenceOrder says how the number of a call follows those before it.
type sequenceOrder int

const (
	inOrder    sequenceOrder = iota // the next one, or one that was left out before
	outOfOrder                      // it leaves numbers out
	duplicate                       // it came before: an answer to it would be the second one
)

// sequenceWindow is how many numbers back a sequence knows which have come.
const sequenceWindow = 64

// sequence keeps the numbers of the calls on one connection. Numbers start at 1 and count
// up. Its zero value is ready.
type sequence struct {
	highest  int32
	received uint64 // bit i: highest-i has come
	skipped  int32  // number of the last oneway message that had the next one
}

// oneway takes the number of a oneway message: peers may count these or not.
func (s *sequence) oneway(number int32) {
	if number == max(s.highest, s.skipped)+1 {
		s.skipped = number
	}
}

// call takes the number of a call.
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

// advance takes a number above the highest. Numbers between them may still come.
func (s *sequence) advance(number int32, ahead int64) sequenceOrder {
	followsOneway := s.skipped > s.highest && number == s.skipped+1
	s.highest = number
	s.received = s.received<<ahead | 1
	if ahead == 1 || followsOneway {
		return inOrder
	}
	return outOfOrder
}
