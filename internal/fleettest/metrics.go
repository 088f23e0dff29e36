package fleettest

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Scrape returns the values of a member's gauge or counter metric, by the value of its only
// label ("" for a metric without labels).
func (f *Fleet) Scrape(name, metric string) (map[string]float64, error) {
	var address string
	for _, l := range f.Lines() {
		if l.Child == name && l.Event == "metrics" {
			address = l.Fields["address"] // of the latest process
		}
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("fleettest: %w", err)
	}
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("fleettest: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("fleettest: %s: %w", name, err)
	}
	out := map[string]float64{}
	for _, m := range families[metric].GetMetric() {
		label := ""
		for _, l := range m.GetLabel() {
			label = l.GetValue()
		}
		out[label] = m.GetGauge().GetValue() + m.GetCounter().GetValue()
	}
	return out, nil
}

// Converge scrapes a metric of all members repeatedly until is(all) is true, where all has the
// values by member and label. It returns the time until then, or an error after the duration
// within.
func (f *Fleet) Converge(metric string, within time.Duration, is func(all map[string]map[string]float64) bool) (time.Duration, error) {
	start := time.Now()
	all := map[string]map[string]float64{}
	for {
		for name := range f.Children {
			var err error
			if all[name], err = f.Scrape(name, metric); err != nil {
				return 0, err
			}
		}
		took := time.Since(start)
		if is(all) {
			return took, nil
		}
		if took > within {
			return took, fmt.Errorf("fleettest: metric %s has not converged after %v: %v", metric, took, all)
		}
		time.Sleep(scrapeInterval)
	}
}

// scrapeInterval is the pause of Converge between two rounds of scrapes.
const scrapeInterval = 50 * time.Millisecond
