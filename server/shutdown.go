package server

import (
	"sync"
	"time"

	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/guard"
	"quincerail.example/quincerail/handover"
)

// What must be done how long before the process may be killed.
const (
	answerMargin     = 200 * time.Millisecond // all is answered, and connections begin to end
	disconnectMargin = 140 * time.Millisecond // connections end, even in the middle of a message
	exitMargin       = 80 * time.Millisecond  // the process ends
)

const (
	renotifyInterval  = 100 * time.Millisecond // between two notifications of callers, when another process takes over
	fleetLeaveTimeout = time.Second            // for giving up what this process owns in its fleet
	unansweredTimeout = 20 * time.Millisecond  // for the core to report the requests without an answer
)

// How the connections stand when the process ends, in the log event stopped.
const (
	connectionsClosed = "closed"
	connectionsOpen   = "open"
)

// phaseNames are the states of a drain as the log event drain_phase names them.
var phaseNames = map[state]string{
	stateNotifying: "leaving",
	stateRejecting: "refusing",
	stateClosing:   "closing",
}

// Shutdown follows SIGTERM: callers are told to use other servers, what is open is
// answered, and connections end. It returns when the process may end, shortly before it
// is killed at the latest. It must be called once.
func (s *Server) Shutdown() {
	fleetLeft := s.leaveFleet()
	if successor := s.successor(); successor != nil {
		s.handOver(successor)
	} else {
		s.drain()
	}
	s.stop()
	if s.journal != nil {
		<-s.core.Done() // it writes until then
		s.closeJournal()
	}
	<-fleetLeft
	s.enter(stateStopped)
	s.closeHTTP()
}

// leaveFleet gives up what this process owns in its fleet, so that another member owns it
// at once. The channel is closed when that is done.
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

// successor is the process that is ready to serve on the same socket, nil where there is
// none.
func (s *Server) successor() *handover.Peer {
	if s.handover == nil {
		return nil
	}
	return s.handover.Successor()
}

// drain goes through the phases notifying, rejecting and closing (see state). Where all
// connections have ended before that, the last is left out.
//
// An inherited listening socket stays open until the phase closing. A caller whose
// connection is refused takes that as proof that nothing ran, but here others hold the
// socket too: the connection would be accepted, and served by nobody.
func (s *Server) drain() {
	inForce := s.inForce.Load()
	notifiedAt := s.core.DrainNoticeTime()
	killAt := notifiedAt.Add(inForce.KillDelay())
	s.log.Info("drain", "stop_in", time.Until(killAt).Round(time.Millisecond).String(),
		"notice_ago", time.Since(notifiedAt).Round(time.Millisecond).String())
	s.core.Drain(notifiedAt, killAt)

	s.enterPhase(stateNotifying)
	s.notifyCallers()
	answered := closedAt(killAt.Add(-answerMargin))
	s.awaitGraceEnd(notifiedAt, inForce, answered)

	s.enterPhase(stateRejecting)
	accepted := s.stopAccepting()
	s.endGrace()
	ended := s.connectionsEnded()
	select {
	case <-ended:
	case <-answered:
		s.enterPhase(stateClosing)
		s.closeInherited()
	}
	s.endConnections(killAt, accepted, ended)
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

// awaitGraceEnd waits until requests need not be accepted any more, or all must be
// answered.
func (s *Server) awaitGraceEnd(notifiedAt time.Time, inForce *config.Config, answered <-chan struct{}) {
	graceEnd := notifiedAt.Add(inForce.Settings.DrainGrace)
	select {
	case <-time.After(time.Until(graceEnd)):
	case <-answered:
	}
}

// stopAccepting closes the listeners, but an inherited one, once they have accepted what
// has connected. The channel is closed when they have.
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
// closed, or shortly before the kill. It stays longer while package guard has it stay, as
// the process may have been suspended. accepted is closed once no connection waits to be
// accepted.
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

// awaitExitAllowed waits while package guard does not let the process end.
func (s *Server) awaitExitAllowed(killAt time.Time, accepted <-chan struct{}) {
	for checks := 0; ; checks++ {
		reason, again := guard.MayExit(s.exitFacts(accepted, checks))
		if reason == guard.NotHeld {
			return
		}
		if checks == 0 {
			s.log.Info("exit_put_off", "reason", string(reason),
				"past_end", time.Since(killAt).Round(time.Millisecond).String())
		}
		time.Sleep(again)
	}
}

// exitFacts is what package guard decides by whether the process may end.
func (s *Server) exitFacts(accepted <-chan struct{}, checks int) guard.Exit {
	facts := guard.Exit{Checks: checks}
	if !isClosed(accepted) {
		facts.PendingConnections = 1
	}
	for _, l := range s.listeners {
		facts.OpenConnections += l.front.PendingConns()
	}
	if facts.OpenConnections == 0 { // else some of them are not read yet
		facts.UnansweredRequests = s.unanswered()
	}
	return facts
}

// reportStopped logs that the process may end, and whether connections are still open. A
// request that is open then is lost.
func (s *Server) reportStopped(connections string) {
	open := s.unanswered()
	if open > 0 {
		s.monitor.Violated(guard.LostRequest, "open_requests", open, "reason", "the process ends")
	}
	s.log.Info("stopped", "connections", connections, "open_requests", open)
}

// unanswered returns how many requests have no answer, after the core has handled the ends
// of connections that came before.
func (s *Server) unanswered() int {
	reply := make(chan int, 1)
	if s.core.Unanswered(func(requests int) { reply <- requests }) != nil {
		return int(s.core.InFlight())
	}
	select {
	case requests := <-reply:
		return requests
	case <-time.After(unansweredTimeout):
		return int(s.core.InFlight())
	}
}

// handOver leaves the requests to come to a successor on the same socket. It returns when
// what is open here is answered and the callers have closed their connections, or shortly
// before this process is killed. The discovery service is not told: the successor's
// reports hold.
func (s *Server) handOver(successor *handover.Peer) {
	s.enter(stateHandingOver)
	killAt := s.core.DrainNoticeTime().Add(s.inForce.Load().KillDelay())
	settled := s.core.HandOver(killAt)
	s.stopReporting()
	s.closeFronts()
	done := allClosed(s.connectionsEnded(), settled)
	if s.notifyUntil(done, closedAt(killAt.Add(-answerMargin))) {
		s.reportStopped(connectionsClosed)
	} else {
		s.endConnections(killAt, alreadyClosed(), done)
	}
	successor.Close()
}

// notifyUntil notifies callers, again and again as connections that were accepted last
// come in, until either channel is closed. It reports whether done was.
func (s *Server) notifyUntil(done, answered <-chan struct{}) bool {
	again := time.NewTicker(renotifyInterval)
	defer again.Stop()
	for {
		s.notifyCallers()
		select {
		case <-again.C:
		case <-answered:
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
