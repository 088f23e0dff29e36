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

// Child is a member of the fleet: its latest process, which may have exited, and the program,
// arguments and files of its next process.
type Child struct {
	Name   string
	Raft   string // address at which the other voters reach a voter that waits to be added; otherwise empty
	cmd    *exec.Cmd
	exited chan struct{} // closed after the process has exited and its log was read
	args   []string
	config string // path of the configuration file
	dir    string
	fleet  map[string]any // fleet section of the operator file
	files  map[string]any // further keys of the operator file
	binary string

	processor *fakes.Processor // nil in a fleet without load
	address   atomic.Pointer[string]
	version   atomic.Pointer[string] // of the current or next process
}

// Replace terminates a member's process with SIGTERM, as an operator does, and starts one of
// another version in its place.
func (f *Fleet) Replace(name, version string) error {
	c := f.Children[name]
	binary := f.opt.Versions[version]
	if version == f.opt.Version {
		binary = f.opt.Binary
	}
	if binary == "" {
		return fmt.Errorf("fleettest: version %s is neither Options.Version nor in Options.Versions", version)
	}
	if err := f.Signal(name, syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-c.exited
	if err := c.setVersion(binary, version); err != nil {
		return err
	}
	return f.Launch(name)
}

// Launch starts a member's process, or restarts it after it has exited. It returns when the
// process has logged its listen addresses.
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
			f.recordLine(name, s.Text())
		}
		_ = cmd.Wait() // the test causes the exit, so the error doesn't matter
		f.recordLine(name, "event=exited")
		close(exited)
	}()
	l, err := f.Await("the fleet addresses of "+name, from, func(l Line) bool {
		return l.Child == name && (l.Event == "fleet" || l.Event == "exited")
	})
	if err != nil {
		return err
	}
	if l.Event == "exited" {
		return fmt.Errorf("fleettest: %s exited during startup, log: %s", name, f.Log(name))
	}
	if f.Ledger != nil {
		l, err := f.Await("the request address of "+name, from, func(l Line) bool { return l.Child == name && l.Event == "listening" })
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
		return fmt.Errorf("fleettest: signal %v to %s: %w", s, name, err)
	}
	return nil
}

// Kill sends SIGKILL to a member's process and waits for its exit.
func (f *Fleet) Kill(name string) error {
	if err := f.Signal(name, syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-f.Children[name].exited
	return nil
}

// MemberSettings returns the entry of a member in Options.MemberSettings.
func (f *Fleet) MemberSettings(name string) map[string]any { return f.opt.MemberSettings[name] }

// Pid returns the process id of a member.
func (f *Fleet) Pid(name string) int { return f.Children[name].cmd.Process.Pid }

// Exited returns a channel that is closed when a member's process has exited.
func (f *Fleet) Exited(name string) <-chan struct{} { return f.Children[name].exited }
