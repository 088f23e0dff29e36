package server

import (
	"fmt"

	"quincerail.example/quincerail/config"
)

// Reload puts a new configuration in force while requests are served: the addresses of the
// other parties, the settings, the limits, and how soon the kill follows SIGTERM. What the
// fleet changed of the settings stays changed. Without u the uwsgi front keeps its file.
//
// With an error, which names the key at fault, nothing has changed. What needs a restart
// to change is logged and stays.
func (s *Server) Reload(c *config.Config, u *config.UWSGI) error {
	s.reloading.Lock()
	defer s.reloading.Unlock()
	next, err := s.validate(c)
	if err != nil {
		return err
	}
	if err := s.apply(next, u); err != nil {
		return err
	}
	s.fromFile = c
	return nil
}

// validate returns a configuration with what the fleet changed. It must have all keys that
// the file in force has.
func (s *Server) validate(c *config.Config) (*config.Config, error) {
	if err := c.CheckComplete(s.fromFile); err != nil {
		return nil, err
	}
	next, err := c.WithPatch(s.fleetPatch)
	if err != nil {
		return nil, fmt.Errorf("with what the fleet changed: %w", err)
	}
	return next, nil
}

// apply puts a configuration in force. The core checks the settings before anything has
// changed.
func (s *Server) apply(next *config.Config, u *config.UWSGI) error {
	if err := s.core.UpdateSettings(next.Settings, next.Classes, next.Tenants); err != nil {
		return err
	}
	current := s.inForce.Load()
	ignored := s.ignoredKeys(current, next, u)
	ApplyResourceLimits(next)
	s.applyAddresses(next)
	s.applyRules(current, next)
	s.applyUWSGI(u)
	for _, key := range ignored {
		s.log.Warn("reload_ignored", "key", key, "reason", "needs a restart")
	}
	s.applyToObservers(next)
	s.inForce.Store(next)
	s.log.Info("reloaded", "processor", next.ProcessorAddress, "ledger", next.DependencyAddress, "announce", next.DiscoveryAddress,
		"classes", fmt.Sprintf("%q", next.Classes))
	return nil
}

// ignoredKeys names what has changed and needs a restart.
func (s *Server) ignoredKeys(current, next *config.Config, u *config.UWSGI) []string {
	keys := next.RestartKeys(current)
	if s.uwsgi != nil && u != nil && u.Listen != s.uwsgiListen {
		keys = append(keys, uwsgiListenKey)
	}
	return keys
}

func (s *Server) applyAddresses(next *config.Config) {
	s.processor.SetAddress(next.ProcessorAddress)
	s.dependency.SetAddress(next.DependencyAddress)
	s.registrar.SetAddress(next.DiscoveryAddress)
}

func (s *Server) applyRules(current, next *config.Config) {
	if next.Rules != nil && next.Rules != current.Rules {
		s.log.Info("rules", "version", s.rules.Replace(next.Rules), "rules", next.Rules.Len())
	}
}

func (s *Server) applyUWSGI(u *config.UWSGI) {
	if s.uwsgi == nil || u == nil {
		return
	}
	s.uwsgiBackend.SetAddress(u.Backend)
	s.uwsgi.SetConfig(uwsgiConfig(u))
	s.uwsgiListen = u.Listen
}

func (s *Server) applyToObservers(next *config.Config) {
	if s.outcomes != nil {
		s.outcomes.setObjectives(next.Classes, next.Settings)
	}
	if s.recorder != nil {
		s.recorder.SetClasses(next.Classes)
	}
}
