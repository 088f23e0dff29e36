package gossip

import (
	"cmp"
	"slices"
	"time"
)

// rejoinInterval is the time between two attempts to join the seeds that are not
// known to be alive.
const rejoinInterval = time.Second

// seed is a configured member that others contact to join the fleet.
type seed struct{ name, address string }

// joinAddress returns the seed's name and address in the form that
// memberlist.Join accepts.
func (s seed) joinAddress() string { return s.name + "/" + s.address }

// otherSeeds returns the seeds other than the member itself, sorted by name.
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

// joinSeeds joins the seeds that are not known to be alive, now and every
// rejoinInterval until Stop. Without the repetition, a member that all others have
// declared dead would not learn of any member again.
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
