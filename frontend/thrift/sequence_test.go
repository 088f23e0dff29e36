package thrift

import "testing"

// TestSequence has calls come in turn, out of turn and again, and oneway messages that take
// numbers or take none.
func TestSequence(t *testing.T) {
	type step struct {
		number int32
		want   sequenceOrder
	}
	for name, x := range map[string]struct {
		oneways []int32 // that come after the first call
		steps   []step
	}{
		"in turn":                      {nil, []step{{1, inOrder}, {2, inOrder}, {3, inOrder}}},
		"again":                        {nil, []step{{1, inOrder}, {2, inOrder}, {1, duplicate}, {2, duplicate}, {3, inOrder}}},
		"one left out, then had":       {nil, []step{{1, inOrder}, {3, outOfOrder}, {4, inOrder}, {2, inOrder}, {2, duplicate}}},
		"far ahead, then as before":    {nil, []step{{1, inOrder}, {500, outOfOrder}, {2, inOrder}, {3, inOrder}}},
		"long ago":                     {nil, []step{{1, inOrder}, {40, outOfOrder}, {90, outOfOrder}, {2, duplicate}}},
		"none":                         {nil, []step{{0, outOfOrder}, {-1, outOfOrder}, {1, inOrder}}},
		"oneways without numbers":      {[]int32{0, 0}, []step{{1, inOrder}, {2, inOrder}}},
		"oneways that count":           {[]int32{2, 3, 4}, []step{{1, inOrder}, {5, inOrder}, {6, inOrder}}},
		"oneways with the next number": {[]int32{2}, []step{{1, inOrder}, {2, inOrder}, {3, inOrder}}},
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
