package simulation

import (
	"time"

	"quincerail.example/quincerail/fleet/quota"
)

// Config describes a fleet, its network and its load.
type Config struct {
	Members         int
	Capacity        uint64 // the budget: units that all members together may have in use
	Seed            uint64
	RoundInterval   time.Duration // time between two rounds of gossip
	Fanout          int           // members to which each member gossips in a round
	MaxMessageBytes int
	LossRate        float64 // fraction of messages that are lost
	DuplicateRate   float64 // fraction of messages that arrive twice
	DelayRate       float64 // fraction of messages that arrive in a later round
	Timing          quota.Timing
	MaxClockDrift   float64 // maximum deviation of a clock's rate as a fraction; drawn for each member
	Load            float64 // total demand of all members as a fraction of Capacity
	Skew            float64 // a member's demand is proportional to its rank to the power of -Skew
	ReshuffleRounds int     // rounds after which the demands are drawn again; 0 for never
}
