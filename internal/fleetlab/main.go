// Command fleetlab measures fleets, of real processes on loopback and on the
// simulation of package quota. It is no part
// of CI; docs/fleet.md has its tables.
//
//	go run ./internal/fleetlab failover --trials 100
//	go run ./internal/fleetlab traffic --members 295
//	go run ./internal/fleetlab share
//	go run ./internal/fleetlab rollout
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/internal/fleettest"
	"quincerail.example/quincerail/internal/standin"
)

type cli struct {
	Failover failoverCmd `cmd:"" help:"Time from an owner's end to the next owner's first act."`
	Traffic  trafficCmd  `cmd:"" help:"Messages, bytes and CPU time of each member of a fleet at rest."`
	Share    shareCmd    `cmd:"" help:"Partitions of fleets on the emulator: a table, and charts."`
	Rollout  rolloutCmd  `cmd:"" help:"Rollouts of good and bad changes on a made-up fleet."`
}

func main() {
	c := cli{}
	ctx := kong.Parse(&c)
	ctx.FatalIfErrorf(ctx.Run())
}

// fleet builds the program and starts a fleet of it.
func fleet(o fleettest.Options) (*fleettest.Fleet, func(), error) {
	dir, err := os.MkdirTemp("", "fleetlab")
	if err != nil {
		return nil, nil, err
	}
	if o.Binary, err = fleettest.Build(dir); err != nil {
		return nil, nil, err
	}
	o.Dir, o.Example, o.Within = dir, filepath.Join("example", "config.json"), 2*time.Minute
	f, err := fleettest.Start(o)
	if err != nil {
		os.RemoveAll(dir)
		return nil, nil, err
	}
	return f, func() { f.Close(); os.RemoveAll(dir) }, nil
}

// failoverCmd ends owners, one after the other, at drawn moments.
type failoverCmd struct {
	Trials   int    `default:"100" help:"Owners to end, half killed and half paused."`
	Election int    `default:"1000" help:"Election time-out and lease, in ms."`
	Seed     uint64 `default:"1"`
}

// Run implements the sub-command.
func (c *failoverCmd) Run() error {
	f, end, err := fleet(fleettest.Options{Voters: 5, Seed: c.Seed,
		Settings: map[string]any{"election_ms": c.Election, "lease_ms": c.Election, "probe_ms": 50}})
	if err != nil {
		return err
	}
	defer end()
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	owner, err := f.AwaitAct("the first act", 0, func(a standin.Act) bool { return a.Accepted })
	if err != nil {
		return err
	}
	var took [2][]time.Duration // killed, paused
	for i := range c.Trials {
		time.Sleep(time.Duration(rng.Int64N(int64(c.Election))) * time.Millisecond)
		acts, _ := f.Registry.Acts()
		owner = acts[len(acts)-1] // it may have moved meanwhile
		kind := i % 2
		from := len(f.Lines())
		began := time.Now()
		if kind == 0 {
			err = f.Kill(owner.By)
		} else {
			err = f.Signal(owner.By, syscall.SIGSTOP)
		}
		if err != nil {
			return err
		}
		next, err := f.AwaitAct("the next owner's act", len(acts), func(a standin.Act) bool {
			return a.Accepted && a.Token.Compare(owner.Token) > 0
		})
		if err != nil {
			return err
		}
		took[kind] = append(took[kind], next.At.Sub(began))
		if kind == 0 {
			err = f.Launch(owner.By)
		} else {
			err = f.Signal(owner.By, syscall.SIGCONT)
		}
		if err != nil {
			return err
		}
		if _, err := f.Await("word of the lease at "+owner.By, from, func(l fleettest.Line) bool {
			return l.Child == owner.By && l.Event == "lease" && fleettest.ParseToken(l.Fields["token"]).Compare(next.Token) >= 0
		}); err != nil {
			return err
		}
	}
	all := slices.Concat(took[0], took[1])
	fmt.Println("| owner | trials | p50 | p99 | most | in election time-outs (p99) |\n| --- | --- | --- | --- | --- | --- |")
	for name, d := range map[string][]time.Duration{"killed": took[0], "paused": took[1], "both": all} {
		slices.Sort(d)
		p99 := d[(len(d)*99+99)/100-1]
		fmt.Printf("| %s | %d | %v | %v | %v | %.2f |\n", name, len(d), d[len(d)/2].Round(time.Millisecond),
			p99.Round(time.Millisecond), d[len(d)-1].Round(time.Millisecond), p99.Seconds()*1000/float64(c.Election))
	}
	acts, _ := f.Registry.Acts()
	stale, refused := 0, 0
	var high lease.Token
	for _, a := range acts {
		switch {
		case !a.Accepted:
			refused++
		case a.Token.Compare(high) < 0:
			stale++
		default:
			high = a.Token
		}
	}
	fmt.Printf("\n%d acts, %d refused as stale, %d stale accepted; violations: %v\n", len(acts), refused, stale, f.Violations())
	return nil
}

// trafficCmd looks at a fleet at rest.
type trafficCmd struct {
	Members int           `default:"295" help:"Members that are no voters."`
	For     time.Duration `default:"30s"`
}

// usage is what a member has used up to a moment.
type usage struct{ messages, bytes, cpu float64 }

// Run implements the sub-command.
func (c *trafficCmd) Run() error {
	f, end, err := fleet(fleettest.Options{Voters: 5, Members: c.Members, Direct: true})
	if err != nil {
		return err
	}
	defer end()
	metrics := map[string]string{}
	for _, l := range f.Lines() {
		if l.Event == "metrics" {
			metrics[l.Child] = l.Fields["address"]
		}
	}
	look := func() (map[string]usage, float64, error) {
		out, alive := map[string]usage{}, 0.0
		for name, address := range metrics {
			u, a, err := scrape(address)
			if err != nil {
				return nil, 0, err
			}
			if u.cpu, err = cpu(f.Pid(name)); err != nil {
				return nil, 0, err
			}
			out[name], alive = u, alive+a
		}
		return out, alive / float64(len(metrics)), nil
	}
	time.Sleep(c.For) // until all know of all
	before, _, err := look()
	if err != nil {
		return err
	}
	began := time.Now()
	time.Sleep(c.For)
	after, alive, err := look()
	if err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	fmt.Printf("%d processes, each knows %.1f as alive\n\n", len(metrics), alive)
	fmt.Println("| members | messages/s | bytes/s | CPU ms/s |\n| --- | --- | --- | --- |")
	for _, part := range []string{"v", "m"} {
		var n, messages, bytes, used float64
		for name := range metrics {
			if strings.HasPrefix(name, part) {
				b, a := before[name], after[name]
				n, messages, bytes, used = n+1, messages+a.messages-b.messages, bytes+a.bytes-b.bytes, used+a.cpu-b.cpu
			}
		}
		if n > 0 {
			fmt.Printf("| %s (%.0f) | %.1f | %.0f | %.1f |\n", map[string]string{"v": "voters", "m": "plain"}[part], n,
				messages/n/seconds, bytes/n/seconds, 1000*used/n/seconds)
		}
	}
	return nil
}

// scrape reads a member's counts.
func scrape(address string) (u usage, alive float64, err error) {
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return u, 0, err
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return u, 0, err
	}
	first := func(name string) float64 {
		if m := families[name].GetMetric(); len(m) > 0 {
			return m[0].GetGauge().GetValue() + m[0].GetCounter().GetValue()
		}
		return 0
	}
	return usage{messages: first("quincerail_fleet_messages_total"), bytes: first("quincerail_fleet_bytes_total")},
		first("quincerail_fleet_alive"), nil
}

// cpu gives the processor time that a process has used, in seconds (proc(5),
// fields utime and stime, in hundredths).
func cpu(pid int) (float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	user, err := strconv.ParseFloat(fields[11], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[12], 64)
	return (user + system) / 100, err
}
