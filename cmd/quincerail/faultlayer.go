//go:build faultlayer

package main

// The fault layer of test builds: system calls that fail, come short or are interrupted,
// and Unix time that is stepped, as faultsoak.BuildWithFaults builds it into the program.
// It needs hooks in the standard library's syscall and time, which that build adds by the
// compiler's overlay; no other build has any of it.
//
// The process listens on $QUINCERAIL_FAULTS for lines of JSON, each a faultPlan that
// replaces the one before, and answers each with a line.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// faultPlan is what fails until the next plan.
type faultPlan struct {
	Seed        uint64      `json:"seed"`
	Rules       []faultRule `json:"rules"`
	WallSeconds int64       `json:"wall_seconds"` // by which Unix time is off
}

// faultRule has a system call fail. Where Errno is 0 it comes short instead.
type faultRule struct {
	Call        string  `json:"call"`  // read, write, accept4, connect, socket, fsync
	Files       bool    `json:"files"` // of files, else of sockets
	Probability float64 `json:"probability"`
	Errno       int     `json:"errno"`
	Burst       int     `json:"burst"` // further calls that fail after one did
}

// faults is the layer's state.
type faults struct {
	mu     sync.Mutex
	rng    *rand.Rand
	plan   faultPlan
	burst  []int        // left of each rule's
	exempt map[int]bool // descriptors of the layer itself
}

func init() {
	address := os.Getenv("QUINCERAIL_FAULTS")
	if address == "" {
		return
	}
	f := &faults{exempt: map[int]bool{}}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fault layer:", err)
		os.Exit(1)
	}
	f.exemptConn(listener.(*net.TCPListener))
	syscall.FaultHook = f.decide
	go f.serve(listener)
}

// exemptConn keeps faults off a socket of the layer.
func (f *faults) exemptConn(c syscall.Conn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.exempt[int(fd)] = true
	})
}

func (f *faults) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		f.exemptConn(conn.(*net.TCPConn))
		for s := bufio.NewScanner(conn); s.Scan(); {
			answer := "done"
			if err := f.adopt(s.Bytes()); err != nil {
				answer = err.Error()
			}
			fmt.Fprintln(conn, answer)
		}
		f.release(conn.(*net.TCPConn))
		conn.Close()
	}
}

func (f *faults) release(c syscall.Conn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.exempt, int(fd))
	})
}

func (f *faults) adopt(line []byte) error {
	var plan faultPlan
	if err := json.Unmarshal(line, &plan); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan, f.burst = plan, make([]int, len(plan.Rules))
	f.rng = rand.New(rand.NewPCG(plan.Seed, 1))
	time.FaultWallSeconds = plan.WallSeconds
	return nil
}

// decide is asked before each system call. It returns the error that the call is to
// fail with, 0 for none, and how many bytes it may move at most.
func (f *faults) decide(call string, fd, size int) (errno syscall.Errno, most int) {
	if fd >= 0 && fd <= 2 {
		return 0, size
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.plan.Rules) == 0 || f.exempt[fd] {
		return 0, size
	}
	file := fd >= 0 && isFile(fd)
	for i, rule := range f.plan.Rules {
		if rule.Call != call || rule.Files != file {
			continue
		}
		if f.burst[i] == 0 && f.rng.Float64() >= rule.Probability {
			continue
		}
		if f.burst[i] > 0 {
			f.burst[i]--
		} else {
			f.burst[i] = rule.Burst
		}
		if rule.Errno != 0 {
			return syscall.Errno(rule.Errno), size
		}
		return 0, 1 + f.rng.IntN(max(1, size))
	}
	return 0, size
}

// isFile reports whether a descriptor is a regular file.
func isFile(fd int) bool {
	var stat syscall.Stat_t
	return syscall.Fstat(fd, &stat) == nil && stat.Mode&syscall.S_IFMT == syscall.S_IFREG
}
