// Package simulation plays rollouts on a made-up fleet, from a fixed seed: servers of
// different speeds in zones, load that moves with the hour, events that come in
// bursts, reports that are missing now and then, servers that take their time to
// be replaced.
package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"

	"quincerail.example/quincerail/fleet/rollout"
)

// Config is a fleet and what the change does to it.
type Config struct {
	Plan              rollout.Plan
	Seed              uint64
	RequestsPerWindow float64 // requests of a server in a window, in the mean
	LateRatio         float64 // the change's ratio of late answers: 1.2 is a fifth more
	FailureRatio      float64 // of failures
	LatencyRatio      float64 // of its answers' times
	CrashesPerWindow  float64 // of each of its servers in a window
	BaselineFailures  float64 // failures that it causes at the old servers, as a share of its own part of the fleet
	SilentZone        string  // a zone whose reports of the new version are lost
	StuckServer       string  // a server that does not come back from the change
	MaxWindows        int     // played at most
}

// Outcome is what became of a rollout.
type Outcome struct {
	State     rollout.State
	MaxShare  float64 // largest share of the servers that ran the change
	Windows   int
	Remaining int // servers that run the change at the end
}

// Servers gives a fleet in three zones.
func Servers(n int) (out []rollout.Server) {
	for i := range n {
		out = append(out, rollout.Server{Name: fmt.Sprintf("s%03d", i), Zone: fmt.Sprint("zone", i%3)})
	}
	return out
}

// Run plays one rollout. reload is called with the state after each window, and
// gives that which the next one begins from: a new owner's, read back.
func Run(c Config, reload func(rollout.State) rollout.State) (out Outcome) {
	rng := rand.New(rand.NewPCG(c.Seed, 29))
	runs := map[string]string{} // the version of each server
	habit := map[string]float64{}
	for _, s := range c.Plan.Servers {
		runs[s.Name], habit[s.Name] = c.Plan.From, math.Exp(0.3*rng.NormFloat64())
	}
	hour := 0.0
	var s rollout.State
	for out.Windows = 1; out.Windows <= c.MaxWindows; out.Windows++ {
		hour = 0.98*hour + 0.05*rng.NormFloat64()
		changed := 0
		for _, server := range c.Plan.Servers {
			if runs[server.Name] == c.Plan.To {
				changed++
			}
		}
		part := float64(changed) / float64(len(c.Plan.Servers))
		out.MaxShare = max(out.MaxShare, part)
		var samples []rollout.Sample
		for _, server := range c.Plan.Servers {
			x := c.sample(rng, server.Name, runs[server.Name], habit[server.Name]*math.Exp(hour), part)
			if rng.Float64() < 0.01 || c.SilentZone == server.Zone && x.Version == c.Plan.To {
				continue // the report is lost
			}
			samples = append(samples, x)
		}
		s, _ = c.Plan.Step(s, out.Windows, samples)
		s = reload(s)
		desired := c.Plan.DesiredVersions(s)
		for _, server := range c.Plan.Servers { // the starter does some in each window
			name, version := server.Name, desired[server.Name]
			if runs[name] != version && rng.Float64() < 0.5 && !(name == c.StuckServer && version == c.Plan.From) {
				runs[name] = version
			}
		}
		if s.Phase == rollout.Done || s.Phase == rollout.Halted {
			break
		}
	}
	out.State = s
	for _, version := range runs {
		if version == c.Plan.To {
			out.Remaining++
		}
	}
	return out
}

// sample draws what one server reports of a window.
func (c Config) sample(rng *rand.Rand, name, version string, factor, part float64) rollout.Sample {
	x := rollout.Sample{Server: name, Version: version, Requests: poisson(rng, c.RequestsPerWindow*math.Exp(0.1*rng.NormFloat64()))}
	late, failed, slow := 0.05*factor, 0.002, 1.0
	if version == c.Plan.To {
		late, failed, slow = late*c.LateRatio, failed*c.FailureRatio, c.LatencyRatio
		x.Crashes = poisson(rng, c.CrashesPerWindow)
	} else {
		failed += c.BaselineFailures * part
	}
	burst := math.Exp(0.2 * rng.NormFloat64())
	n := float64(x.Requests)
	x.Late, x.Failed = min(x.Requests, poisson(rng, n*late*burst)), min(x.Requests, poisson(rng, n*failed))
	x.Rejected = min(x.Requests, poisson(rng, n*0.02*factor*burst))
	for i, b := range rollout.LatencyBounds { // log-normal times of a quarter of a second in the mean
		z := (math.Log(b.Seconds()/(0.25*slow)) / 0.7)
		x.SlowerThan[i] = min(x.Requests, poisson(rng, n*0.5*math.Erfc(z/math.Sqrt2)))
		if i > 0 {
			x.SlowerThan[i] = min(x.SlowerThan[i], x.SlowerThan[i-1])
		}
	}
	return x
}

// poisson draws a count; a large one by its normal limit.
func poisson(rng *rand.Rand, mean float64) uint64 {
	if mean > 50 {
		return uint64(max(0, math.Round(mean+math.Sqrt(mean)*rng.NormFloat64())))
	}
	n, p := uint64(0), rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= rng.Float64()
	}
	return n
}
