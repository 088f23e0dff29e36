package fleettest

import (
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

// Options are what a fleet is made of.
type Options struct {
	Binary  string // of Build
	Version string // that it is called; "" for no rollouts
	// Versions are further programs, by what they are called.
	Versions map[string]string
	// Adjust changes a member's configuration, as JSON has it; may be nil.
	Adjust func(config map[string]any)
	// Work is what a member's processor does; nil for work that takes no time.
	Work func() *fakes.Work
	// Class and Word are of the callers' requests, and the first word of their
	// bodies; kampanjsida and call where they are empty.
	Class, Word string
	Dir         string // for files of the fleet's own
	Example     string // path of example/config.json
	Seed        uint64
	Voters      int // named v1, v2, ...
	Joining     int // voters that wait to be added, named after the others
	Members     int // that hear only, named m1, m2, ...
	// Settings are lines of the operator's file in its part [fleet], for all.
	Settings map[string]any
	// Own are such lines of one member, by name.
	Own map[string]map[string]any
	// Files are further keys of one member's operator's file, by name.
	Files map[string]map[string]any
	// Direct has plain members join the voters, and be reached, without proxies:
	// for measurements with hundreds of members.
	Direct bool
	// Load is how many callers each member has, which ask for work that calls the
	// shared ledger, one request after the other; 0 for none, and no ledger.
	Load      int
	Took      time.Duration // of a call at the shared ledger
	TurnsAway int           // it turns the first call of one in so many requests away; 0 for none
	Within    time.Duration // until Await gives up; 0 for 30 s
}
