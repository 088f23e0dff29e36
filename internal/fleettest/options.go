package fleettest

import (
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

// Options configure a Fleet.
type Options struct {
	Binary  string // path of the program, from Build
	Version string // version name of Binary; "" for a fleet without rollouts
	// Versions are the paths of further programs, by version name.
	Versions map[string]string
	// Adjust changes a member's decoded JSON configuration; may be nil.
	Adjust func(config map[string]any)
	// Work returns the work of a member's processor; nil for work that takes no time.
	Work func() *fakes.Work
	// Class is the class of the callers' requests, Word the first word of their bodies.
	// The defaults are kampanjsida and call.
	Class, Word string
	Dir         string // for the members' files
	Example     string // path of example/config.json
	Seed        uint64
	Voters      int // named v1, v2, ...
	Joining     int // voters that start with join set and wait to be added; numbered after Voters
	Members     int // members that are not voters, named m1, m2, ...
	// Settings are added to the fleet section of all members' operator files.
	Settings map[string]any
	// MemberSettings are added to the fleet section of single members' operator files. The
	// key is the member name.
	MemberSettings map[string]map[string]any
	// OperatorFileKeys are added to the top level of single members' operator files. The key
	// is the member name.
	OperatorFileKeys map[string]map[string]any
	// Direct connects members that are not voters without gossip proxies, for measurements
	// with hundreds of members.
	Direct bool
	// Load is the number of callers of each member. Each sends one request after the
	// other. 0 starts no callers, no processors and no shared dependency.
	Load         int
	CallDuration time.Duration // of a call to the shared dependency
	RejectEvery  int           // the shared dependency rejects the first call of one in RejectEvery requests; 0 for none
	Within       time.Duration // timeout of Await and AwaitWrite; 0 for 30 s
}
