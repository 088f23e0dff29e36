package server

import "testing"

// TestSequence has calls come in turn, out of turn and again, and oneway messages that take
// numbers or take none.
func TestSequence(t *testing.T) {
	type step struct {
		number int32
		want   turn
	}
	for name, x := range map[string]struct {
		oneways []int32 // that come after the first call
		steps   []step
	}{
		"in turn":                      {nil, []step{{1, inTurn}, {2, inTurn}, {3, inTurn}}},
		"again":                        {nil, []step{{1, inTurn}, {2, inTurn}, {1, repeated}, {2, repeated}, {3, inTurn}}},
		"one left out, then had":       {nil, []step{{1, inTurn}, {3, outOfTurn}, {4, inTurn}, {2, inTurn}, {2, repeated}}},
		"far ahead, then as before":    {nil, []step{{1, inTurn}, {500, outOfTurn}, {2, inTurn}, {3, inTurn}}},
		"long ago":                     {nil, []step{{1, inTurn}, {40, outOfTurn}, {90, outOfTurn}, {2, repeated}}},
		"none":                         {nil, []step{{0, outOfTurn}, {-1, outOfTurn}, {1, inTurn}}},
		"oneways without numbers":      {[]int32{0, 0}, []step{{1, inTurn}, {2, inTurn}}},
		"oneways that count":           {[]int32{2, 3, 4}, []step{{1, inTurn}, {5, inTurn}, {6, inTurn}}},
		"oneways with the next number": {[]int32{2}, []step{{1, inTurn}, {2, inTurn}, {3, inTurn}}},
	} {
		var s sequence
		for i, step := range x.steps {
			if got := s.call(step.number); got != step.want {
				t.Errorf("%s: number %d is %d, want %d", name, step.number, got, step.want)
			}
			if i == 0 {
				for _, number := range x.oneways {
					s.oneway(number)
				}
			}
		}
	}
}
