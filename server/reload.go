package server

import (
	"fmt"
	"slices"

	"quincerail.example/quincerail/config"
)

// Reload takes over a new configuration while all goes on: where the other
// parties are, the settings, the limits, and how soon the kill follows the notice
// to leave. An error names what makes no sense, or is missing, and nothing has
// changed then. What can't change in a running process is named in the log, and
// stays. u may be nil. What the fleet changed of the settings stays changed.
func (s *Server) Reload(c *config.Config, u *config.UWSGI) error {
	s.reloading.Lock()
	defer s.reloading.Unlock()
	if err := c.CheckComplete(s.file); err != nil {
		return err
	}
	next, err := c.WithPatch(s.patch)
	if err != nil {
		return fmt.Errorf("with what the fleet changed: %w", err)
	}
	if err := s.reload(next, u); err != nil {
		return err
	}
	s.file = c
	return nil
}

// reload puts a configuration in force.
func (s *Server) reload(c *config.Config, u *config.UWSGI) error {
	was := s.config.Load()
	if err := s.core.UpdateSettings(c.Settings, c.Classes, c.Tenants); err != nil {
		return err
	}
	Limit(c)
	s.link.SetAddress(c.Processor)
	s.pool.SetAddress(c.Ledger)
	s.registrar.SetAddress(c.Announce)
	if c.Rules != nil && c.Rules != was.Rules {
		s.log.Info("rules", "version", s.rules.Replace(c.Rules), "rules", c.Rules.Len())
	}
	stays := map[string]bool{
		"name": c.Name != was.Name, "listen": c.Listen != was.Listen, "control": c.Control != was.Control,
		"limits.sockets": c.Sockets != was.Sockets, "settings.familyInfo.ownStats": !slices.Equal(c.Gauges, was.Gauges),
	}
	if s.uwsgi != nil && u != nil {
		s.backend.SetAddress(u.Backend)
		s.uwsgi.SetConfig(uwsgiConfig(u))
		stays["uwsgi listen"] = u.Listen != s.uwsgiListen
		s.uwsgiListen = u.Listen
	}
	for key, changed := range stays {
		if changed {
			s.log.Warn("reload_ignored", "key", key, "reason", "needs a restart")
		}
	}
	if s.tally != nil {
		s.tally.tune(c.Classes, c.Settings)
	}
	if s.recorder != nil {
		s.recorder.SetClasses(c.Classes)
	}
	s.config.Store(c)
	s.log.Info("reloaded", "processor", c.Processor, "ledger", c.Ledger, "announce", c.Announce, "classes", fmt.Sprintf("%q", c.Classes))
	return nil
}
