package server

// Kill ends a server at once, at the end of a test: one that went on would dial the
// addresses of its parties when they are others' already.
func (s *Server) Kill() {
	s.closeListeners()
	s.stop()
}
