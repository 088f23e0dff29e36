package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"quincerail.example/quincerail/fleet"
)

// dependencyStates are the values of quincerail_fleet_dependency; 0 stands for unknown.
var dependencyStates = map[fleet.DependencyState]float64{fleet.DependencyGood: 1, fleet.DependencySlow: 2, fleet.DependencyDown: 3}

// ObserveFleet adds the collectors of a member of a fleet, and of the fleet's budgets that it
// has.
func (r *Recorder) ObserveFleet(member *fleet.Fleet) {
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
			r.observeBudget(member, budget)
		}
	}
	if calls := member.QuotaAgent(fleet.CallQuota); calls != nil {
		r.observeFleetAnswers(calls)
	}
}

// oneIf returns 1 for true, 0 for false.
func oneIf(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// observeBudget adds the collectors of what a member holds of one of the fleet's budgets.
func (r *Recorder) observeBudget(member *fleet.Fleet, budget string) {
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

// observeFleetAnswers has this process's answers counted for the whole fleet, by the agent of
// the budget of calls, and adds the fleet's sums.
func (r *Recorder) observeFleetAnswers(calls *fleet.QuotaAgent) {
	r.countFleetAnswer = calls.AddToCounter
	for _, kind := range answerKinds {
		labels := prometheus.Labels{labelKind: kind.String()}
		r.registry.MustRegister(
			newGauge("quincerail_fleet_answers", "Final answers of the whole fleet, as far as this member has heard.",
				labels, func() float64 { return float64(calls.CounterValue(kind.String())) }))
	}
}
