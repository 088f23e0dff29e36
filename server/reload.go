package server

import (
	"fmt"

	"quincerail.example/quincerail/config"
)

// Reload puts a new configuration in force while requests are served: the addresses of the
// other parties, the settings, the limits of memory and cores, the rules, and how soon the
// kill follows SIGTERM. What the fleet changed of the settings stays changed. Where uwsgiFile
// is nil the uwsgi front keeps its configuration.
//
// With an error, which names the key at fault, nothing has changed. Changed keys that need a
// restart, the limit of descriptors among them, are logged and stay as they were.
func (s *Server) Reload(c *config.Config, uwsgiFile *config.UWSGI) error {
	s.reloading.Lock()
	defer s.reloading.Unlock()
	next, err := s.validate(c)
	if err != nil {
		return err
	}
	if err := s.apply(next, uwsgiFile); err != nil {
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
func (s *Server) apply(next *config.Config, uwsgiFile *config.UWSGI) error {
	if err := s.core.UpdateSettings(next.Settings, next.Classes, next.Tenants); err != nil {
		return err
	}
	current := s.inForce.Load()
	ignored := s.ignoredKeys(current, next, uwsgiFile)
	ApplyResourceLimits(next)
	s.applyAddresses(next)
	s.applyRules(current, next)
	s.applyUWSGI(uwsgiFile)
	for _, key := range ignored {
		s.log.Warn("reload_ignored", "key", key, "reason", "needs a restart")
	}
	s.applyToObservers(next)
	s.inForce.Store(next)
	s.log.Info("reloaded", "processor", next.ProcessorAddress, "ledger", next.DependencyAddress, "announce", next.DiscoveryAddress,
		"classes", fmt.Sprintf("%q", next.Classes))
	return nil
}

// ignoredKeys returns the changed keys that need a restart to take effect.
func (s *Server) ignoredKeys(current, next *config.Config, uwsgiFile *config.UWSGI) []string {
	keys := next.RestartKeys(current)
	if s.uwsgi != nil && uwsgiFile != nil && uwsgiFile.Listen != s.uwsgiListen {
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

func (s *Server) applyUWSGI(file *config.UWSGI) {
	if s.uwsgi == nil || file == nil {
		return
	}
	s.uwsgiBackend.SetAddress(file.Backend)
	s.uwsgi.SetConfig(uwsgiConfig(file))
	s.uwsgiListen = file.Listen
}

func (s *Server) applyToObservers(next *config.Config) {
	if s.outcomes != nil {
		s.outcomes.setObjectives(next.Classes, next.Settings)
	}
	if s.recorder != nil {
		s.recorder.SetClasses(next.Classes)
	}
}
