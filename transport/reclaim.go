package transport

import (
	"cmp"
	"slices"
	"time"

	"quincerail.example/quincerail/guard"
)

// isServing reports whether Serve was called.
func (c *Conn) isServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serving
}

// peerWait returns how long the process has waited for the connection's peer.
func (c *Conn) peerWait(now time.Time) guard.PeerWait {
	if !c.isServing() {
		return guard.PeerWait{}
	}
	pending := c.hasResponsesPending() // takes the handler's lock, so c.mu must not be held
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := guard.PeerWait{OverLimit: c.overLimit}
	progressAt, startedAt := c.createdAt, c.createdAt
	switch messageStartedAt := c.source.messageStartedAt.get(); {
	case !c.writeStartedAt.IsZero():
		wait.Withheld = guard.ReadingWithheld
		progressAt, startedAt = c.lastWrittenAt, c.writeStartedAt
	case pending, c.state != stateOpen:
		return wait
	case !messageStartedAt.IsZero():
		wait.Withheld = guard.RestWithheld
		progressAt, startedAt = c.source.lastByteAt.get(), messageStartedAt
	case !c.receivedMessage && c.notifyPeer == nil: // a peer that is to be notified first is left to its frontend
		wait.Withheld = guard.FirstMessageWithheld
	default:
		return wait
	}
	wait.SinceProgress, wait.Total = now.Sub(progressAt), now.Sub(startedAt)
	return wait
}

// reclaim closes the connection because its peer withholds something. A message that has
// arrived completely is read first, and keeps the connection open.
func (c *Conn) reclaim(withheld guard.Withheld) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reclaimedFor = withheld
	if withheld == guard.ReadingWithheld {
		c.abortLocked()
		return
	}
	c.setCommandLocked(commandAbandon)
}

// isReclaimed reports whether reclaim was called and the connection has not closed yet.
func (c *Conn) isReclaimed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reclaimedFor != guard.NothingWithheld
}

// waitingConn is a connection that may be reclaimed.
type waitingConn struct {
	conn *Conn
	wait guard.PeerWait
}

// reclaimConns closes connections whose peers withhold something: all that were accepted over
// the limit, and as many others as are open beyond nearCapacityFraction, those without
// progress for the longest time first. guard.MayReclaim decides which may be closed. Searches
// are at least nearCapacityInterval apart. Only the goroutine that accepts connections calls
// reclaimConns, and only while a connection waits for a slot.
func (s *Server) reclaimConns() {
	now := time.Now()
	if now.Sub(s.lastReclaim) < nearCapacityInterval {
		return
	}
	s.lastReclaim = now
	open, limit := s.occupancy()
	waiting, reclaimed := s.waitingConns(now)
	excess := open - int(nearCapacityFraction*float64(limit)) - reclaimed
	for _, w := range waiting {
		if w.wait.OverLimit || excess > 0 {
			w.conn.reclaim(w.wait.Withheld)
			excess--
		}
	}
}

// waitingConns returns the connections that may be reclaimed, those without progress for the
// longest time first, and the number of connections that were reclaimed and are still open.
func (s *Server) waitingConns(now time.Time) (waiting []waitingConn, reclaimed int) {
	for _, c := range s.trackedConns() {
		if c.isReclaimed() {
			reclaimed++
		} else if wait := c.peerWait(now); guard.MayReclaim(wait) {
			waiting = append(waiting, waitingConn{c, wait})
		}
	}
	slices.SortFunc(waiting, func(a, b waitingConn) int { return cmp.Compare(b.wait.SinceProgress, a.wait.SinceProgress) })
	return waiting, reclaimed
}
