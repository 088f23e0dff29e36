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

// harness is an app server among fakes, or the library's sample service.
// Work on any backend is counted together.
type harness struct {
	*server.Server // nil for the sample service
	work           *fakes.Work
	processor      *fakes.Processor
	ledger         *fakes.Dependency
	announce       *fakes.DiscoveryService
	drained        chan struct{}

	sample  *gifts.Service // nil for the app server
	web     *http.Server
	webAddr string
	stopIn  time.Duration
}

// loadConfig gives the example's configuration, listening on any port.
func loadConfig(t testing.TB) *config.Config {
	t.Helper()
	c := must(config.Parse(dispatchtest.ReadExample(t, "config.json")))(t)
	c.ListenAddress, c.ControlAddress = "127.0.0.1:0", ""
	return c
}

// must gives a value that can be had.
func must[T any](v T, err error) func(testing.TB) T {
	return func(t testing.TB) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

func newHarness(t testing.TB, change func(*config.Config)) *harness {
	t.Helper()
	w := &harness{work: fakes.NewWork(0), drained: make(chan struct{})}
	const anyPort = "127.0.0.1:0"
	w.processor = must(fakes.NewProcessor(anyPort, w.work))(t)
	w.ledger = must(fakes.NewDependency(anyPort))(t)
	w.announce = must(fakes.NewDiscoveryService(anyPort))(t)
	app := must(fakes.NewUWSGIServer(anyPort, w.work))(t)
	c := loadConfig(t)
	c.ProcessorAddress, c.DependencyAddress, c.DiscoveryAddress = w.processor.Addr(), w.ledger.Addr(), w.announce.Addr()
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
	w.Server = must(server.Start(c, u))(t)
	t.Cleanup(func() {
		w.Kill()
		w.processor.Close()
		w.ledger.Close()
		w.announce.Close()
		app.Close()
	})
	<-w.processor.Up()
	return w
}

// newSample gives the library's sample service with the classes, memory and
// grace of the app server's configuration, and a route /CLASS for each class.
func newSample(t testing.TB, change func(*config.Config)) *harness {
	t.Helper()
	c := loadConfig(t)
	if change != nil {
		change(c)
	}
	w := &harness{work: fakes.NewWork(0), drained: make(chan struct{}), stopIn: c.StopTimeout}
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
		result, err := w.work.Do(ctx, string(body))
		return []byte(result), err
	}
	w.sample = must(gifts.New(cfg, work))(t)
	l := listen(t)
	w.web, w.webAddr = &http.Server{Handler: w.sample, ReadHeaderTimeout: time.Minute}, l.Addr().String()
	go func() { _ = w.web.Serve(w.sample.Listener(l)) }() // until its listener is closed
	t.Cleanup(func() {
		_ = w.web.Close() // its listener may be closed
		w.sample.Close()
	})
	return w
}

// closingAddr is the address whose listener closes when the grace is over.
func (w *harness) closingAddr() string {
	if w.sample != nil {
		return w.webAddr
	}
	return w.Addr().String()
}

// startShutdown has the drain begin.
func (w *harness) startShutdown() {
	if w.sample != nil {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), w.stopIn)
			defer cancel()
			_ = w.sample.Shutdown(ctx, w.web) // some scenarios leave requests open to the end
			close(w.drained)
		}()
		return
	}
	go func() { w.Shutdown(); close(w.drained) }()
}

func outcome(t testing.TB, try *fakes.Attempt) fakes.Outcome {
	t.Helper()
	o, err := try.Outcome()
	if err != nil {
		t.Errorf("no outcome: %v", err)
	}
	counts.add(t.Name(), o.Kind, 1)
	return o
}

// outcomeTable counts what the suite's scenarios came to, by front.
type outcomeTable struct {
	mu     sync.Mutex
	counts map[string]map[string]int // front, kind
}

// counts is the suite's table; only TestSuite's scenarios count.
var counts = &outcomeTable{counts: map[string]map[string]int{}}

func (c *outcomeTable) add(test, kind string, n int) {
	scenario, ok := strings.CutPrefix(test, "TestSuite/")
	if !ok {
		return
	}
	front := scenario[strings.LastIndex(scenario, "/")+1:]
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[front] == nil {
		c.counts[front] = map[string]int{}
	}
	c.counts[front][kind] += n
}

// table gives the counts as a table, and whether they are the same on all fronts.
func (c *outcomeTable) table() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kinds := []string{"served", "refused", "failed", "rejected", "runs"}
	var b strings.Builder
	fmt.Fprintf(&b, "| front | %s |\n|%s\n", strings.Join(kinds, " | "), strings.Repeat(" --- |", len(kinds)+1))
	same := true
	for _, f := range fronts {
		fmt.Fprintf(&b, "| %s |", f.name)
		for _, k := range kinds {
			fmt.Fprintf(&b, " %d |", c.counts[f.name][k])
			same = same && c.counts[f.name][k] == c.counts[fronts[0].name][k]
		}
		b.WriteString("\n")
	}
	return b.String(), same
}

// front is a protocol that the suite runs against.
type front struct {
	name    string
	caller  fakes.Client
	address func(*harness) string
	harness func(testing.TB, func(*config.Config)) *harness
}

// daemon's fronts are the app server's own; the last of fronts is the library's
// sample service.
var (
	daemon = []front{
		{"thrift", fakes.Thrift, func(w *harness) string { return w.Addr().String() }, newHarness},
		{"uwsgi", fakes.UWSGI, func(w *harness) string { return w.UWSGIAddr().String() }, newHarness},
	}
	fronts = append(slices.Clip(daemon), front{"middleware", fakes.HTTP, (*harness).closingAddr, newSample})
)

// open makes a try without sending it.
func (f front) open(t testing.TB, w *harness, class, key, body string) *fakes.Attempt {
	t.Helper()
	return must(f.caller(f.address(w), class, key, body))(t)
}

// ask makes a try and sends it.
func (f front) ask(t testing.TB, w *harness, class, key, body string) *fakes.Attempt {
	t.Helper()
	try := f.open(t, w, class, key, body)
	if err := try.Send(); err != nil {
		t.Fatal(err)
	}
	return try
}

// scenarios is the suite. Each describes what happened as a text; the same is wanted
// over every protocol.
var scenarios = []struct {
	name   string
	config func(*config.Config)
	want   string
	play   func(t *testing.T, w *harness, f front) string
}{
	{"served", nil, "served done: a gift", func(t *testing.T, w *harness, f front) string {
		return describeOutcome(outcome(t, f.ask(t, w, "kampanjsida", "", "a gift")))
	}},
	// Not even the held request fits the memory, so the module turns it away as it is read.
	{"refused", noRoom, "refused, 0 runs", func(t *testing.T, w *harness, f front) string {
		o := outcome(t, f.ask(t, w, "kampanjsida", "", "too much"))
		return fmt.Sprintf("%s, %d runs", describeOutcome(o), w.work.Runs("too much"))
	}},
	{"failed", nil, "failed, 1 run", func(t *testing.T, w *harness, f front) string {
		o := outcome(t, f.ask(t, w, "ny-gava", "k1", "fail it"))
		return fmt.Sprintf("%s, %d run", describeOutcome(o), w.work.Runs("fail it"))
	}},
	{"deadline", shortDeadline, "failed, in time: true", func(t *testing.T, w *harness, f front) string {
		began := time.Now()
		o := outcome(t, f.ask(t, w, "ny-gava", "k2", "hang on"))
		took := time.Since(began)
		<-w.work.Stopped() // and the work does not go on for nobody
		return fmt.Sprintf("%s, in time: %t", describeOutcome(o), took >= 1400*time.Millisecond && took < 10*time.Second)
	}},
	{"caller gone", nil, "stopped hang there", func(t *testing.T, w *harness, f front) string {
		try := f.ask(t, w, "kampanjsida", "", "hang there")
		<-w.work.Started()
		try.Cancel()
		return "stopped " + <-w.work.Stopped()
	}},
	{
		"repeat", nil, "served done: gift, served done: gift, served done: gift, 1 run",
		func(t *testing.T, w *harness, f front) string {
			first, second := f.ask(t, w, "ny-gava", "k3", "gift"), f.ask(t, w, "ny-gava", "k3", "gift")
			a, b := outcome(t, first), outcome(t, second)
			c := outcome(t, f.ask(t, w, "ny-gava", "k3", "gift"))
			return fmt.Sprintf("%s, %s, %s, %d run", describeOutcome(a), describeOutcome(b), describeOutcome(c), w.work.Runs("gift"))
		},
	},
	{"repeat of a failure", nil, "failed, failed, 1 run", func(t *testing.T, w *harness, f front) string {
		a := outcome(t, f.ask(t, w, "ny-gava", "k4", "fail gift"))
		b := outcome(t, f.ask(t, w, "ny-gava", "k4", "fail gift"))
		return fmt.Sprintf("%s, %s, %d run", describeOutcome(a), describeOutcome(b), w.work.Runs("fail gift"))
	}},
	{"connection lost", nil, "served done: gift, 1 run", func(t *testing.T, w *harness, f front) string {
		w.work.Duration = 200 * time.Millisecond
		lost := f.ask(t, w, "ny-gava", "k7", "gift")
		<-w.work.Started()
		lost.Disconnect()
		o := outcome(t, f.ask(t, w, "ny-gava", "k7", "gift"))
		return fmt.Sprintf("%s, %d run", describeOutcome(o), w.work.Runs("gift"))
	}},
	{
		"key of another request", nil, "served done: gift, rejected, served done: gift, 1 run, 0 others",
		func(t *testing.T, w *harness, f front) string {
			a := outcome(t, f.ask(t, w, "ny-gava", "k6", "gift"))
			b := outcome(t, f.ask(t, w, "ny-gava", "k6", "more"))
			c := outcome(t, f.ask(t, w, "ny-gava", "k6", "gift"))
			return fmt.Sprintf("%s, %s, %s, %d run, %d others", describeOutcome(a), describeOutcome(b), describeOutcome(c), w.work.Runs("gift"), w.work.Runs("more"))
		},
	},
	// What runs at the notice is served, what is complete within the grace too; what was
	// half read at the notice and is complete after the grace never runs.
	{
		"drain", shortGrace, "served done: running, served done: early, refused, 0 late runs, drained",
		func(t *testing.T, w *harness, f front) string {
			early, late := f.open(t, w, "kampanjsida", "", "early"), f.open(t, w, "ny-gava", "k5", "late")
			mustDo(t, early.SendHalf())
			mustDo(t, late.SendHalf())
			running := f.ask(t, w, "givarhistorik", "", "running")
			<-w.work.Started()
			w.startShutdown()
			w.waitReport(t, false)
			mustDo(t, early.Send())
			e := outcome(t, early)
			w.waitClosed(t)
			_ = late.Send() // may find the connection ended: it has its answer then
			l := outcome(t, late)
			r := outcome(t, running)
			<-w.drained
			return fmt.Sprintf("%s, %s, %s, %d late runs, drained", describeOutcome(r), describeOutcome(e), describeOutcome(l), w.work.Runs("late"))
		},
	},
}

func describeOutcome(o fakes.Outcome) string {
	if o.Body == "" {
		return o.Kind
	}
	return o.Kind + " " + o.Body
}

func noRoom(c *config.Config) { c.Settings.MemoryKB = 10 }

func shortDeadline(c *config.Config) {
	for i := range c.Settings.Classes {
		c.Settings.Classes[i].LatencyObjective, c.Settings.Classes[i].Deadline = time.Second, 1500*time.Millisecond
	}
}

func shortGrace(c *config.Config) {
	c.Settings.DrainGrace, c.StopTimeout = time.Second, 5*time.Second
}

// waitReport waits until the announce service has heard of a change, or the
// sample service's health tells of it.
func (w *harness) waitReport(t testing.TB, accepting bool) {
	t.Helper()
	if w.sample != nil {
		w.waitHealth(t, accepting)
		return
	}
	want := fmt.Sprintf(`PUT /announce/n1 {"accepting":"%t"}`, accepting)
	timeout := time.After(10 * time.Second)
	for {
		select {
		case got := <-w.announce.Reports:
			if got == want {
				return
			}
		case <-timeout:
			t.Fatalf("%s was never reported", want)
		}
	}
}

func (w *harness) waitHealth(t testing.TB, good bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		request := must(http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+w.webAddr+gifts.HealthPath, nil))(t)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		mustDo(t, response.Body.Close())
		if (response.StatusCode == http.StatusOK) == good {
			return
		}
	}
	t.Fatalf("health never became %t", good)
}

// waitClosed waits until no new connection is taken: the grace is over.
func (w *harness) waitClosed(t testing.TB) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		conn, err := tryDial(w.closingAddr())
		if err != nil {
			time.Sleep(2 * time.Millisecond) // arrival times are in whole milliseconds
			return
		}
		closeConn(conn)
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the listener stays open")
}

// TestSuite runs every scenario, unchanged, against both protocols of the app
// server and against the library's sample service, and sees that the counts of
// what they came to are the same on all three.
func TestSuite(t *testing.T) {
	t.Cleanup(func() {
		table, same := counts.table()
		t.Logf("outcomes of the suite by front:\n%s", table)
		if !same && !t.Failed() {
			t.Errorf("the fronts differ:\n%s", table)
		}
	})
	for _, s := range scenarios {
		for _, f := range fronts {
			t.Run(s.name+"/"+f.name, func(t *testing.T) {
				t.Parallel()
				w := f.harness(t, s.config)
				if got := s.play(t, w, f); got != s.want {
					t.Errorf("got  %s\nwant %s", got, s.want)
				}
				counts.add(t.Name(), "runs", w.work.Total())
			})
		}
	}
}

// TestRepeatAcrossFronts has one gift sent over one protocol and again over the
// other, while it runs and afterwards: it runs once, and all get its result.
func TestRepeatAcrossFronts(t *testing.T) {
	for i, first := range daemon {
		second := daemon[1-i]
		t.Run(first.name+" then "+second.name, func(t *testing.T) {
			w := newHarness(t, nil)
			w.work.Duration = 200 * time.Millisecond
			a := first.ask(t, w, "ny-gava", "k", "gift")
			<-w.work.Started()
			b := second.ask(t, w, "ny-gava", "k", "gift")
			for _, try := range []*fakes.Attempt{a, b, second.ask(t, w, "ny-gava", "k", "gift")} {
				if got, want := outcome(t, try), (fakes.Outcome{Kind: "served", Body: "done: gift"}); got != want {
					t.Errorf("got %v, want %v", got, want)
				}
			}
			if n := w.work.Runs("gift"); n != 1 {
				t.Errorf("it ran %d times", n)
			}
		})
	}
}
