package server

import (
	"sync"
	"time"

	"quincerail.example/quincerail/guard"
	"quincerail.example/quincerail/handover"
)

// Deadlines of the shutdown's steps, as times before the platform may kill the process.
const (
	answerMargin     = 200 * time.Millisecond // all requests must be answered; the server starts to close connections
	disconnectMargin = 140 * time.Millisecond // all connections are closed, even in the middle of a message
	exitMargin       = 80 * time.Millisecond  // the process exits
)

const (
	renotifyInterval  = 100 * time.Millisecond // between two notifications of callers while a successor takes over
	fleetLeaveTimeout = time.Second            // for releasing this process's leases to the fleet
	unansweredTimeout = 20 * time.Millisecond  // for the core's reply with the number of unanswered requests
)

// Values of the attribute connections of the log event stopped.
const (
	connectionsClosed = "closed"
	connectionsOpen   = "open"
)

// phaseNames are the values of the attribute phase of the log event drain_phase.
var phaseNames = map[state]string{
	stateNotifying: "leaving",
	stateRejecting: "refusing",
	stateClosing:   "closing",
}

// Shutdown is ShutdownFrom for a SIGTERM that has just arrived.
func (s *Server) Shutdown() { s.ShutdownFrom(time.Now()) }

// ShutdownFrom shuts the server down gracefully after a SIGTERM that arrived at noticedAt, from which
// the grace and the time until the kill count. That may be before the server was started: it tells callers to use other
// servers, answers open requests and closes the connections. It returns when the process may
// exit: when all connections have ended, or else exitMargin before the process may be killed.
// If package guard does not allow the exit then, Shutdown waits until it does. Shutdown must be
// called only once.
//
// Operators can send commands until the process exits.
func (s *Server) ShutdownFrom(noticedAt time.Time) {
	fleetLeft := s.leaveFleet()
	if successor := s.successor(); successor != nil {
		s.handOver(successor)
	} else {
		s.drain(noticedAt)
	}
	s.stop()
	if s.journal != nil {
		<-s.core.Done() // the core writes to the journal until then
		s.closeJournal()
	}
	<-fleetLeft
	s.enter(stateStopped)
	s.closeHTTP()
}

// leaveFleet releases this process's leases in its fleet, so that other members can acquire
// them at once. The returned channel is closed when the leases are released or the release has
// timed out.
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

// successor returns the process that is ready to serve on the same socket, nil if there is
// none.
func (s *Server) successor() *handover.Peer {
	if s.handover == nil {
		return nil
	}
	return s.handover.Successor()
}

// drain runs through the states notifying, rejecting and closing (see state). It skips
// closing if all connections have ended before the answer deadline and no listening socket is
// inherited.
//
// An inherited listening socket stays open until the state closing, which is then always
// entered, because another process holds the socket too. If this process closed its descriptor
// earlier, a new connection would wait in the accept queue and never be served. It would not be
// refused, although only a refusal would prove to the caller that its request did not run.
func (s *Server) drain(noticedAt time.Time) {
	graceEnd, killAt := s.beginDrain(noticedAt)

	s.enterPhase(stateNotifying)
	s.notifyCallers()
	answerDeadline := closedAt(killAt.Add(-answerMargin))
	select {
	case <-time.After(time.Until(graceEnd)):
	case <-answerDeadline:
	}

	s.enterPhase(stateRejecting)
	accepted := s.stopAccepting()
	s.endGrace()
	done := s.connectionsDone()
	select {
	case <-done:
	case <-answerDeadline:
		s.enterPhase(stateClosing)
		s.closeInheritedListener()
	}
	s.closeConnections(killAt, accepted, done)
}

// beginDrain starts the drain of the core for a notice that arrived at noticedAt, or before that if
// the process has just been stalled. It returns the time until which requests must be
// accepted, and the time from which the platform may kill the process.
func (s *Server) beginDrain(noticedAt time.Time) (graceEnd, killAt time.Time) {
	active := s.activeConfig.Load()
	noticeAt := s.core.DrainNoticeTime()
	if noticedAt.Before(noticeAt) {
		noticeAt = noticedAt
	}
	killAt = noticeAt.Add(active.KillDelay())
	s.log.Info("drain", "stop_in", time.Until(killAt).Round(time.Millisecond).String(),
		"notice_ago", time.Since(noticeAt).Round(time.Millisecond).String())
	s.core.Drain(noticeAt, killAt)
	return noticeAt.Add(active.Settings.DrainGrace), killAt
}

// enterPhase moves the server to a state of the drain, and logs it.
func (s *Server) enterPhase(next state) {
	s.enter(next)
	s.log.Info("drain_phase", "phase", phaseNames[next], "open_requests", s.core.InFlight())
}

// notifyCallers tells callers on open and on future connections to use other servers.
func (s *Server) notifyCallers() {
	for _, l := range s.listeners {
		l.frontend.NotifyDraining()
	}
}

// stopAccepting closes the frontends' listeners, except an inherited one, once they have
// accepted the connections in their accept queues. The returned channel is closed when all
// of these listeners are closed.
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

// closeInheritedListener closes this process's descriptor of an inherited listening socket.
func (s *Server) closeInheritedListener() {
	if s.handover != nil {
		s.listeners[0].server.Close()
	}
}

// endGrace tells the frontends that the grace period is over. Requests that arrive from now on
// are shed.
func (s *Server) endGrace() {
	for _, l := range s.listeners {
		l.frontend.EndGrace()
	}
}

// connectionsDone returns a channel that is closed once the frontends' listeners are closed
// and the last connection has ended.
func (s *Server) connectionsDone() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, l := range s.listeners {
			<-l.server.Done()
		}
	}()
	return done
}

// closeConnections closes the connections, and returns when the process may exit. That is when
// done is closed, or exitMargin before killAt. It is later if package guard does not allow the
// exit: after a suspension, the process may still have requests to read and answer.
//
// The caller must close accepted once no connection waits to be accepted, and done once the
// connections have ended and the requests are answered.
func (s *Server) closeConnections(killAt time.Time, accepted, done <-chan struct{}) {
	for _, l := range s.listeners {
		l.frontend.Drain(killAt.Add(-disconnectMargin))
	}
	select {
	case <-done:
		s.reportStopped(connectionsClosed)
		return
	case <-closedAt(killAt.Add(-exitMargin)):
	}
	s.awaitExitAllowed(killAt, accepted)
	s.closeFrontendListeners()
	select {
	case <-done:
		s.reportStopped(connectionsClosed)
	default:
		s.reportStopped(connectionsOpen)
	}
}

// awaitExitAllowed waits until package guard allows the process to exit.
func (s *Server) awaitExitAllowed(killAt time.Time, accepted <-chan struct{}) {
	for checks := 0; ; checks++ {
		reason, retryAfter := guard.MayExit(s.exitFacts(accepted, checks))
		if reason == guard.NotHeld {
			return
		}
		if checks == 0 {
			s.log.Info("exit_delayed", "reason", string(reason),
				"past_kill_time", time.Since(killAt).Round(time.Millisecond).String())
		}
		time.Sleep(retryAfter)
	}
}

// exitFacts returns the inputs of guard.MayExit. checks is the number of earlier checks.
func (s *Server) exitFacts(accepted <-chan struct{}, checks int) guard.ExitState {
	facts := guard.ExitState{Checks: checks}
	if !isClosed(accepted) {
		facts.PendingConnections = 1
	}
	for _, l := range s.listeners {
		facts.OpenConnections += l.frontend.PendingConns()
	}
	if facts.OpenConnections == 0 { // otherwise the core may not have received all requests yet
		facts.UnansweredRequests = s.unanswered()
	}
	return facts
}

// reportStopped logs that the process may exit, and whether connections are still open. If
// requests are unanswered, it also records a violation of guard.LostRequest.
func (s *Server) reportStopped(connections string) {
	open := s.unanswered()
	if open > 0 {
		s.monitor.RecordViolation(guard.LostRequest, "open_requests", open, "reason", "the process ends")
	}
	s.log.Info("stopped", "connections", connections, "open_requests", open)
}

// unanswered returns the number of requests without an answer. The core counts them after it
// has handled the connections that ended before the call. If the core has stopped, or does not
// reply within unansweredTimeout, the result is the core's number of requests in flight.
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
// open requests are answered and all connections have ended, or shortly before this process
// may be killed. It stops this process's reports to the discovery service, so that they do not
// replace the successor's.
func (s *Server) handOver(successor *handover.Peer) {
	s.enter(stateHandingOver)
	killAt := s.core.DrainNoticeTime().Add(s.activeConfig.Load().KillDelay())
	answered := s.core.HandOver(killAt)
	s.stopReporting()
	s.closeFrontendListeners()
	done := allClosed(s.connectionsDone(), answered)
	if s.notifyUntil(done, closedAt(killAt.Add(-answerMargin))) {
		s.reportStopped(connectionsClosed)
	} else {
		s.closeConnections(killAt, alreadyClosed(), done)
	}
	successor.Close()
}

// notifyUntil notifies callers every renotifyInterval until done or answerDeadline is closed,
// and reports whether done was closed. At each repetition the Thrift frontend closes the idle
// connections whose callers it notified longer ago than its notice period.
func (s *Server) notifyUntil(done, answerDeadline <-chan struct{}) bool {
	ticker := time.NewTicker(renotifyInterval)
	defer ticker.Stop()
	for {
		s.notifyCallers()
		select {
		case <-ticker.C:
		case <-answerDeadline:
			return false
		case <-done:
			return true
		}
	}
}

// closedAt returns a channel that is closed at the given time.
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

// allClosed returns a channel that is closed once a and b are closed.
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
