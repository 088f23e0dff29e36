package server

import (
	"encoding/json"

	"quincerail.example/quincerail/config"
)

// fleetTarget applies the fleet's rollouts of settings to this process, and counts its
// outcomes for them. It implements fleet.RolloutTarget.
type fleetTarget struct {
	*outcomeCounter

	server *Server
}

// Apply implements fleet.RolloutTarget.
func (t fleetTarget) Apply(patch json.RawMessage) error { return t.server.applyFleetPatch(patch) }

// applyFleetPatch applies the configuration from the file with the settings changed by patch.
// After an error nothing has changed.
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
// may assign: next would be valid by itself, but requests would get a class that it does not
// have.
func (s *Server) checkClassesKept(next *config.Config) error {
	if s.uwsgi == nil && s.fileConfig.Rules == nil {
		return nil
	}
	return next.CheckClasses(s.fileConfig)
}
