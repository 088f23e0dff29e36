package simulation

import (
	"time"

	"quincerail.example/quincerail/fleet/quota"
)

// Config is a fleet, its network and its load.
type Config struct {
	Members         int
	Capacity        uint64 // the budget: what all may have in use together
	Seed            uint64
	RoundInterval   time.Duration // between two rounds of gossip
	Fanout          int           // members that each gossips with in a round
	MaxMessageBytes int
	LossRate        float64 // fraction of messages lost
	DuplicateRate   float64 // fraction that arrives twice
	DelayRate       float64 // fraction that arrives some rounds later
	Timing          quota.Timing
	MaxClockDrift   float64 // clocks run fast or slow by up to this fraction, drawn for each
	Load            float64 // what all demand together, as a fraction of Capacity
	Skew            float64 // a member's demand goes with its rank to the power of -Skew
	ReshuffleRounds int     // rounds after which the demands are drawn anew; 0 for never
}
