package thrift

import "testing"

// TestSequenceTracker_RecordCall checks calls in order, out of order and repeated, and oneway
// messages that are numbered together with the calls or not.
func TestSequenceTracker_RecordCall(t *testing.T) {
	type step struct {
		number int32
		want   sequenceOrder
	}
	for name, test := range map[string]struct {
		oneways []int32 // recorded after the first call
		steps   []step
	}{
		"in order":                                {nil, []step{{1, inOrder}, {2, inOrder}, {3, inOrder}}},
		"repeated":                                {nil, []step{{1, inOrder}, {2, inOrder}, {1, duplicate}, {2, duplicate}, {3, inOrder}}},
		"one skipped, then received":              {nil, []step{{1, inOrder}, {3, outOfOrder}, {4, inOrder}, {2, inOrder}, {2, duplicate}}},
		"beyond the window, then in order":        {nil, []step{{1, inOrder}, {500, outOfOrder}, {2, inOrder}, {3, inOrder}}},
		"older than the window":                   {nil, []step{{1, inOrder}, {40, outOfOrder}, {90, outOfOrder}, {2, duplicate}}},
		"zero and negative":                       {nil, []step{{0, outOfOrder}, {-1, outOfOrder}, {1, inOrder}}},
		"oneways not numbered":                    {[]int32{0, 0}, []step{{1, inOrder}, {2, inOrder}}},
		"oneways numbered with the calls":         {[]int32{2, 3, 4}, []step{{1, inOrder}, {5, inOrder}, {6, inOrder}}},
		"oneway with the number of the next call": {[]int32{2}, []step{{1, inOrder}, {2, inOrder}, {3, inOrder}}},
	} {
		var s sequenceTracker
		for i, step := range test.steps {
			if got := s.recordCall(step.number); got != step.want {
				t.Errorf("%s: recordCall(%d) = %d, want %d", name, step.number, got, step.want)
			}
			if i == 0 {
				for _, number := range test.oneways {
					s.recordOneway(number)
				}
			}
		}
	}
}
