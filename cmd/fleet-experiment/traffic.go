package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"quincerail.example/quincerail/internal/fleettest"
)

const (
	trafficVoters = 5
	// clockTicks is the number of ticks per second of CPU time in /proc (USER_HZ).
	clockTicks = 100
	// Indexes of the fields of /proc/PID/stat after the command name (proc(5)).
	fieldUserTime   = 11
	fieldSystemTime = 12
)

// trafficCmd measures the messages, bytes and CPU time of an idle fleet.
type trafficCmd struct {
	Members int           `default:"295" help:"Number of members in addition to the voters."`
	For     time.Duration `default:"30s"`
}

// usage holds the counters of a member at the time of a scrape.
type usage struct {
	messages, bytes float64
	cpuSeconds      float64
	aliveMembers    float64 // members that it considers alive
}

// Run starts a fleet of voters and members, and measures it while it is idle.
func (c *trafficCmd) Run() error {
	return withFleet(fleettest.Options{Voters: trafficVoters, Members: c.Members, Direct: true}, c.measure)
}

func (c *trafficCmd) measure(fleet *fleettest.Fleet) error {
	time.Sleep(c.For) // time for all members to learn of each other
	before, err := usageOfAll(fleet)
	if err != nil {
		return err
	}
	startedAt := time.Now()
	time.Sleep(c.For)
	after, err := usageOfAll(fleet)
	if err != nil {
		return err
	}
	printTraffic(before, after, time.Since(startedAt).Seconds())
	return nil
}

// usageOfAll returns the usage of all members by name.
func usageOfAll(fleet *fleettest.Fleet) (map[string]usage, error) {
	all := map[string]usage{}
	for _, line := range fleet.Lines() {
		if line.Event != "metrics" {
			continue
		}
		u, err := scrape(line.Fields["address"])
		if err != nil {
			return nil, err
		}
		if u.cpuSeconds, err = cpuSeconds(fleet.Pid(line.Child)); err != nil {
			return nil, err
		}
		all[line.Child] = u
	}
	return all, nil
}

func printTraffic(before, after map[string]usage, seconds float64) {
	alive := 0.0
	for _, u := range after {
		alive += u.aliveMembers
	}
	fmt.Printf("%d processes, alive members known to each: %.1f on average\n\n", len(after), alive/float64(len(after)))
	fmt.Println("| members | messages/s | bytes/s | CPU ms/s |\n| --- | --- | --- | --- |")
	for _, role := range []struct{ name, prefix string }{{"voters", "v"}, {"plain", "m"}} {
		var n, messages, bytes, cpu float64
		for name, a := range after {
			if !strings.HasPrefix(name, role.prefix) {
				continue
			}
			b := before[name]
			n++
			messages += a.messages - b.messages
			bytes += a.bytes - b.bytes
			cpu += a.cpuSeconds - b.cpuSeconds
		}
		if n > 0 {
			fmt.Printf("| %s (%.0f) | %.1f | %.0f | %.1f |\n", role.name, n,
				messages/n/seconds, bytes/n/seconds, 1000*cpu/n/seconds)
		}
	}
}

// scrape reads a member's metrics. It leaves cpuSeconds at zero.
func scrape(address string) (u usage, err error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return u, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return u, err
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return u, err
	}
	value := func(name string) float64 {
		metrics := families[name].GetMetric()
		if len(metrics) == 0 {
			return 0
		}
		return metrics[0].GetGauge().GetValue() + metrics[0].GetCounter().GetValue()
	}
	return usage{
		messages:     value("quincerail_fleet_messages_total"),
		bytes:        value("quincerail_fleet_bytes_total"),
		aliveMembers: value("quincerail_fleet_alive"),
	}, nil
}

// cpuSeconds returns the CPU time that a process has used.
func cpuSeconds(pid int) (float64, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	afterName := string(stat[strings.LastIndexByte(string(stat), ')')+1:])
	fields := strings.Fields(afterName)
	user, err := strconv.ParseFloat(fields[fieldUserTime], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[fieldSystemTime], 64)
	return (user + system) / clockTicks, err
}
