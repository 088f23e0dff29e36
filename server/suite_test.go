package server_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"quincerail.example/quincerail/admission"
	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/describe"
	"quincerail.example/quincerail/example/web/gifts"
	"quincerail.example/quincerail/internal/dispatchtest"
	"quincerail.example/quincerail/internal/fakes"
	"quincerail.example/quincerail/match"
	"quincerail.example/quincerail/server"
)

// harness runs an app server with fakes of the other parties, or the library's sample
// service. Its counts of work include all backends.
type harness struct {
	*server.Server // nil for the sample service
	work           *fakes.Work
	processor      *fakes.Processor
	dependency     *fakes.Dependency
	discovery      *fakes.DiscoveryService
	drained        chan struct{}

	sample      *gifts.Service // nil for the app server
	web         *http.Server
	webAddr     string
	stopTimeout time.Duration
}

// loadConfig returns the example's configuration with any free port for the listener.
func loadConfig(t testing.TB) *config.Config {
	t.Helper()
	c := must(config.Parse(dispatchtest.ReadExample(t, "config.json")))(t)
	c.ListenAddress, c.ControlAddress = "127.0.0.1:0", ""
	return c
}

// must returns a function that returns v, and ends the test if err is not nil.
func must[T any](v T, err error) func(testing.TB) T {
	return func(t testing.TB) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

// newHarness starts an app server with fakes of the other parties. change, if not nil, edits
// the configuration first.
func newHarness(t testing.TB, change func(*config.Config)) *harness {
	t.Helper()
	h := &harness{work: fakes.NewWork(0), drained: make(chan struct{})}
	const anyPort = "127.0.0.1:0"
	h.processor = must(fakes.NewProcessor(anyPort, h.work))(t)
	h.dependency = must(fakes.NewDependency(anyPort))(t)
	h.discovery = must(fakes.NewDiscoveryService(anyPort))(t)
	app := must(fakes.NewUWSGIServer(anyPort, h.work))(t)
	c := loadConfig(t)
	c.ProcessorAddress, c.DependencyAddress, c.DiscoveryAddress = h.processor.Addr(), h.dependency.Addr(), h.discovery.Addr()
	if change != nil {
		change(c)
	}
	u := &config.UWSGI{
		Listen: anyPort, Backend: app.Addr(), KeyVariable: "HTTP_IDEMPOTENCY_KEY",
		HealthPath: "/health", MaxBody: 4096,
	}
	for _, class := range c.Classes {
		u.Routes = append(u.Routes, config.UWSGIRoute{Path: "/" + class, Class: class})
	}
	h.Server = must(server.Start(c, u))(t)
	t.Cleanup(func() {
		h.Kill()
		h.processor.Close()
		h.dependency.Close()
		h.discovery.Close()
		app.Close()
	})
	<-h.processor.Up()
	return h
}

// newSample starts the library's sample service with the classes, memory and grace of the app
// server's configuration, and a route /CLASS for each class.
func newSample(t testing.TB, change func(*config.Config)) *harness {
	t.Helper()
	c := loadConfig(t)
	if change != nil {
		change(c)
	}
	h := &harness{work: fakes.NewWork(0), drained: make(chan struct{}), stopTimeout: c.StopTimeout}
	cfg := admission.Config{
		Cores: c.Settings.Cores, Memory: int64(c.Settings.MemoryKB * 1024), MaxBody: 4096,
		DrainGrace: c.Settings.DrainGrace, Seed: 1,
	}
	if c.Rules != nil {
		cfg.Rules = &match.ActiveRules{}
		cfg.Rules.Replace(c.Rules)
	}
	for i, name := range c.Classes {
		cfg.Classes = append(cfg.Classes, describe.Class{Name: name, Class: c.Settings.Classes[i]})
		cfg.Routes = append(cfg.Routes, describe.Route{Method: "POST", Path: "/" + name, Class: name})
	}
	work := func(ctx context.Context, _ string, body []byte) ([]byte, error) {
		result, err := h.work.Do(ctx, string(body))
		return []byte(result), err
	}
	h.sample = must(gifts.New(cfg, work))(t)
	l := listen(t)
	h.web, h.webAddr = &http.Server{Handler: h.sample, ReadHeaderTimeout: time.Minute}, l.Addr().String()
	go func() { _ = h.web.Serve(h.sample.Listener(l)) }() // until its listener is closed
	t.Cleanup(func() {
		_ = h.web.Close() // its listener may be closed
		h.sample.Close()
	})
	return h
}

// drainingAddr returns the address whose listener closes when the grace ends.
func (h *harness) drainingAddr() string {
	if h.sample != nil {
		return h.webAddr
	}
	return h.Addr().String()
}

// startShutdown starts the shutdown, and closes h.drained when it is done.
func (h *harness) startShutdown() {
	if h.sample != nil {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), h.stopTimeout)
			defer cancel()
			_ = h.sample.Shutdown(ctx, h.web) // some scenarios leave requests open to the end
			close(h.drained)
		}()
		return
	}
	go func() { h.Shutdown(); close(h.drained) }()
}

// outcome waits for an attempt's outcome and counts it.
func outcome(t testing.TB, attempt *fakes.Attempt) fakes.Outcome {
	t.Helper()
	o, err := attempt.Outcome()
	if err != nil {
		t.Errorf("Outcome() failed: %v", err)
	}
	outcomeCounts.add(t.Name(), o.Kind, 1)
	return o
}

// outcomeTable counts the outcomes and runs of the scenarios for each frontend.
type outcomeTable struct {
	mu     sync.Mutex
	counts map[string]map[string]int // by the frontend's name and the outcome's kind
}

// outcomeCounts has the counts of TestScenarios. Outcomes of other tests are not counted.
var outcomeCounts = &outcomeTable{counts: map[string]map[string]int{}}

func (c *outcomeTable) add(test, kind string, n int) {
	scenario, ok := strings.CutPrefix(test, "TestScenarios/")
	if !ok {
		return
	}
	name := scenario[strings.LastIndex(scenario, "/")+1:]
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[name] == nil {
		c.counts[name] = map[string]int{}
	}
	c.counts[name][kind] += n
}

// table returns the counts as a Markdown table, and whether they are the same on all
// frontends.
func (c *outcomeTable) table() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kinds := []string{"served", "refused", "failed", "rejected", "runs"}
	var b strings.Builder
	fmt.Fprintf(&b, "| frontend | %s |\n|%s\n", strings.Join(kinds, " | "), strings.Repeat(" --- |", len(kinds)+1))
	same := true
	for _, f := range frontends {
		fmt.Fprintf(&b, "| %s |", f.name)
		for _, k := range kinds {
			fmt.Fprintf(&b, " %d |", c.counts[f.name][k])
			same = same && c.counts[f.name][k] == c.counts[frontends[0].name][k]
		}
		b.WriteString("\n")
	}
	return b.String(), same
}

// frontend is a protocol over which the scenarios run.
type frontend struct {
	name       string
	caller     fakes.Client
	address    func(*harness) string
	newHarness func(testing.TB, func(*config.Config)) *harness
}

// serverFrontends are the app server's frontends. frontends adds the library's sample service.
var (
	serverFrontends = []frontend{
		{"thrift", fakes.Thrift, func(h *harness) string { return h.Addr().String() }, newHarness},
		{"uwsgi", fakes.UWSGI, func(h *harness) string { return h.UWSGIAddr().String() }, newHarness},
	}
	frontends = append(slices.Clip(serverFrontends), frontend{"middleware", fakes.HTTP, (*harness).drainingAddr, newSample})
)

// open connects for an attempt without sending it.
func (f frontend) open(t testing.TB, h *harness, class, key, body string) *fakes.Attempt {
	t.Helper()
	return must(f.caller(f.address(h), class, key, body))(t)
}

// ask sends an attempt.
func (f frontend) ask(t testing.TB, h *harness, class, key, body string) *fakes.Attempt {
	t.Helper()
	attempt := f.open(t, h, class, key, body)
	if err := attempt.Send(); err != nil {
		t.Fatal(err)
	}
	return attempt
}

// scenarios lists the scenarios of TestScenarios. Each returns a text that describes what
// happened, which must be the same on every frontend.
var scenarios = []struct {
	name   string
	config func(*config.Config)
	want   string
	run    func(t *testing.T, h *harness, f frontend) string
}{
	{"served", nil, "served done: a gift", func(t *testing.T, h *harness, f frontend) string {
		return describeOutcome(outcome(t, f.ask(t, h, "kampanjsida", "", "a gift")))
	}},
	// The request doesn't fit the memory even while it waits, so it is shed when it is read.
	{"refused", tooLittleMemory, "refused, 0 runs", func(t *testing.T, h *harness, f frontend) string {
		o := outcome(t, f.ask(t, h, "kampanjsida", "", "too much"))
		return fmt.Sprintf("%s, %d runs", describeOutcome(o), h.work.Runs("too much"))
	}},
	{"failed", nil, "failed, 1 run", func(t *testing.T, h *harness, f frontend) string {
		o := outcome(t, f.ask(t, h, "ny-gava", "k1", "fail it"))
		return fmt.Sprintf("%s, %d run", describeOutcome(o), h.work.Runs("fail it"))
	}},
	{"deadline", shortDeadline, "failed, in time: true", func(t *testing.T, h *harness, f frontend) string {
		began := time.Now()
		o := outcome(t, f.ask(t, h, "ny-gava", "k2", "hang on"))
		took := time.Since(began)
		<-h.work.Stopped() // the run is cancelled, as no caller waits for its result
		return fmt.Sprintf("%s, in time: %t", describeOutcome(o), took >= 1400*time.Millisecond && took < 10*time.Second)
	}},
	{"caller cancels", nil, "stopped hang there", func(t *testing.T, h *harness, f frontend) string {
		attempt := f.ask(t, h, "kampanjsida", "", "hang there")
		<-h.work.Started()
		attempt.Cancel()
		return "stopped " + <-h.work.Stopped()
	}},
	{
		"duplicate", nil, "served done: gift, served done: gift, served done: gift, 1 run",
		func(t *testing.T, h *harness, f frontend) string {
			first, second := f.ask(t, h, "ny-gava", "k3", "gift"), f.ask(t, h, "ny-gava", "k3", "gift")
			a, b := outcome(t, first), outcome(t, second)
			c := outcome(t, f.ask(t, h, "ny-gava", "k3", "gift"))
			return fmt.Sprintf("%s, %s, %s, %d run", describeOutcome(a), describeOutcome(b), describeOutcome(c), h.work.Runs("gift"))
		},
	},
	{"duplicate of a failed request", nil, "failed, failed, 1 run", func(t *testing.T, h *harness, f frontend) string {
		a := outcome(t, f.ask(t, h, "ny-gava", "k4", "fail gift"))
		b := outcome(t, f.ask(t, h, "ny-gava", "k4", "fail gift"))
		return fmt.Sprintf("%s, %s, %d run", describeOutcome(a), describeOutcome(b), h.work.Runs("fail gift"))
	}},
	{"connection lost", nil, "served done: gift, 1 run", func(t *testing.T, h *harness, f frontend) string {
		h.work.Duration = 200 * time.Millisecond
		lost := f.ask(t, h, "ny-gava", "k7", "gift")
		<-h.work.Started()
		lost.Disconnect()
		o := outcome(t, f.ask(t, h, "ny-gava", "k7", "gift"))
		return fmt.Sprintf("%s, %d run", describeOutcome(o), h.work.Runs("gift"))
	}},
	{
		"key reused for another request", nil, "served done: gift, rejected, served done: gift, 1 run, 0 others",
		func(t *testing.T, h *harness, f frontend) string {
			a := outcome(t, f.ask(t, h, "ny-gava", "k6", "gift"))
			b := outcome(t, f.ask(t, h, "ny-gava", "k6", "more"))
			c := outcome(t, f.ask(t, h, "ny-gava", "k6", "gift"))
			return fmt.Sprintf("%s, %s, %s, %d run, %d others", describeOutcome(a), describeOutcome(b), describeOutcome(c), h.work.Runs("gift"), h.work.Runs("more"))
		},
	},
	// A request that runs when the drain begins is served, and so is one whose last bytes
	// arrive within the grace. One whose last bytes arrive after the grace never runs.
	{
		"drain", shortGrace, "served done: running, served done: early, refused, 0 late runs, drained",
		func(t *testing.T, h *harness, f frontend) string {
			early, late := f.open(t, h, "kampanjsida", "", "early"), f.open(t, h, "ny-gava", "k5", "late")
			mustSucceed(t, early.SendHalf())
			mustSucceed(t, late.SendHalf())
			running := f.ask(t, h, "givarhistorik", "", "running")
			<-h.work.Started()
			h.startShutdown()
			h.waitReport(t, false)
			mustSucceed(t, early.Send())
			earlyOutcome := outcome(t, early)
			h.waitClosed(t)
			_ = late.Send() // fails if the connection is closed: the request has its answer then
			lateOutcome := outcome(t, late)
			runningOutcome := outcome(t, running)
			<-h.drained
			return fmt.Sprintf("%s, %s, %s, %d late runs, drained", describeOutcome(runningOutcome), describeOutcome(earlyOutcome), describeOutcome(lateOutcome), h.work.Runs("late"))
		},
	},
}

// describeOutcome returns the kind of an outcome and its body, if it has one.
func describeOutcome(o fakes.Outcome) string {
	if o.Body == "" {
		return o.Kind
	}
	return o.Kind + " " + o.Body
}

func tooLittleMemory(c *config.Config) { c.Settings.MemoryKB = 10 }

func shortDeadline(c *config.Config) {
	for i := range c.Settings.Classes {
		c.Settings.Classes[i].LatencyObjective, c.Settings.Classes[i].Deadline = time.Second, 1500*time.Millisecond
	}
}

func shortGrace(c *config.Config) {
	c.Settings.DrainGrace, c.StopTimeout = time.Second, 5*time.Second
}

// waitReport waits until the server has reported to the discovery service whether it accepts
// requests, or until the sample service's health check says so.
func (h *harness) waitReport(t testing.TB, accepting bool) {
	t.Helper()
	if h.sample != nil {
		h.waitHealth(t, accepting)
		return
	}
	want := fmt.Sprintf(`PUT /announce/n1 {"accepting":"%t"}`, accepting)
	timeout := time.After(10 * time.Second)
	for {
		select {
		case got := <-h.discovery.Reports:
			if got == want {
				return
			}
		case <-timeout:
			t.Fatalf("the discovery service got no report %s within 10s", want)
		}
	}
}

func (h *harness) waitHealth(t testing.TB, healthy bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		request := must(http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+h.webAddr+gifts.HealthPath, nil))(t)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		mustSucceed(t, response.Body.Close())
		if (response.StatusCode == http.StatusOK) == healthy {
			return
		}
	}
	t.Fatalf("the health check was not %t within 10s", healthy)
}

// waitClosed waits until new connections are refused, which means that the grace has ended.
func (h *harness) waitClosed(t testing.TB) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		conn, err := tryDial(h.drainingAddr())
		if err != nil {
			time.Sleep(2 * time.Millisecond) // arrival times are in whole milliseconds
			return
		}
		closeConn(conn)
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the listener was not closed within 10s")
}

// TestScenarios runs every scenario on both frontends of the app server and on the library's
// sample service, and checks that the counts of outcomes and runs are the same on all three.
func TestScenarios(t *testing.T) {
	t.Cleanup(func() {
		table, same := outcomeCounts.table()
		t.Logf("outcomes by frontend:\n%s", table)
		if !same && !t.Failed() {
			t.Errorf("the outcomes differ between frontends:\n%s", table)
		}
	})
	for _, s := range scenarios {
		for _, f := range frontends {
			t.Run(s.name+"/"+f.name, func(t *testing.T) {
				t.Parallel()
				h := f.newHarness(t, s.config)
				if got := s.run(t, h, f); got != s.want {
					t.Errorf("scenario on %s:\ngot  %s\nwant %s", f.name, got, s.want)
				}
				outcomeCounts.add(t.Name(), "runs", h.work.Total())
			})
		}
	}
}

// TestDuplicate_AcrossFrontendsRunsOnce sends a keyed request over one frontend and duplicates
// over the other, while it runs and afterwards. It must run once, and all get its result.
func TestDuplicate_AcrossFrontendsRunsOnce(t *testing.T) {
	for i, first := range serverFrontends {
		second := serverFrontends[1-i]
		t.Run(first.name+" then "+second.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.work.Duration = 200 * time.Millisecond
			a := first.ask(t, h, "ny-gava", "k", "gift")
			<-h.work.Started()
			b := second.ask(t, h, "ny-gava", "k", "gift")
			for _, attempt := range []*fakes.Attempt{a, b, second.ask(t, h, "ny-gava", "k", "gift")} {
				if got, want := outcome(t, attempt), (fakes.Outcome{Kind: "served", Body: "done: gift"}); got != want {
					t.Errorf("outcome = %v, want %v", got, want)
				}
			}
			if n := h.work.Runs("gift"); n != 1 {
				t.Errorf("the request ran %d times, want 1", n)
			}
		})
	}
}
