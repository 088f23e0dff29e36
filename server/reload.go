package server

import (
	"fmt"

	"quincerail.example/quincerail/config"
)

// Reload applies a new configuration while requests are served: the addresses of the
// processor, the shared dependency and the discovery service, the settings, the limits of
// memory and cores, the rules, and the time from SIGTERM to the kill. It merges the fleet's
// patch, if there is one, into the new settings. If uwsgiFile is nil, the uwsgi frontend keeps
// its configuration.
//
// If Reload returns an error, nothing has changed; the error names the invalid key unless the
// server has stopped. Changed keys that need a restart, such as the limit of file descriptors,
// are logged and keep their values.
func (s *Server) Reload(c *config.Config, uwsgiFile *config.UWSGI) error {
	s.reloadMu.Lock()
	defer s.reloadMu.Unlock()
	next, err := s.validate(c)
	if err != nil {
		return err
	}
	if err := s.apply(next, uwsgiFile); err != nil {
		return err
	}
	s.fileConfig = c
	return nil
}

// validate returns c with the fleet's patch merged into its settings. It returns an error if c
// lacks a key that the active file has, or if the patched configuration is invalid.
func (s *Server) validate(c *config.Config) (*config.Config, error) {
	if err := c.CheckComplete(s.fileConfig); err != nil {
		return nil, err
	}
	next, err := c.WithPatch(s.fleetPatch)
	if err != nil {
		return nil, fmt.Errorf("configuration with the fleet's patch: %w", err)
	}
	return next, nil
}

// apply makes next the active configuration. The core validates the settings first; if it
// returns an error, nothing has changed.
func (s *Server) apply(next *config.Config, uwsgiFile *config.UWSGI) error {
	if err := s.core.UpdateSettings(next.Settings, next.Classes, next.Tenants); err != nil {
		return err
	}
	current := s.activeConfig.Load()
	ignored := s.ignoredKeys(current, next, uwsgiFile)
	ApplyResourceLimits(next)
	s.applyAddresses(next)
	s.applyRules(current, next)
	s.applyUWSGI(uwsgiFile)
	for _, key := range ignored {
		s.log.Warn("reload_ignored", "key", key, "reason", "needs a restart")
	}
	s.applyToObservers(next)
	s.activeConfig.Store(next)
	s.log.Info("reloaded", "processor", next.ProcessorAddress, "ledger", next.DependencyAddress, "announce", next.DiscoveryAddress,
		"classes", fmt.Sprintf("%q", next.Classes))
	return nil
}

// ignoredKeys returns the changed keys that take effect only after a restart.
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
