package server

import (
	"time"

	"quincerail.example/quincerail/guard"
	"quincerail.example/quincerail/transport"
)

// withheldReportInterval is the minimum time between two log events about the connections of
// one listener.
const withheldReportInterval = time.Second

// monitoredListener is a listener whose waiting connections are reported.
type monitoredListener struct {
	name     string // in log events and metric labels
	server   *transport.Server
	reported transport.ServerStats // at the last report
}

// monitorListener adds a listener to the reports about waiting connections, and bounds their
// waits.
func (s *Server) monitorListener(name string, server *transport.Server) {
	server.BoundWaits()
	s.monitored = append(s.monitored, &monitoredListener{name: name, server: server})
	if s.recorder != nil {
		s.recorder.RegisterListener(name, server.Stats)
	}
}

// reportWithheld logs, until the server stops, how many connections were closed because their
// peers withheld something, and how many were admitted over the limit.
func (s *Server) reportWithheld() {
	ticker := time.NewTicker(withheldReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.lifetimeCtx.Done():
			return
		case <-ticker.C:
		}
		for _, l := range s.monitored {
			s.reportListener(l)
		}
		s.reportInput()
	}
}

// reportListener logs the counts of a listener that have changed since the last report.
func (s *Server) reportListener(l *monitoredListener) {
	stats := l.server.Stats()
	attributes := []any{"listener", l.name}
	total := stats.OverLimit - l.reported.OverLimit
	for _, withheld := range guard.WithheldKinds {
		count := stats.Withheld[withheld] - l.reported.Withheld[withheld]
		total += count
		attributes = append(attributes, string(withheld), count)
	}
	attributes = append(attributes, "over_limit", stats.OverLimit-l.reported.OverLimit, "open", stats.Open, "limit", stats.Limit)
	throttled := stats.TurnsExhausted - l.reported.TurnsExhausted
	l.reported = stats
	if throttled > 0 {
		s.log.Warn("connections_throttled", "listener", l.name, "turns", throttled, "open", stats.Open)
	}
	if total > 0 {
		s.log.Warn("connections_withheld", attributes...)
	}
}
