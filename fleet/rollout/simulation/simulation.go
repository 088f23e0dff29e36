package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"

	"quincerail.example/quincerail/fleet/rollout"
)

// Parameters of the simulated fleet before the change. Rates are fractions of requests;
// sigmas are standard deviations of logarithms.
const (
	zones = 3

	lateRate     = 0.05 // of a server with a rate factor of 1
	rejectedRate = 0.02
	failureRate  = 0.002

	medianLatency = 0.25 // seconds; latencies have a log-normal distribution
	latencySigma  = 0.7

	serverRateSigma   = 0.3 // of a server's rate factor
	requestCountSigma = 0.1 // of a server's request count in a window
	burstSigma        = 0.2 // of a server's event rate in a window

	commonRateAutocorrelation = 0.98 // part of commonLogRate that remains in the next window
	commonRateSigma           = 0.05

	reportLossRate         = 0.01
	replacementProbability = 0.5 // probability that a server is replaced within a window
)

// Config describes a fleet and the effects of the change.
type Config struct {
	Plan                rollout.Plan
	Seed                uint64
	RequestsPerWindow   float64 // mean number of requests of one server
	LateRatio           float64 // new version's rate of late answers divided by the old version's; 1.2 means 20% more
	FailureRatio        float64 // the same for the failure rate
	LatencyRatio        float64 // the same for the latency
	CrashesPerWindow    float64 // mean number of crashes of one server that has the change
	BaselineFailureRate float64 // the change adds this times the share of changed servers to the failure rate of servers with the old version
	SilentZone          string  // zone in which all reports of the new version are lost
	StuckServer         string  // server that can't be rolled back
	MaxWindows          int     // windows after which Run ends
}

// Outcome is the result of Run.
type Outcome struct {
	State     rollout.State
	MaxShare  float64 // largest share of the servers that ran the change
	Windows   int
	Remaining int // servers that have the change at the end
}

// Servers returns n servers in three zones.
func Servers(n int) []rollout.Server {
	servers := make([]rollout.Server, n)
	for i := range servers {
		servers[i] = rollout.Server{Name: fmt.Sprintf("s%03d", i), Zone: fmt.Sprint("zone", i%zones)}
	}
	return servers
}

// Run runs one rollout. It calls reload with the state after each window and continues
// with the result, like a new owner that reads the state from the log.
func Run(c Config, reload func(rollout.State) rollout.State) Outcome {
	f := newFleet(c)
	var out Outcome
	var state rollout.State
	for out.Windows = 1; out.Windows <= c.MaxWindows; out.Windows++ {
		f.advanceCommonRate()
		out.MaxShare = max(out.MaxShare, f.changedShare())
		samples := f.window()
		state, _ = c.Plan.Step(state, out.Windows, samples)
		state = reload(state)
		f.replace(c.Plan.DesiredVersions(state))
		if state.Phase == rollout.Done || state.Phase == rollout.Halted {
			break
		}
	}
	out.State, out.Remaining = state, f.changed()
	return out
}

// fleet holds the versions and event rates of the simulated servers.
type fleet struct {
	Config
	random        *rand.Rand
	versions      map[string]string  // by server
	rateFactors   map[string]float64 // factor of each server's event rates, by server
	commonLogRate float64            // log of the current factor of all servers' event rates
}

// newFleet returns a fleet whose servers run the old version.
func newFleet(c Config) *fleet {
	f := &fleet{
		Config: c, random: rand.New(rand.NewPCG(c.Seed, 29)),
		versions: map[string]string{}, rateFactors: map[string]float64{},
	}
	for _, s := range c.Plan.Servers {
		f.versions[s.Name], f.rateFactors[s.Name] = c.Plan.From, math.Exp(serverRateSigma*f.random.NormFloat64())
	}
	return f
}

// advanceCommonRate draws the common factor of all event rates for the next window.
func (f *fleet) advanceCommonRate() {
	f.commonLogRate = float64(commonRateAutocorrelation*f.commonLogRate) + float64(commonRateSigma*f.random.NormFloat64())
}

// changed returns the number of servers that have the change.
func (f *fleet) changed() int {
	n := 0
	for _, version := range f.versions {
		if version == f.Plan.To {
			n++
		}
	}
	return n
}

// changedShare returns the share of the servers that have the change.
func (f *fleet) changedShare() float64 {
	return float64(f.changed()) / float64(len(f.Plan.Servers))
}

// window draws the samples of one window and returns those that are not lost.
func (f *fleet) window() []rollout.Sample {
	var samples []rollout.Sample
	changedShare := f.changedShare()
	for _, server := range f.Plan.Servers {
		sample := f.sample(server.Name, changedShare)
		lost := f.random.Float64() < reportLossRate
		if lost || f.SilentZone == server.Zone && sample.Version == f.Plan.To {
			continue
		}
		samples = append(samples, sample)
	}
	return samples
}

// sample draws the counts of one server in a window.
func (f *fleet) sample(name string, changedShare float64) rollout.Sample {
	sample := rollout.Sample{
		Server: name, Version: f.versions[name],
		Requests: f.poisson(f.RequestsPerWindow * math.Exp(requestCountSigma*f.random.NormFloat64())),
	}
	factor := f.rateFactors[name] * math.Exp(f.commonLogRate)
	late, failed, latency := lateRate*factor, failureRate, 1.0
	if sample.Version == f.Plan.To {
		late, failed, latency = late*f.LateRatio, failed*f.FailureRatio, f.LatencyRatio
		sample.Crashes = f.poisson(f.CrashesPerWindow)
	} else {
		failed += float64(f.BaselineFailureRate * changedShare)
	}
	burst := math.Exp(burstSigma * f.random.NormFloat64())
	requests := float64(sample.Requests)
	sample.Late = min(sample.Requests, f.poisson(requests*late*burst))
	sample.Failed = min(sample.Requests, f.poisson(requests*failed))
	sample.Rejected = min(sample.Requests, f.poisson(requests*rejectedRate*factor*burst))
	for i, bound := range rollout.LatencyBounds {
		z := math.Log(bound.Seconds()/(medianLatency*latency)) / latencySigma
		sample.SlowerThan[i] = min(sample.Requests, f.poisson(requests*0.5*math.Erfc(z/math.Sqrt2)))
		if i > 0 {
			sample.SlowerThan[i] = min(sample.SlowerThan[i], sample.SlowerThan[i-1])
		}
	}
	return sample
}

// replace switches a random part of the servers to their desired versions, as an
// operator does within one window.
func (f *fleet) replace(desired map[string]string) {
	for _, server := range f.Plan.Servers {
		name, version := server.Name, desired[server.Name]
		if f.versions[name] == version || f.random.Float64() >= replacementProbability {
			continue
		}
		if name == f.StuckServer && version == f.Plan.From {
			continue
		}
		f.versions[name] = version
	}
}

// poisson draws from a Poisson distribution, approximated by a normal distribution if the
// mean is large.
func (f *fleet) poisson(mean float64) uint64 {
	const largeMean = 50
	if mean > largeMean {
		return uint64(max(0, math.Round(mean+float64(math.Sqrt(mean)*f.random.NormFloat64()))))
	}
	n, product := uint64(0), f.random.Float64()
	for limit := math.Exp(-mean); product > limit; n++ {
		product *= f.random.Float64()
	}
	return n
}
