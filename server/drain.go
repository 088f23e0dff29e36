package server

import (
	"sync"
	"time"

	"quincerail.example/quincerail/guard"
	"quincerail.example/quincerail/handover"
)

// Drain follows the notice to leave, and returns when the process may end. It
// goes through these phases, each of which begins when the one before is over:
//
//	leaving   callers are told; what comes is still taken. For the grace.
//	refusing  none is let in any more, and what comes over open connections is
//	          turned away. Until callers have closed them, or all must be answered.
//	closing   connections are half-closed and read to their end, those first that
//	          rest. Until the process is about to be killed, and later where anything
//	          is left that package guard has it stay for: it may have stood still.
//
// Where the listening socket is another's too, none is refused: a refused connection
// proves that nothing ran, and here it would be let in by nobody. So callers are let
// in, and turned away, until the last phase.
func (s *Server) Drain() {
	defer s.closeHTTP()
	defer s.leaveFleet()()
	defer s.closeKeys() // once the core has stopped
	defer s.stop()
	if s.handover != nil {
		if p := s.handover.Successor(); p != nil {
			s.handOver(p)
			return
		}
	}
	inForce := s.config.Load()
	notice := s.core.DrainNoticeTime()
	stopAt := notice.Add(inForce.KillDelay())
	s.log.Info("drain", "stop_in", time.Until(stopAt).Round(time.Millisecond).String(),
		"notice_ago", time.Since(notice).Round(time.Millisecond).String())
	s.core.Drain(notice, stopAt)
	s.phase("leaving")
	for _, d := range s.listeners {
		d.front.NotifyDraining()
	}
	answered := time.After(time.Until(stopAt.Add(-closeMargin)))
	select {
	case <-time.After(time.Until(notice.Add(inForce.Settings.DrainGrace))):
	case <-answered:
		answered = time.After(0) // the next phase is over at once
	}
	s.phase("refusing")
	shut := s.shut()
	for _, d := range s.listeners {
		d.front.EndGrace()
	}
	empty := s.empty()
	select {
	case <-empty:
	case <-answered:
		s.phase("closing")
		if s.handover != nil {
			s.listeners[0].server.Close()
		}
	}
	s.endConnections(stopAt, shut, empty)
}

// shut has all doors but one whose socket is another's too let in what has connected, and
// close. The channel is closed once they have.
func (s *Server) shut() <-chan struct{} {
	var closing sync.WaitGroup
	for i, d := range s.listeners {
		if i > 0 || s.handover == nil {
			closing.Go(d.server.Shutdown)
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		closing.Wait()
	}()
	return done
}

// endConnections ends what is open, by the moment at which the process is to end, or later
// where package guard has it stay. connected is closed once none waits to be let in, done
// once nothing is open any more.
func (s *Server) endConnections(stopAt time.Time, connected, done <-chan struct{}) {
	for _, d := range s.listeners {
		d.front.Drain(stopAt.Add(-lastMargin))
	}
	planned := time.After(time.Until(stopAt.Add(-exitMargin)))
	select {
	case <-done:
		s.stopped("closed")
		return
	case <-planned:
	}
	for looks := 0; ; looks++ {
		reason, again := guard.MayExit(s.exitFacts(connected, looks))
		if reason == guard.Nothing {
			break
		}
		if looks == 0 {
			s.log.Info("exit_put_off", "reason", string(reason), "past_end", time.Since(stopAt).Round(time.Millisecond).String())
		}
		time.Sleep(again)
	}
	for _, d := range s.listeners {
		d.server.Close()
	}
	select {
	case <-done:
		s.stopped("closed")
	default:
		s.stopped("open")
	}
}

// exitFacts is what counts for ending the process.
func (s *Server) exitFacts(connected <-chan struct{}, looks int) guard.Exit {
	facts := guard.Exit{Looks: looks}
	select {
	case <-connected:
	default:
		facts.Connecting = 1
	}
	for _, d := range s.listeners {
		facts.Open += d.front.PendingConns()
	}
	if facts.Open == 0 { // else some of them are not read yet
		facts.Unanswered = s.unanswered()
	}
	return facts
}

// phase logs that a drain enters a phase.
func (s *Server) phase(name string) {
	s.log.Info("drain_phase", "phase", name, "open_requests", s.core.InFlight())
}

// stopped logs that the process may end, and whether connections are still open. A
// request that is open then is lost.
func (s *Server) stopped(connections string) {
	open := s.unanswered()
	if open > 0 {
		s.monitor.Violated(guard.LostRequest, "open_requests", open, "reason", "the process ends")
	}
	s.log.Info("stopped", "connections", connections, "open_requests", open)
}

// unanswered gives how many requests have no answer, once the core has taken in what
// became of the connections that ended last.
func (s *Server) unanswered() int {
	answer := make(chan int, 1)
	if s.core.Unanswered(func(requests int) { answer <- requests }) != nil {
		return int(s.core.InFlight())
	}
	select {
	case requests := <-answer:
		return requests
	case <-time.After(unansweredIn):
		return int(s.core.InFlight())
	}
}

// empty is closed once no door lets in any more and the last connection has ended.
func (s *Server) empty() <-chan struct{} {
	empty := make(chan struct{})
	go func() {
		defer close(empty)
		for _, d := range s.listeners {
			<-d.server.Done()
		}
	}()
	return empty
}

// leaveFleet gives up what this process owns in its fleet at once, and gives
// what waits for that.
func (s *Server) leaveFleet() (wait func()) {
	if s.fleet == nil {
		return func() {}
	}
	left := make(chan struct{})
	go func() {
		s.fleet.Stop(leaveFleetWithin)
		close(left)
	}()
	return func() { <-left }
}

func (s *Server) closeKeys() {
	if s.keys != nil {
		<-s.core.Done()
		if err := s.keys.Close(); err != nil {
			s.log.Warn("keys_close_failed", "error", err.Error())
		}
	}
}

// handOver leaves the requests to come to a process that serves on the same socket,
// and returns when all that is open here is answered and the callers have closed
// their connections, or just before this process is killed. It says nothing of
// leaving to the announce service: the other one's word holds.
func (s *Server) handOver(p *handover.Peer) {
	inForce := s.config.Load()
	stopAt := s.core.DrainNoticeTime().Add(inForce.KillDelay())
	settled := s.core.HandOver(stopAt)
	s.stopReporting()
	for _, d := range s.listeners {
		d.server.Close()
	}
	done := make(chan struct{})
	empty := s.empty()
	go func() {
		defer close(done)
		<-empty
		<-settled
	}()
	answered := time.After(time.Until(stopAt.Add(-closeMargin)))
	for again := time.Tick(leaveAgain); ; {
		for _, d := range s.listeners {
			d.front.NotifyDraining() // also of connections that were let in last
		}
		select {
		case <-again:
			continue
		case <-answered:
			s.endConnections(stopAt, closedChannel(), done)
		case <-done:
			s.stopped("closed")
		}
		break
	}
	p.Close()
}

func closedChannel() <-chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}
