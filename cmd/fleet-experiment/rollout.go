package main

import (
	"fmt"
	"path/filepath"
	"runtime"
	"slices"
	"sync"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"quincerail.example/quincerail/fleet/rollout"
	"quincerail.example/quincerail/fleet/rollout/simulation"
)

const (
	rolloutRequestsPerWindow = 110 // mean per server
	rolloutMaxWindows        = 6000
	// wideShare is the fraction of servers beyond which a rollout counts as wide.
	wideShare = 0.05
)

// rolloutCmd simulates rollouts of each kind of change. It prints a table and writes a chart.
type rolloutCmd struct {
	Trials  int    `default:"200" help:"Number of rollouts of each kind of change."`
	Servers int    `default:"100"`
	Charts  string `default:"docs" help:"Folder for the chart."`
}

// changeKind is a simulated change; apply sets its effect in the configuration of a simulation.
type changeKind struct {
	name  string
	apply func(*simulation.Config)
}

var changeKinds = []changeKind{
	{"good", func(*simulation.Config) {}},
	{"a fifth more late answers", func(c *simulation.Config) { c.LateRatio = 1.2 }},
	{"twice the failures", func(c *simulation.Config) { c.FailureRatio = 2 }},
	{"a fifth slower", func(c *simulation.Config) { c.LatencyRatio = 1.2 }},
	{"crashes once in ten windows", func(c *simulation.Config) { c.CrashesPerWindow = 0.1 }},
	{"failures at servers with the old version", func(c *simulation.Config) { c.BaselineFailureRate = 0.5 }},
}

// rolloutResult summarizes the trials of a kind of change.
type rolloutResult struct {
	kind          string
	done, halted  int
	overWideShare int     // trials in which the change ran on more than wideShare of the servers
	maxShare      float64 // largest fraction of the servers that ran the change in any trial
	windows       []int   // duration of each trial, ascending
}

// Run simulates the kinds of change one after another, prints a row for each and writes the chart.
func (c *rolloutCmd) Run() error {
	fmt.Println("| change | trials | done | halted | max share of servers | over 5% | windows (p50, p90) |\n| --- | --- | --- | --- | --- | --- | --- |")
	var results []rolloutResult
	for _, kind := range changeKinds {
		r := summarize(kind.name, c.simulate(kind))
		n := len(r.windows)
		fmt.Printf("| %s | %d | %d | %d | %.2f | %d | %d, %d |\n", r.kind, c.Trials, r.done, r.halted, r.maxShare, r.overWideShare,
			r.windows[n/2], r.windows[n*9/10])
		results = append(results, r)
	}
	return c.chart(results)
}

// simulate runs the trials of a kind of change, at most one per CPU at a time.
func (c *rolloutCmd) simulate(kind changeKind) []simulation.Outcome {
	outcomes := make([]simulation.Outcome, c.Trials)
	var tasks sync.WaitGroup
	slots := make(chan struct{}, runtime.NumCPU())
	for trial := range outcomes {
		tasks.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			config := c.config(trial)
			kind.apply(&config)
			outcomes[trial] = simulation.Run(config, func(s rollout.State) rollout.State { return s })
		})
	}
	tasks.Wait()
	return outcomes
}

func (c *rolloutCmd) config(trial int) simulation.Config {
	return simulation.Config{
		Seed: uint64(trial), RequestsPerWindow: rolloutRequestsPerWindow, MaxWindows: rolloutMaxWindows,
		LateRatio: 1, FailureRatio: 1, LatencyRatio: 1,
		Plan: rollout.Plan{
			ID: fmt.Sprint("r", trial), Kind: rollout.Program, From: "v1", To: "v2", Servers: simulation.Servers(c.Servers),
			Stages: rollout.DefaultStages(), MinWatchWindows: 300, MaxWatchWindows: 3000, Limits: rollout.DefaultLimits(),
		},
	}
}

// summarize returns the result of the trials of a kind of change.
func summarize(kind string, outcomes []simulation.Outcome) rolloutResult {
	r := rolloutResult{kind: kind}
	for _, o := range outcomes {
		switch o.State.Phase {
		case rollout.Done:
			r.done++
		case rollout.Halted:
			r.halted++
		}
		if o.MaxShare > wideShare {
			r.overWideShare++
		}
		r.maxShare = max(r.maxShare, o.MaxShare)
		r.windows = append(r.windows, o.Windows)
	}
	slices.Sort(r.windows)
	return r
}

// chart writes a chart of the fraction of trials that ended by each window, for each kind.
func (c *rolloutCmd) chart(results []rolloutResult) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d servers, %d trials of each kind", c.Servers, c.Trials)
	p.X.Label.Text, p.Y.Label.Text = "windows since the start", "share of trials ended"
	p.X.Min, p.Y.Min, p.Y.Max = 0, 0, 1
	for i, r := range results {
		line, err := plotter.NewLine(c.endedShare(r.windows))
		if err != nil {
			return fmt.Errorf("chart: %w", err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(r.kind, line)
	}
	p.Legend.Top, p.Legend.Left = false, false
	return p.Save(18*vg.Centimeter, 9*vg.Centimeter, filepath.Join(c.Charts, "rollout.svg"))
}

// endedShare returns the points of a step function: the fraction of trials that ended by each
// window.
func (c *rolloutCmd) endedShare(windows []int) plotter.XYs {
	var points plotter.XYs
	for ended, window := range windows {
		x := float64(window)
		points = append(points,
			plotter.XY{X: x, Y: float64(ended) / float64(c.Trials)},
			plotter.XY{X: x, Y: float64(ended+1) / float64(c.Trials)})
	}
	return points
}
