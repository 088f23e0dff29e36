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

// shareCmd plays partitions on the emulator, and writes a table and charts.
type shareCmd struct {
	Members []int    `default:"300,3000" help:"Sizes of fleets."`
	Seed    uint64   `default:"1"`
	Warm    int      `default:"200" help:"Rounds (200 ms) before the cut."`
	Cut     int      `default:"100" help:"Rounds that it lasts."`
	Heal    int      `default:"250" help:"Rounds after it."`
	Only    []string `help:"Names of partitions; all without it."`
	Beside  int      `default:"2" help:"Plays at a time: one of 3,000 members takes some GiB."`
	Charts  string   `default:"docs" help:"Folder for the charts."`
}

const roundTime = 200 * time.Millisecond

// partition puts members into groups.
type partition struct {
	name  string
	group func(i, members int) int
}

var partitions = []partition{
	{"halves", func(i, _ int) int { return i % 2 }},
	{"thirds", func(i, _ int) int { return i % 3 }},
	{"a tenth cut off", func(i, _ int) int {
		if i%10 == 9 {
			return 1
		}
		return 0
	}},
	{"one isolated", func(i, members int) int {
		if i == members-1 {
			return 1
		}
		return 0
	}},
	{"none hears any", func(i, _ int) int { return i }},
}

// play is what came of one.
type play struct {
	overshoot          int64
	healed, cut, again float64 // share of what could be served that was: before, during, after
	rounds             int     // until all knew what any had known, after healing
	bytes              float64 // of each member, a second
	used, want         plotter.XYs
}

// Run implements the sub-command.
func (c *shareCmd) Run() error {
	type job struct {
		members int
		p       partition
		out     play
		err     error
	}
	var jobs []*job
	for _, n := range c.Members {
		for _, p := range partitions {
			if len(c.Only) > 0 && !slices.Contains(c.Only, p.name) {
				continue
			}
			jobs = append(jobs, &job{members: n, p: p})
		}
	}
	var wg sync.WaitGroup
	room := make(chan struct{}, c.Beside)
	for _, j := range jobs {
		wg.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			j.out, j.err = c.play(j.members, j.p)
			fmt.Fprintf(os.Stderr, "%d members, %s: %+.3f\n", j.members, j.p.name, []float64{j.out.healed, j.out.cut, j.out.again})
		})
	}
	wg.Wait()
	fmt.Println("| members | partition | overshoot | served before | cut | after | rounds to know | bytes/s a member |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, j := range jobs {
		if j.err != nil {
			return j.err
		}
		fmt.Printf("| %d | %s | %d | %.3f | %.3f | %.3f | %d | %.0f |\n", j.members, j.p.name, max(0, j.out.overshoot),
			j.out.healed, j.out.cut, j.out.again, j.out.rounds, j.out.bytes)
		if j.p.name == "halves" {
			if err := c.chart(filepath.Join(c.Charts, fmt.Sprintf("share-%d.svg", j.members)), j.members, j.out); err != nil {
				return err
			}
		}
	}
	return nil
}

// budget is what a fleet may have in hand for each member.
const budget = 8

func (c *shareCmd) play(members int, p partition) (out play, err error) {
	// News takes longer in a large fleet, and all say something each beat.
	horizon := max(90*time.Second, time.Duration(members)*100*time.Millisecond)
	f, err := simulation.New(simulation.Config{Members: members, Capacity: uint64(members) * budget, Seed: c.Seed, RoundInterval: roundTime,
		Fanout: 3, MaxMessageBytes: 1400 * max(1, members/1000), LossRate: 0.05, DuplicateRate: 0.02, DelayRate: 0.02, MaxClockDrift: 0.05, Load: 1, Skew: 0.9, ReshuffleRounds: 250,
		Timing: quota.Timing{SessionTimeout: horizon, MaxClockDrift: 0.05, MaxHoldTime: 2 * roundTime, HeartbeatInterval: horizon / 9}})
	if err != nil {
		return out, err
	}
	round := 0
	run := func(rounds, from int) (served float64) {
		n := 0
		for i := range rounds {
			f.Step()
			used, want := f.Served()
			x := float64(round) * roundTime.Seconds()
			out.used, out.want = append(out.used, plotter.XY{X: x, Y: float64(used)}), append(out.want, plotter.XY{X: x, Y: float64(want)})
			if round++; round%100 == 0 {
				fmt.Fprintf(os.Stderr, "%d members, %s: round %d\n", members, p.name, round)
			}
			if i >= from {
				served += float64(used) / float64(want)
				n++
			}
		}
		return served / float64(n)
	}
	out.healed = run(c.Warm, c.Warm/2)
	f.Partition(func(i int) int { return p.group(i, members) })
	out.cut = run(c.Cut, 0)
	f.Partition(func(int) int { return 0 })
	marks := f.LatestHeartbeats()
	for out.rounds < c.Heal/2 && !f.Converged(marks) {
		run(1, 0)
		out.rounds++
	}
	out.again = run(c.Heal-out.rounds, (c.Heal-out.rounds)/2)
	out.overshoot, out.bytes = f.Overshoot(), f.MeanSentBytes()/(float64(round)*roundTime.Seconds())
	return out, nil
}

// chart draws what was wanted and in hand over a play.
func (c *shareCmd) chart(path string, members int, out play) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d members, in halves from %v to %v", members,
		time.Duration(c.Warm)*roundTime, time.Duration(c.Warm+c.Cut)*roundTime)
	p.X.Label.Text, p.Y.Label.Text = "seconds", "in hand at the shared dependency"
	p.Y.Min = 0
	bound := plotter.XYs{{X: 0, Y: float64(members * budget)}, {X: out.used[len(out.used)-1].X, Y: float64(members * budget)}}
	for i, l := range []struct {
		name string
		xy   plotter.XYs
	}{{"budget", bound}, {"in hand", out.used}} {
		line, err := plotter.NewLine(l.xy)
		if err != nil {
			return err
		}
		line.Dashes = [][]vg.Length{{vg.Points(4), vg.Points(3)}, nil}[i]
		p.Add(line)
		p.Legend.Add(l.name, line)
	}
	p.Legend.Top = false
	return p.Save(18*vg.Centimeter, 8*vg.Centimeter, path)
}
