package server

import (
	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/transport"
)

// inputMemoryDivisor bounds what the connections of all frontends have read and the core has not
// got yet: it may use the process's memory divided by this number.
const inputMemoryDivisor = 8

// inputMonitor has the budget of bytes for the connections' input, whose use is reported.
type inputMonitor struct {
	budget   *transport.InputBudget
	reported transport.InputStats // at the last report
}

// createInputBudget creates the budget for the input of all connections, if the configuration
// limits the memory.
func (s *Server) createInputBudget(c *config.Config) {
	if c.MemoryMB == 0 {
		return
	}
	s.input = &inputMonitor{budget: transport.NewInputBudget(c.MemoryMB * bytesPerMB / inputMemoryDivisor)}
	if s.recorder != nil {
		s.recorder.RegisterInput(s.input.budget.Stats)
	}
}

// limitClients bounds what a client's connection may take in a turn, and makes the input of all
// connections count against the budget.
func (s *Server) limitClients(server *transport.Server) {
	server.LimitTurns()
	if s.input != nil {
		server.LimitInput(s.input.budget)
	}
}

// reportInput logs how many connections were closed, and how many messages not read, because
// the budget was used up since the last report.
func (s *Server) reportInput() {
	if s.input == nil {
		return
	}
	stats := s.input.budget.Stats()
	reclaimed, rejected := stats.Reclaimed-s.input.reported.Reclaimed, stats.Rejected-s.input.reported.Rejected
	s.input.reported = stats
	if reclaimed+rejected > 0 {
		s.log.Warn("input_memory_exhausted", "reclaimed", reclaimed, "rejected", rejected,
			"used_bytes", stats.Used, "limit_bytes", stats.Capacity)
	}
}
