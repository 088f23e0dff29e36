package server

import (
	"sync"
	"time"

	"quincerail.example/quincerail/guard"
	"quincerail.example/quincerail/handover"
)

// How long before the process may be killed a step of its end is due.
const (
	answerMargin     = 200 * time.Millisecond // every request must be answered, and connections begin to end
	disconnectMargin = 140 * time.Millisecond // connections are ended, even in the middle of a message
	exitMargin       = 80 * time.Millisecond  // the process ends
)

const (
	renotifyInterval  = 100 * time.Millisecond // between two notifications of callers while a successor takes over
	fleetLeaveTimeout = time.Second            // for the fleet to learn that this process gives up its leases
	unansweredTimeout = 20 * time.Millisecond  // for the core to count the requests without an answer
)

// The state of the connections when the process ends, in the log event stopped.
const (
	connectionsClosed = "closed"
	connectionsOpen   = "open"
)

// phaseNames are the names of a drain's states in the log event drain_phase.
var phaseNames = map[state]string{
	stateNotifying: "leaving",
	stateRejecting: "refusing",
	stateClosing:   "closing",
}

// Shutdown is called at SIGTERM: callers are told to use other servers, open requests are
// answered, and connections end. It returns when the process may end, at the latest
// exitMargin before it may be killed, unless package guard holds it longer. It must be
// called once.
//
// Operators can send commands until the process ends.
func (s *Server) Shutdown() {
	fleetLeft := s.leaveFleet()
	if successor := s.successor(); successor != nil {
		s.handOver(successor)
	} else {
		s.drain()
	}
	s.stop()
	if s.journal != nil {
		<-s.core.Done() // it writes to the journal until then
		s.closeJournal()
	}
	<-fleetLeft
	s.enter(stateStopped)
	s.closeHTTP()
}

// leaveFleet gives up this process's leases in its fleet, so that other members can own
// them at once. The channel is closed when that is done, or has timed out.
func (s *Server) leaveFleet() <-chan struct{} {
	left := make(chan struct{})
	if s.fleet == nil {
		close(left)
		return left
	}
	go func() {
		defer close(left)
		s.fleet.Stop(fleetLeaveTimeout)
	}()
	return left
}

// successor returns the process that is ready to serve on the same socket, nil where there
// is none.
func (s *Server) successor() *handover.Peer {
	if s.handover == nil {
		return nil
	}
	return s.handover.Successor()
}

// drain goes through the states notifying, rejecting and closing (see state). Closing is
// left out where all connections have ended before it.
//
// An inherited listening socket stays open until the state closing. A caller whose
// connection is refused takes that as proof that nothing ran. But another process holds an
// inherited socket too: a connection would not be refused after this process has closed its
// end, but wait in the accept queue, and be served by nobody.
func (s *Server) drain() {
	graceEnd, killAt := s.beginDrain()

	s.enterPhase(stateNotifying)
	s.notifyCallers()
	answerDeadline := closedAt(killAt.Add(-answerMargin))
	select {
	case <-time.After(time.Until(graceEnd)): // requests need not be accepted any more
	case <-answerDeadline:
	}

	s.enterPhase(stateRejecting)
	accepted := s.stopAccepting()
	s.endGrace()
	ended := s.connectionsEnded()
	select {
	case <-ended:
	case <-answerDeadline:
		s.enterPhase(stateClosing)
		s.closeInherited()
	}
	s.endConnections(killAt, accepted, ended)
}

// beginDrain has the core drain. It returns until when requests must still be accepted, and
// when the process may be killed.
func (s *Server) beginDrain() (graceEnd, killAt time.Time) {
	inForce := s.inForce.Load()
	noticeAt := s.core.DrainNoticeTime() // of SIGTERM
	killAt = noticeAt.Add(inForce.KillDelay())
	s.log.Info("drain", "stop_in", time.Until(killAt).Round(time.Millisecond).String(),
		"notice_ago", time.Since(noticeAt).Round(time.Millisecond).String())
	s.core.Drain(noticeAt, killAt)
	return noticeAt.Add(inForce.Settings.DrainGrace), killAt
}

// enterPhase moves on to a state of a drain, and logs it.
func (s *Server) enterPhase(next state) {
	s.enter(next)
	s.log.Info("drain_phase", "phase", phaseNames[next], "open_requests", s.core.InFlight())
}

// notifyCallers tells callers, those to come included, to use other servers.
func (s *Server) notifyCallers() {
	for _, l := range s.listeners {
		l.front.NotifyDraining()
	}
}

// stopAccepting closes the fronts' listeners, except an inherited one, once they have
// accepted the connections in their accept queues. The channel is closed when they have.
func (s *Server) stopAccepting() <-chan struct{} {
	var closing sync.WaitGroup
	for i, l := range s.listeners {
		if i > 0 || s.handover == nil {
			closing.Go(l.server.Shutdown)
		}
	}
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		closing.Wait()
	}()
	return accepted
}

// closeInherited closes this process's end of an inherited listening socket.
func (s *Server) closeInherited() {
	if s.handover != nil {
		s.listeners[0].server.Close()
	}
}

func (s *Server) endGrace() {
	for _, l := range s.listeners {
		l.front.EndGrace()
	}
}

// connectionsEnded returns a channel that is closed once no listener accepts any more and
// the last connection has ended.
func (s *Server) connectionsEnded() <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for _, l := range s.listeners {
			<-l.server.Done()
		}
	}()
	return ended
}

// endConnections ends the connections, and returns when the process may end: when done is
// closed, or exitMargin before killAt, or later if package guard holds the process, which
// may have been suspended until then. accepted must be closed once no connection waits to
// be accepted, done once the connections have ended and the requests are answered.
func (s *Server) endConnections(killAt time.Time, accepted, done <-chan struct{}) {
	for _, l := range s.listeners {
		l.front.Drain(killAt.Add(-disconnectMargin))
	}
	select {
	case <-done:
		s.reportStopped(connectionsClosed)
		return
	case <-closedAt(killAt.Add(-exitMargin)):
	}
	s.awaitExitAllowed(killAt, accepted)
	s.closeFronts()
	select {
	case <-done:
		s.reportStopped(connectionsClosed)
	default:
		s.reportStopped(connectionsOpen)
	}
}

// awaitExitAllowed waits until package guard lets the process end.
func (s *Server) awaitExitAllowed(killAt time.Time, accepted <-chan struct{}) {
	for checks := 0; ; checks++ {
		reason, retryAfter := guard.MayExit(s.exitFacts(accepted, checks))
		if reason == guard.NotHeld {
			return
		}
		if checks == 0 {
			s.log.Info("exit_put_off", "reason", string(reason),
				"past_end", time.Since(killAt).Round(time.Millisecond).String())
		}
		time.Sleep(retryAfter)
	}
}

// exitFacts returns the facts by which package guard decides whether the process may end.
func (s *Server) exitFacts(accepted <-chan struct{}, checks int) guard.ExitState {
	facts := guard.ExitState{Checks: checks}
	if !isClosed(accepted) {
		facts.PendingConnections = 1
	}
	for _, l := range s.listeners {
		facts.OpenConnections += l.front.PendingConns()
	}
	if facts.OpenConnections == 0 { // else the core may not have received all requests yet
		facts.UnansweredRequests = s.unanswered()
	}
	return facts
}

// reportStopped logs that the process may end, and whether connections are still open. A
// request that is open then is lost.
func (s *Server) reportStopped(connections string) {
	open := s.unanswered()
	if open > 0 {
		s.monitor.RecordViolation(guard.LostRequest, "open_requests", open, "reason", "the process ends")
	}
	s.log.Info("stopped", "connections", connections, "open_requests", open)
}

// unanswered returns how many requests have no answer, after the core has handled the ends
// of connections that came before.
func (s *Server) unanswered() int {
	reply := make(chan int, 1)
	if s.core.CountUnanswered(func(requests int) { reply <- requests }) != nil {
		return int(s.core.InFlight())
	}
	select {
	case requests := <-reply:
		return requests
	case <-time.After(unansweredTimeout):
		return int(s.core.InFlight())
	}
}

// handOver leaves new connections to a successor on the same socket. It returns when the
// open requests are answered and the callers have closed their connections, or shortly
// before this process may be killed. Nothing is reported to the discovery service: the
// successor's reports hold.
func (s *Server) handOver(successor *handover.Peer) {
	s.enter(stateHandingOver)
	killAt := s.core.DrainNoticeTime().Add(s.inForce.Load().KillDelay())
	answered := s.core.HandOver(killAt)
	s.stopReporting()
	s.closeFronts()
	done := allClosed(s.connectionsEnded(), answered)
	if s.notifyUntil(done, closedAt(killAt.Add(-answerMargin))) {
		s.reportStopped(connectionsClosed)
	} else {
		s.endConnections(killAt, alreadyClosed(), done)
	}
	successor.Close()
}

// notifyUntil notifies callers until done or answerDeadline is closed, and reports whether
// done was. Each further time the Thrift front closes idle connections whose callers were
// notified before.
func (s *Server) notifyUntil(done, answerDeadline <-chan struct{}) bool {
	again := time.NewTicker(renotifyInterval)
	defer again.Stop()
	for {
		s.notifyCallers()
		select {
		case <-again.C:
		case <-answerDeadline:
			return false
		case <-done:
			return true
		}
	}
}

// closedAt returns a channel that is closed at a time.
func closedAt(at time.Time) <-chan struct{} {
	passed := make(chan struct{})
	time.AfterFunc(time.Until(at), func() { close(passed) })
	return passed
}

// alreadyClosed returns a channel that is closed.
func alreadyClosed() <-chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}

// allClosed returns a channel that is closed once both are.
func allClosed(a, b <-chan struct{}) <-chan struct{} {
	both := make(chan struct{})
	go func() {
		defer close(both)
		<-a
		<-b
	}()
	return both
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
