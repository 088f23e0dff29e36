package transport

import (
	"maps"
	"time"

	"quincerail.example/quincerail/guard"
)

// ServerStats counts the connections of a Server.
type ServerStats struct {
	Open      int                    // connections that are open, including one that waits for a slot
	Limit     int                    // limit on open connections
	OverLimit int                    // connections that were admitted over the limit so far
	Withheld  map[guard.Withheld]int // connections that were closed so far because their peers withheld something

	// TurnsExhausted counts the turns that connections have used up so far: what their peers sent
	// beyond that was read later.
	TurnsExhausted int
}

// Stats returns the current counts.
func (s *Server) Stats() ServerStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Open, stats.Limit, stats.Withheld = s.open, s.limit, maps.Clone(s.stats.Withheld)
	stats.TurnsExhausted = int(s.turnsExhausted.Load())
	return stats
}

// trackConn adds a connection that is to be served.
func (s *Server) trackConn(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	if c.overLimit {
		s.stats.OverLimit++
	}
}

// untrackConn removes a connection that has closed, and counts it if its peer withheld
// something.
func (s *Server) untrackConn(c *Conn) {
	withheld := c.CloseInfo().Withheld
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if withheld != guard.NothingWithheld {
		s.stats.Withheld[withheld]++
	}
}

// trackedConns returns the connections that are being served.
func (s *Server) trackedConns() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// acquireSlot counts a connection and waits until the number of open connections is within
// the limit, or BoundWaits admits the connection over it. The connection is not admitted, and
// no longer counted, if Close ends the wait and more than maxOverLimitOnClose connections
// exceed the limit.
func (s *Server) acquireSlot(c *Conn) (admitted, overLimit bool) {
	s.mu.Lock()
	s.open++
	s.mu.Unlock()
	near := false // the number of open connections has been near the limit
	for {
		open, limit := s.occupancy()
		if float64(open) > nearCapacityFraction*float64(limit) {
			if !near {
				near = true
				c.countFromConnect()
			}
			s.nearCapacity()
		}
		if open <= limit {
			return true, false
		}
		if s.boundWaits {
			s.reclaimConns()
			if s.mayExceedLimit(c) {
				return true, true
			}
		}
		select {
		case <-s.slotFreed:
		case <-s.closing:
			if open <= limit+maxOverLimitOnClose {
				return true, false
			}
			s.releaseSlot()
			return false, false
		case <-time.After(nearCapacityInterval):
		}
	}
}

// mayExceedLimit reports whether BoundWaits admits a connection over the limit: once it has
// waited for maxSlotWait since its peer connected, or at once if the server shuts down, because
// it runs no more requests then. At most overLimitSlots connections exceed the limit.
func (s *Server) mayExceedLimit(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open <= s.limit+overLimitSlots(s.limit) && (s.shutdown || c.Age() >= maxSlotWait)
}

// occupancy returns the number of open connections and its limit.
func (s *Server) occupancy() (open, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open, s.limit
}

// overLimitSlots returns how many connections may be admitted over a limit.
func overLimitSlots(limit int) int {
	return min(maxOverLimit, max(1, int(overLimitFraction*float64(limit))))
}

// releaseSlot releases the slot of a connection.
func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	s.checkDoneLocked()
	select {
	case s.slotFreed <- struct{}{}:
	default:
	}
}
