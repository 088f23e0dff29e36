package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"

	"quincerail.example/quincerail/fleet/rollout"
)

// The simulated fleet, before the change.
const (
	zones = 3

	lateRate     = 0.05 // of the requests of a server of ordinary speed
	rejectedRate = 0.02
	failureRate  = 0.002

	medianLatency = 0.25 // seconds, of a log-normal distribution
	latencySigma  = 0.7

	serverRateSigma   = 0.3 // of the log of a server's speed
	requestCountSigma = 0.1 // of the log of a server's requests in a window
	burstSigma        = 0.2 // of the log of a server's event rate in a window

	commonRateAutocorrelation = 0.98 // part of the hour's factor that a window keeps
	commonRateSigma           = 0.05

	reportLossRate         = 0.01
	replacementProbability = 0.5 // chance that a server is replaced within a window
)

// Config is a fleet and what the change does to it.
type Config struct {
	Plan                rollout.Plan
	Seed                uint64
	RequestsPerWindow   float64 // mean for one server
	LateRatio           float64 // late answers of the change to those of the old version: 1.2 is a fifth more
	FailureRatio        float64
	LatencyRatio        float64
	CrashesPerWindow    float64 // mean for one server that has the change
	BaselineFailureRate float64 // rate of failures that the change causes at the old servers, times its share of the fleet
	SilentZone          string  // whose reports of the new version are lost
	StuckServer         string  // which does not come back from the change
	MaxWindows          int
}

// Outcome is the end of a rollout.
type Outcome struct {
	State     rollout.State
	MaxShare  float64 // largest share of the servers that ran the change
	Windows   int
	Remaining int // servers that run the change at the end
}

// Servers returns n servers in three zones.
func Servers(n int) []rollout.Server {
	servers := make([]rollout.Server, n)
	for i := range servers {
		servers[i] = rollout.Server{Name: fmt.Sprintf("s%03d", i), Zone: fmt.Sprint("zone", i%zones)}
	}
	return servers
}

// Run plays one rollout. It calls reload with the state after each window and
// continues from the result, as a new owner does that reads the state back.
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

// fleet is the state of the simulated servers.
type fleet struct {
	Config
	random        *rand.Rand
	versions      map[string]string  // by server
	rateFactors   map[string]float64 // factor of each server's event rates
	commonLogRate float64            // log of the hour's factor of all event rates
}

// newFleet returns a fleet of the old version.
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

// advanceCommonRate draws the load of the next window.
func (f *fleet) advanceCommonRate() {
	f.commonLogRate = commonRateAutocorrelation*f.commonLogRate + commonRateSigma*f.random.NormFloat64()
}

// changed returns how many servers run the change.
func (f *fleet) changed() int {
	n := 0
	for _, version := range f.versions {
		if version == f.Plan.To {
			n++
		}
	}
	return n
}

// changedShare returns the share of the servers that run the change.
func (f *fleet) changedShare() float64 {
	return float64(f.changed()) / float64(len(f.Plan.Servers))
}

// window returns the samples of one window that are not lost.
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

// sample draws what one server counts in a window.
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
		failed += f.BaselineFailureRate * changedShare
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

// replace brings some of the servers to the version that they are to run, as an
// operator's starter does within one window.
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

// poisson draws a count; from the normal distribution where the mean is large.
func (f *fleet) poisson(mean float64) uint64 {
	const largeMean = 50
	if mean > largeMean {
		return uint64(max(0, math.Round(mean+math.Sqrt(mean)*f.random.NormFloat64())))
	}
	n, product := uint64(0), f.random.Float64()
	for limit := math.Exp(-mean); product > limit; n++ {
		product *= f.random.Float64()
	}
	return n
}
