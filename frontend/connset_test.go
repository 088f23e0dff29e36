package frontend

import "testing"

// TestConnSet_ChangesDuringEach adds and removes connections, also while Each visits them.
func TestConnSet_ChangesDuringEach(t *testing.T) {
	var s ConnSet[int]
	s.Remove(1)
	for c := range 5 {
		s.Add(c)
	}
	s.Add(3)
	s.Remove(2)
	isOdd := func(c int) bool { return c%2 == 1 }
	if got := s.Count(isOdd); got != 2 {
		t.Errorf("Count(isOdd) = %d, want 2", got)
	}
	visited := 0
	s.Each(func(c int) {
		visited++
		s.Remove(c)
		s.Add(c + 10)
	})
	if visited != 4 {
		t.Errorf("Each visited %d connections, want 4", visited)
	}
	if got := s.Count(func(c int) bool { return c >= 10 }); got != 4 {
		t.Errorf("Count of the connections added during Each = %d, want 4", got)
	}
}
