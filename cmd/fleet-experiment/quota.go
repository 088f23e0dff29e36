package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"quincerail.example/quincerail/fleet/quota"
	"quincerail.example/quincerail/fleet/quota/simulation"
)

const (
	quotaRoundInterval = 200 * time.Millisecond
	// quotaPerMember is a fleet's quota per member, in requests in flight.
	quotaPerMember = 8
	// progressRounds is the number of rounds between two progress messages.
	progressRounds = 100
	// chartedPartition is the partition for which a chart is drawn.
	chartedPartition = "halves"
)

// quotaCmd simulates network partitions of fleets that share a quota. It prints a table and
// writes charts.
type quotaCmd struct {
	Members []int    `default:"300,3000" help:"Numbers of members of the fleets."`
	Seed    uint64   `default:"1"`
	Warm    int      `default:"200" help:"Number of rounds (200 ms each) before the partition."`
	Cut     int      `default:"100" help:"Number of rounds of the partition."`
	Heal    int      `default:"250" help:"Number of rounds after the partition."`
	Only    []string `help:"Names of the partitions to simulate; all if empty."`
	Beside  int      `default:"2" help:"Number of concurrent simulations. A fleet of 3,000 members needs several GiB of memory."`
	Charts  string   `default:"docs" help:"Folder for the charts."`
}

// partition divides the members into groups that don't receive each other's messages.
type partition struct {
	name  string
	group func(member, members int) int // group of the member with this index in a fleet of this size
}

// partitions lists the partitions to simulate. In "none hears any", every member is isolated.
var partitions = []partition{
	{chartedPartition, func(member, _ int) int { return member % 2 }},
	{"thirds", func(member, _ int) int { return member % 3 }},
	{"a tenth cut off", func(member, _ int) int { return groupOf(member%10 == 9) }},
	{"one isolated", func(member, members int) int { return groupOf(member == members-1) }},
	{"none hears any", func(member, _ int) int { return member }},
}

// groupOf returns the group of a member in a partition with two groups.
func groupOf(separated bool) int {
	if separated {
		return 1
	}
	return 0
}

// quotaResult holds the measurements of a simulation. The served fields are means over rounds
// of the requests in flight divided by the demand, which is capped at the quota.
type quotaResult struct {
	overshoot         int64
	servedBefore      float64
	servedDuring      float64
	servedAfter       float64
	convergenceRounds int     // from the end of the partition until every member has the latest heartbeats known at its end; at most Heal/2
	bytesPerSecond    float64 // sent, mean of all members
	inFlight          plotter.XYs
}

// quotaRun is one simulation and its result.
type quotaRun struct {
	members   int
	partition partition
	result    quotaResult
	err       error
}

// Run simulates the selected partitions for each size of fleet. It prints a row for each simulation, and
// draws a chart of those with chartedPartition.
func (c *quotaCmd) Run() error {
	runs := c.plan()
	c.simulateAll(runs)
	fmt.Println("| members | partition | overshoot | served before | during | after | rounds to converge | bytes/s per member |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range runs {
		if r.err != nil {
			return r.err
		}
		fmt.Printf("| %d | %s | %d | %.3f | %.3f | %.3f | %d | %.0f |\n", r.members, r.partition.name, max(0, r.result.overshoot),
			r.result.servedBefore, r.result.servedDuring, r.result.servedAfter, r.result.convergenceRounds, r.result.bytesPerSecond)
		if r.partition.name != chartedPartition {
			continue
		}
		if err := c.chart(r); err != nil {
			return err
		}
	}
	return nil
}

func (c *quotaCmd) plan() []*quotaRun {
	var runs []*quotaRun
	for _, members := range c.Members {
		for _, p := range partitions {
			if len(c.Only) == 0 || slices.Contains(c.Only, p.name) {
				runs = append(runs, &quotaRun{members: members, partition: p})
			}
		}
	}
	return runs
}

func (c *quotaCmd) simulateAll(runs []*quotaRun) {
	var tasks sync.WaitGroup
	slots := make(chan struct{}, c.Beside)
	for _, r := range runs {
		tasks.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			r.err = c.simulate(r)
			fmt.Fprintf(os.Stderr, "%d members, %s: %+.3f\n", r.members, r.partition.name,
				[]float64{r.result.servedBefore, r.result.servedDuring, r.result.servedAfter})
		})
	}
	tasks.Wait()
}

// simulate runs a fleet before, during and after a partition, and records the result in r.
func (c *quotaCmd) simulate(r *quotaRun) error {
	fleet, err := simulation.New(c.config(r.members))
	if err != nil {
		return err
	}
	p := &quotaProgress{run: r, fleet: fleet}
	r.result.servedBefore = p.step(c.Warm, c.Warm/2)
	fleet.Partition(func(member int) int { return r.partition.group(member, r.members) })
	r.result.servedDuring = p.step(c.Cut, 0)
	fleet.Partition(func(int) int { return 0 })
	heartbeats := fleet.LatestHeartbeats()
	for r.result.convergenceRounds < c.Heal/2 && !fleet.Converged(heartbeats) {
		p.step(1, 0)
		r.result.convergenceRounds++
	}
	remaining := c.Heal - r.result.convergenceRounds
	r.result.servedAfter = p.step(remaining, remaining/2)
	r.result.overshoot = fleet.Overshoot()
	r.result.bytesPerSecond = fleet.MeanSentBytes() / (float64(p.rounds) * quotaRoundInterval.Seconds())
	return nil
}

// config returns the configuration of a fleet on a network that loses, duplicates and delays
// messages, with clocks that drift.
func (c *quotaCmd) config(members int) simulation.Config {
	// In a large fleet updates take longer to reach all members, and each member sends one per
	// heartbeat.
	sessionTimeout := max(90*time.Second, time.Duration(members)*100*time.Millisecond)
	return simulation.Config{
		Members: members, Capacity: uint64(members) * quotaPerMember, Seed: c.Seed, RoundInterval: quotaRoundInterval,
		Fanout: 3, MaxMessageBytes: 1400 * max(1, members/1000),
		LossRate: 0.05, DuplicateRate: 0.02, DelayRate: 0.02, MaxClockDrift: 0.05,
		Load: 1, Skew: 0.9, ReshuffleRounds: 250,
		Timing: quota.Timing{
			SessionTimeout: sessionTimeout, MaxClockDrift: 0.05,
			MaxHoldTime: 2 * quotaRoundInterval, HeartbeatInterval: sessionTimeout / 9,
		},
	}
}

// quotaProgress runs the rounds of a simulation and records the requests in flight.
type quotaProgress struct {
	run    *quotaRun
	fleet  *simulation.Fleet
	rounds int
}

// step runs a number of rounds. It returns the mean fraction of the demand that was served, over
// the rounds from index measureFrom on.
func (p *quotaProgress) step(rounds, measureFrom int) float64 {
	served, measured := 0.0, 0
	for i := range rounds {
		p.fleet.Step()
		inFlight, demand := p.fleet.Utilization()
		seconds := float64(p.rounds) * quotaRoundInterval.Seconds()
		p.run.result.inFlight = append(p.run.result.inFlight, plotter.XY{X: seconds, Y: float64(inFlight)})
		p.rounds++
		if p.rounds%progressRounds == 0 {
			fmt.Fprintf(os.Stderr, "%d members, %s: round %d\n", p.run.members, p.run.partition.name, p.rounds)
		}
		if i >= measureFrom {
			served += float64(inFlight) / float64(demand)
			measured++
		}
	}
	return served / float64(measured)
}

// chart writes a chart of the quota and of the requests in flight over a simulation.
func (c *quotaCmd) chart(r *quotaRun) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d members, partitioned into halves from %v to %v", r.members,
		time.Duration(c.Warm)*quotaRoundInterval, time.Duration(c.Warm+c.Cut)*quotaRoundInterval)
	p.X.Label.Text, p.Y.Label.Text = "seconds", "in flight at the shared dependency"
	p.Y.Min = 0
	limit := float64(r.members * quotaPerMember)
	end := r.result.inFlight[len(r.result.inFlight)-1].X
	for _, curve := range []struct {
		name   string
		points plotter.XYs
		dashes []vg.Length
	}{
		{"quota", plotter.XYs{{X: 0, Y: limit}, {X: end, Y: limit}}, []vg.Length{vg.Points(4), vg.Points(3)}},
		{"in flight", r.result.inFlight, nil},
	} {
		line, err := plotter.NewLine(curve.points)
		if err != nil {
			return fmt.Errorf("chart: %w", err)
		}
		line.Dashes = curve.dashes
		p.Add(line)
		p.Legend.Add(curve.name, line)
	}
	p.Legend.Top = false
	path := filepath.Join(c.Charts, fmt.Sprintf("share-%d.svg", r.members))
	return p.Save(18*vg.Centimeter, 8*vg.Centimeter, path)
}
