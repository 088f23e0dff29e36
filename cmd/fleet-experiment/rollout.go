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

// rolloutCmd plays rollouts of changes of each kind.
type rolloutCmd struct {
	Trials  int    `default:"200" help:"Of each kind."`
	Servers int    `default:"100"`
	Charts  string `default:"docs" help:"Folder for the chart."`
}

// Run implements the sub-command.
func (c *rolloutCmd) Run() error {
	ends := map[string][]int{}
	var kinds []string
	fmt.Println("| change | trials | done | halted | most servers reached | over 5% | windows (p50, p90) |\n| --- | --- | --- | --- | --- | --- | --- |")
	for _, kind := range []struct {
		name   string
		change func(*simulation.Config)
	}{
		{"good", func(*simulation.Config) {}},
		{"a fifth more late answers", func(x *simulation.Config) { x.LateRatio = 1.2 }},
		{"twice the failures", func(x *simulation.Config) { x.FailureRatio = 2 }},
		{"a fifth slower", func(x *simulation.Config) { x.LatencyRatio = 1.2 }},
		{"crashes once in ten windows", func(x *simulation.Config) { x.CrashesPerWindow = 0.1 }},
		{"the old servers fail beside it", func(x *simulation.Config) { x.BaselineFailures = 0.5 }},
	} {
		outs := make([]simulation.Outcome, c.Trials)
		var wg sync.WaitGroup
		room := make(chan struct{}, runtime.NumCPU())
		for i := range outs {
			wg.Go(func() {
				room <- struct{}{}
				defer func() { <-room }()
				x := simulation.Config{Seed: uint64(i), RequestsPerWindow: 110, LateRatio: 1, FailureRatio: 1, LatencyRatio: 1, MaxWindows: 6000,
					Plan: rollout.Plan{ID: fmt.Sprint("r", i), Kind: rollout.Program, From: "v1", To: "v2", Servers: simulation.Servers(c.Servers),
						Stages: rollout.DefaultStages(), MinWatchWindows: 300, MaxWatchWindows: 3000, Limits: rollout.DefaultLimits()}}
				kind.change(&x)
				outs[i] = simulation.Run(x, func(s rollout.State) rollout.State { return s })
			})
		}
		wg.Wait()
		var done, halted, over int
		var reached float64
		var windows []int
		for _, o := range outs {
			switch o.State.Phase {
			case rollout.Done:
				done++
			case rollout.Halted:
				halted++
			}
			if o.MaxShare > 0.05 {
				over++
			}
			reached = max(reached, o.MaxShare)
			windows = append(windows, o.Windows)
		}
		slices.Sort(windows)
		kinds, ends[kind.name] = append(kinds, kind.name), windows
		fmt.Printf("| %s | %d | %d | %d | %.2f | %d | %d, %d |\n", kind.name, c.Trials, done, halted, reached, over,
			windows[len(windows)/2], windows[len(windows)*9/10])
	}
	return c.chart(kinds, ends)
}

// chart draws which share of the trials of each kind had ended by a window.
func (c *rolloutCmd) chart(kinds []string, ends map[string][]int) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d servers, %d trials of each kind", c.Servers, c.Trials)
	p.X.Label.Text, p.Y.Label.Text = "windows since the start", "share of trials ended"
	p.X.Min, p.Y.Min, p.Y.Max = 0, 0, 1
	for i, kind := range kinds {
		var xy plotter.XYs
		for n, at := range ends[kind] {
			xy = append(xy, plotter.XY{X: float64(at), Y: float64(n) / float64(c.Trials)}, plotter.XY{X: float64(at), Y: float64(n+1) / float64(c.Trials)})
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return fmt.Errorf("chart: %w", err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(kind, line)
	}
	p.Legend.Top, p.Legend.Left = false, false
	return p.Save(18*vg.Centimeter, 9*vg.Centimeter, filepath.Join(c.Charts, "rollout.svg"))
}
