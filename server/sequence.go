package server

// turn says how the number of a call fits those before it.
type turn int

const (
	inTurn    turn = iota // the next one, or one that was left out before
	outOfTurn             // it leaves numbers out
	repeated              // it was had before: an answer to it would be the second one
)

// window is how many numbers back a sequence knows which were had.
const window = 64

// sequence keeps the numbers of the calls on one connection. Numbers start at 1 and count
// up. Its zero value is ready.
type sequence struct {
	highest int32
	had     uint64 // bit i: highest-i was had
	skipped int32  // number of the last oneway message that had the next one
}

// oneway takes in the number of a oneway message: peers may count these or not.
func (s *sequence) oneway(number int32) {
	if number == max(s.highest, s.skipped)+1 {
		s.skipped = number
	}
}

// call takes in the number of a call.
func (s *sequence) call(number int32) turn {
	ahead := int64(number) - int64(s.highest)
	switch {
	case ahead > window, number < 1:
		return outOfTurn
	case ahead > 0:
		counted := s.skipped > s.highest && number == s.skipped+1
		s.highest, s.had = number, s.had<<ahead|1
		if ahead == 1 || counted {
			return inTurn
		}
		return outOfTurn
	case ahead <= -window || s.had>>-ahead&1 == 1:
		return repeated
	}
	s.had |= 1 << -ahead
	return inTurn
}
