package server

// Kill stops a server at once at the end of a test. A server that kept running would dial the
// addresses of its closed fakes, which other tests may use by then.
func (s *Server) Kill() {
	s.closeListeners()
	s.stop()
}
