package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"quincerail.example/quincerail/fleet"
)

// dependencyStates maps states to the values of quincerail_fleet_dependency; 0 is unknown.
var dependencyStates = map[fleet.DependencyState]float64{fleet.DependencyGood: 1, fleet.DependencySlow: 2, fleet.DependencyDown: 3}

// RegisterFleet adds the collectors that report the fleet as this member sees it, and those of
// each budget that the member takes part in.
func (r *Recorder) RegisterFleet(member *fleet.Fleet) {
	gauge := func(name, help string, value func(fleet.Stats) float64) prometheus.Collector {
		return newGauge(name, help, nil, func() float64 { return value(member.Stats()) })
	}
	counter := func(name, help string, value func(fleet.Stats) float64) prometheus.Collector {
		return newCounter(name, help, nil, func() float64 { return value(member.Stats()) })
	}
	r.registry.MustRegister(
		gauge("quincerail_fleet_alive", "Members of the fleet that are thought to be alive.",
			func(s fleet.Stats) float64 { return float64(s.AliveMembers) }),
		gauge("quincerail_fleet_owner", "1 while this process owns the lease on the registry's judgement.",
			func(s fleet.Stats) float64 { return oneIf(s.OwnsHealthLease) }),
		gauge("quincerail_fleet_dependency", "How the shared dependency stands: 0 unknown, 1 good, 2 slow, 3 down.",
			func(s fleet.Stats) float64 { return dependencyStates[s.Dependency] }),
		counter("quincerail_fleet_messages_total", "Messages sent to other members.",
			func(s fleet.Stats) float64 { return float64(s.MessagesSent) }),
		counter("quincerail_fleet_bytes_total", "Bytes sent to other members.",
			func(s fleet.Stats) float64 { return float64(s.BytesSent) }),
		counter("quincerail_fleet_stale_total", "Pieces of fleet work refused for their token.",
			func(s fleet.Stats) float64 { return float64(s.StaleUpdates) }),
	)
	for _, budget := range []string{fleet.CallQuota, fleet.RetryQuota} {
		if member.QuotaAgent(budget) != nil {
			r.registerBudget(member, budget)
		}
	}
	if calls := member.QuotaAgent(fleet.CallQuota); calls != nil {
		r.registerFleetResponses(calls)
	}
}

// oneIf returns 1 for true, 0 for false.
func oneIf(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// registerBudget adds the gauges for one of the fleet's budgets: the member's rights, how many
// of them it uses, and how many rights no member holds.
func (r *Recorder) registerBudget(member *fleet.Fleet, budget string) {
	labels := prometheus.Labels{labelBudget: budget}
	r.registry.MustRegister(
		newGauge("quincerail_fleet_rights", "What this member may have in hand of the fleet's budget.",
			labels, func() float64 { return float64(member.Stats().Quotas[budget].Rights) }),
		newGauge("quincerail_fleet_in_hand", "What this member has in hand of the fleet's budget.",
			labels, func() float64 { return float64(member.Stats().Quotas[budget].InUse) }),
		newGauge("quincerail_fleet_free", "What of the fleet's budget nobody holds, by a voter's log.",
			labels, func() float64 { return float64(member.Stats().Quotas[budget].Free) }),
	)
}

// registerFleetResponses adds the gauges of the fleet's responses. From then on the agent of
// the budget of calls also counts this process's responses in the fleet's counters.
func (r *Recorder) registerFleetResponses(calls *fleet.QuotaAgent) {
	r.countFleetResponse = calls.AddToCounter
	for _, kind := range outcomeKinds {
		labels := prometheus.Labels{labelKind: kind.String()}
		r.registry.MustRegister(
			newGauge("quincerail_fleet_answers", "Final answers of the whole fleet, as far as this member has heard.",
				labels, func() float64 { return float64(calls.CounterValue(kind.String())) }))
	}
}
