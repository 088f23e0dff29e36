// Package fleettest runs several processes of the program in a test, with a proxy of
// package faultproxy in each direction between them. It starts, signals, kills and
// restarts the processes, each by its own process id, and reads their logs.
//
// A [Fleet] owns its processes ([Child]), the fakes of the other parties, the proxies and
// the callers. One goroutine for each process reads its log; one for each caller sends
// requests until StopCallers or Close.
package fleettest

import (
	"fmt"
	"sync"
	"time"

	"quincerail.example/quincerail/internal/fakes"
	"quincerail.example/quincerail/internal/faultproxy"
)

const (
	anyPort     = "127.0.0.1:0"
	unreachable = "127.0.0.1:1" // no process listens there

	defaultTimeout = 30 * time.Second // of Await
)

// Fleet is a group of processes, the members, in a test. Members are named as described at
// [Options].
type Fleet struct {
	Net      *faultproxy.Network
	Registry *fakes.Registry
	Ledger   *fakes.SharedDependency // nil without load
	Children map[string]*Child       // by name

	opt         Options
	stopCallers func()        // closes closed, once
	closed      chan struct{} // closed when the callers are to stop
	callers     sync.WaitGroup
	gossip      map[string]string // gossip addresses of the members, without proxies
	mu          sync.Mutex        // guards lines, changed and writes to gossip
	lines       []Line
	changed     chan struct{} // closed and replaced at each line
}

// Start starts all members and returns when each has logged its listen addresses. After an
// error no process is left running.
func Start(opt Options) (*Fleet, error) {
	f := &Fleet{Net: faultproxy.NewNetwork(opt.Seed), Children: map[string]*Child{}, opt: opt, gossip: map[string]string{}, closed: make(chan struct{}), changed: make(chan struct{})}
	f.stopCallers = sync.OnceFunc(func() { close(f.closed) })
	if f.opt.Within == 0 {
		f.opt.Within = defaultTimeout
	}
	var err error
	if f.Registry, err = fakes.NewRegistry(anyPort); err != nil {
		return nil, fmt.Errorf("fleettest: %w", err)
	}
	if opt.Load > 0 {
		if f.Ledger, err = fakes.NewSharedDependency(anyPort, opt.CallDuration, opt.RejectEvery); err != nil {
			f.Registry.Close()
			return nil, fmt.Errorf("fleettest: %w", err)
		}
	}
	voters, all := opt.memberNames()
	proxied := all
	if opt.Direct {
		proxied = voters
	}
	err = f.prepareAndLaunch(proxied, func(name string) error { return f.prepare(name, voters, proxied) })
	if err == nil && opt.Direct {
		err = f.prepareAndLaunch(all[len(voters):], func(name string) error { return f.prepare(name, nil, voters) })
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// memberNames returns the names of the founding voters and of all members.
func (o Options) memberNames() (voters, all []string) {
	for i := range o.Voters {
		voters = append(voters, fmt.Sprint("v", i+1))
	}
	all = append(all, voters...)
	for i := range o.Joining {
		all = append(all, fmt.Sprint("v", o.Voters+i+1))
	}
	for i := range o.Members {
		all = append(all, fmt.Sprint("m", i+1))
	}
	return voters, all
}

// prepareAndLaunch calls prepare for each of the members and then starts their processes.
func (f *Fleet) prepareAndLaunch(names []string, prepare func(string) error) error {
	for _, name := range names {
		if err := prepare(name); err != nil {
			return err
		}
	}
	f.Net.SetTarget("registry", "publish", f.Registry.Addr())
	for _, name := range names {
		if err := f.Launch(name); err != nil {
			return err
		}
	}
	return nil
}

// Close kills all processes, stops the callers, and closes the fakes and proxies.
func (f *Fleet) Close() {
	f.stopCallers()
	for _, c := range f.Children {
		if c.cmd != nil && c.cmd.Process != nil {
			_ = c.cmd.Process.Kill() // it may have exited
			<-c.exited
		}
	}
	f.callers.Wait()
	for _, c := range f.Children {
		if c.processor != nil {
			c.processor.Close()
		}
	}
	f.Net.Close()
	f.Registry.Close()
	if f.Ledger != nil {
		f.Ledger.Close()
	}
}
