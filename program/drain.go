package program

import (
	"time"

	"quincerail.example/quincerail/guard"
)

// Drain follows the notice to leave, and returns when the process may end. It
// goes through these phases, each of which begins when the one before is over:
//
//	leaving   callers are told; what comes is still taken. For the grace.
//	refusing  none is let in any more, and what comes over open connections is
//	          turned away. Until callers have closed them, or all must be answered.
//	closing   connections are half-closed and read to their end, those first that
//	          rest. Until the process is about to be killed.
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
		if p := s.handover.takenOver(); p != nil {
			s.handOver(p)
			return
		}
	}
	config := s.config.Load()
	notice := s.core.NoticeTime()
	stopAt := notice.Add(config.stopAfter())
	s.log.Info("drain", "stop_in", time.Until(stopAt).Round(time.Millisecond).String(),
		"notice_ago", time.Since(notice).Round(time.Millisecond).String())
	s.core.Drain(notice, stopAt)
	s.phase("leaving")
	for _, d := range s.doors {
		d.front.leave()
	}
	answered := time.After(time.Until(stopAt.Add(-closeMargin)))
	select {
	case <-time.After(time.Until(notice.Add(config.Settings.DrainGrace))):
	case <-answered:
		answered = time.After(0) // the next phase is over at once
	}
	s.phase("refusing")
	for i, d := range s.doors {
		if i > 0 || s.handover == nil {
			go d.server.Shut() // until all that has connected is let in, or it is closed
		}
		d.front.refuseLate()
	}
	empty := s.empty()
	select {
	case <-empty:
	case <-answered:
		s.phase("closing")
		for _, d := range s.doors {
			d.server.Close()
			d.front.finish(stopAt.Add(-lastMargin))
		}
		select {
		case <-empty:
		case <-time.After(time.Until(stopAt.Add(-exitMargin))):
			s.stopped("open")
			return
		}
	}
	s.stopped("closed")
}

// phase logs that a drain enters a phase.
func (s *Server) phase(name string) {
	s.log.Info("drain_phase", "phase", name, "open_requests", s.core.Open())
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
		return int(s.core.Open())
	}
	select {
	case requests := <-answer:
		return requests
	case <-time.After(unansweredIn):
		return int(s.core.Open())
	}
}

// empty is closed once no door lets in any more and the last connection has ended.
func (s *Server) empty() <-chan struct{} {
	empty := make(chan struct{})
	go func() {
		defer close(empty)
		for _, d := range s.doors {
			<-d.server.Empty()
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
func (s *Server) handOver(p *peer) {
	config := s.config.Load()
	stopAt := s.core.NoticeTime().Add(config.stopAfter())
	settled := s.core.HandOver(stopAt)
	s.quiet()
	for _, d := range s.doors {
		d.server.Close()
	}
	done := make(chan struct{})
	empty := s.empty()
	go func() {
		defer close(done)
		<-empty
		<-settled
	}()
	answered, last := time.After(time.Until(stopAt.Add(-closeMargin))), time.After(time.Until(stopAt.Add(-exitMargin)))
	for again := time.Tick(leaveAgain); ; {
		for _, d := range s.doors {
			d.front.leave() // also of connections that were let in last
		}
		select {
		case <-again:
			continue
		case <-answered:
			for _, d := range s.doors {
				d.front.finish(stopAt.Add(-lastMargin))
			}
			continue
		case <-done:
			s.stopped("closed")
		case <-last:
			s.stopped("open")
		}
		break
	}
	p.leave()
}
