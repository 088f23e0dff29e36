package server

import "quincerail.example/quincerail/transport"

// init gives the cores of this package's tests a mailbox without any room: a core that waits
// for itself, also by way of another goroutine's lock, hangs at once.
func init() { mailboxCapacity = -1 }

// Kill stops a server at once at the end of a test. A server that kept running would dial the
// addresses of its closed fakes, which other tests may use by then.
func (s *Server) Kill() {
	s.closeListeners()
	s.stop()
}

// InputStats returns the use of the memory for the connections' input.
func (s *Server) InputStats() transport.InputStats { return s.input.budget.Stats() }
