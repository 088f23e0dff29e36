package fleettest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"

	"quincerail.example/quincerail/internal/fakes"
)

// Child is one process, or the place of one that has ended.
type Child struct {
	Name   string
	Raft   string // of a voter that is to be added: where the others reach it
	cmd    *exec.Cmd
	exited chan struct{}
	args   []string
	config string
	dir    string
	fleet  map[string]any // of its operator's file, and the rest of that
	files  map[string]any
	binary string

	processor *fakes.Processor // where there is load
	address   atomic.Pointer[string]
	version   atomic.Pointer[string] // that it runs, or is about to
}

// Replace ends a member's process as an operator does, and starts one of another
// version in its place.
func (f *Fleet) Replace(name, version string) error {
	c := f.Children[name]
	binary := f.opt.Versions[version]
	if version == f.opt.Version {
		binary = f.opt.Binary
	}
	if binary == "" {
		return fmt.Errorf("fleettest: no version %s", version)
	}
	if err := f.Signal(name, syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-c.exited
	if err := c.become(binary, version); err != nil {
		return err
	}
	return f.Launch(name)
}

// Launch starts a member's process, anew after it has ended, and returns once
// it says where it listens.
func (f *Fleet) Launch(name string) error {
	c := f.Children[name]
	f.mu.Lock()
	from := len(f.lines)
	f.mu.Unlock()
	c.cmd = exec.CommandContext(context.Background(), c.binary, c.args...)
	c.cmd.Env = append(os.Environ(), "GW_CONFIG="+c.config)
	c.exited = make(chan struct{})
	stderr, err := c.cmd.StderrPipe()
	if err != nil {
		return fmt.Errorf("fleettest: %w", err)
	}
	if err := c.cmd.Start(); err != nil {
		return fmt.Errorf("fleettest: %w", err)
	}
	cmd, exited := c.cmd, c.exited
	go func() {
		for s := bufio.NewScanner(stderr); s.Scan(); {
			f.take(name, s.Text())
		}
		_ = cmd.Wait() // how it ended is what the test caused
		f.take(name, "event=exited")
		close(exited)
	}()
	l, err := f.Await("where "+name+" listens", from, func(l Line) bool {
		return l.Child == name && (l.Event == "fleet" || l.Event == "exited")
	})
	if err != nil {
		return err
	}
	if l.Event == "exited" {
		return fmt.Errorf("fleettest: %s ended at its start: %s", name, f.Log(name))
	}
	if f.Ledger != nil {
		l, err := f.Await("where "+name+" takes callers", from, func(l Line) bool { return l.Child == name && l.Event == "listening" })
		if err != nil {
			return err
		}
		address := l.Fields["address"]
		c.address.Store(&address)
	}
	f.Net.SetTarget(name, "raft", l.Fields["raft"])
	f.Net.SetTarget(name, "gossip", l.Fields["gossip"])
	f.mu.Lock()
	f.gossip[name] = l.Fields["gossip"]
	f.mu.Unlock()
	return nil
}

// Signal sends a signal to a member's process.
func (f *Fleet) Signal(name string, s syscall.Signal) error {
	if err := f.Children[name].cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("fleettest: %s: %w", name, err)
	}
	return nil
}

// Kill ends a member's process at once, and waits for that.
func (f *Fleet) Kill(name string) error {
	if err := f.Signal(name, syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-f.Children[name].exited
	return nil
}

// Own gives a member's own part of the operator's file.
func (f *Fleet) Own(name string) map[string]any { return f.opt.Own[name] }

// Pid is the id of a member's process.
func (f *Fleet) Pid(name string) int { return f.Children[name].cmd.Process.Pid }

// Exited is closed when a member's process has ended.
func (f *Fleet) Exited(name string) <-chan struct{} { return f.Children[name].exited }
