package gossip

import (
	"cmp"
	"slices"
	"time"
)

// rejoinInterval is how often the seeds are joined that are not known to be alive.
const rejoinInterval = time.Second

// seed is a member to join by.
type seed struct{ name, address string }

// joinAddress is the seed's name and address as memberlist joins it.
func (s seed) joinAddress() string { return s.name + "/" + s.address }

// otherSeeds returns the seeds other than the member itself, in order.
func otherSeeds(options Options) []seed {
	var seeds []seed
	for name, address := range options.Seeds {
		if name != options.Self {
			seeds = append(seeds, seed{name, address})
		}
	}
	slices.SortFunc(seeds, func(a, b seed) int { return cmp.Compare(a.joinAddress(), b.joinAddress()) })
	return seeds
}

// joinSeeds joins the seeds, and joins again those that are not known to be alive:
// a member that all others took for dead hears of nobody.
func (m *Membership) joinSeeds() {
	defer close(m.joinerDone)
	ticker := time.NewTicker(rejoinInterval)
	defer ticker.Stop()
	for {
		m.joinMissingSeeds()
		select {
		case <-m.stopping:
			return
		case <-ticker.C:
		}
	}
}

func (m *Membership) joinMissingSeeds() {
	alive := m.Alive()
	for _, s := range m.seeds {
		if slices.Contains(alive, s.name) {
			continue
		}
		if _, err := m.list.Join([]string{s.joinAddress()}); err != nil {
			m.log.Debug("fleet_join", "seed", s.joinAddress(), "error", err.Error())
		}
	}
}
