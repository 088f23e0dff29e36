package server

import (
	"encoding/json"

	"quincerail.example/quincerail/config"
)

// fleetTarget is this process to the fleet's rollouts. It implements fleet.RolloutTarget.
type fleetTarget struct {
	*outcomeCounter

	server *Server
}

// Apply implements fleet.RolloutTarget.
func (t fleetTarget) Apply(patch json.RawMessage) error { return t.server.applyFleetPatch(patch) }

// applyFleetPatch puts the file's configuration in force with the fleet's changes of its
// settings. With an error nothing has changed.
func (s *Server) applyFleetPatch(patch json.RawMessage) error {
	s.reloading.Lock()
	defer s.reloading.Unlock()
	next, err := s.fromFile.WithPatch(patch)
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

// checkClassesKept rejects settings without a class that the rules or the uwsgi front may
// give to requests: valid alone, they would have requests of no class.
func (s *Server) checkClassesKept(next *config.Config) error {
	if s.uwsgi == nil && s.fromFile.Rules == nil {
		return nil
	}
	return next.CheckClasses(s.fromFile)
}
