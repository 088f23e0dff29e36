package server

import (
	"encoding/json"

	"quincerail.example/quincerail/config"
)

// fleetTarget applies the settings of the fleet's rollouts to this process, and reports the
// counts of outcomes by which a rollout compares servers. It implements fleet.RolloutTarget.
type fleetTarget struct {
	*outcomeCounter

	server *Server
}

// Apply implements fleet.RolloutTarget.
func (t fleetTarget) Apply(patch json.RawMessage) error { return t.server.applyFleetPatch(patch) }

// applyFleetPatch merges patch into the settings of the configuration from the file, and makes
// the result the active configuration. If it returns an error, nothing has changed.
func (s *Server) applyFleetPatch(patch json.RawMessage) error {
	s.reloadMu.Lock()
	defer s.reloadMu.Unlock()
	next, err := s.fileConfig.WithPatch(patch)
	if err != nil {
		return err
	}
	if err := s.checkClassesKept(next); err != nil {
		return err
	}
	if err := s.apply(next, nil); err != nil {
		return err
	}
	s.fleetPatch = patch
	return nil
}

// checkClassesKept returns an error if next lacks a class that the rules or the uwsgi frontend
// may assign. The settings in next may be valid without that class, but requests would get a
// class that they lack.
func (s *Server) checkClassesKept(next *config.Config) error {
	if s.uwsgi == nil && s.fileConfig.Rules == nil {
		return nil
	}
	return next.CheckClasses(s.fileConfig)
}
