//go:build faultlayer

package main

// The fault layer of test builds makes system calls fail, be interrupted or transfer fewer
// bytes than requested, and steps Unix time. faultsoak.BuildWithFaults builds it into the
// program. It needs hooks in the standard library's packages syscall and time, which that
// build adds through the compiler's overlay; other builds contain none of it.
//
// The process listens on the TCP address $QUINCERAIL_FAULTS for lines of JSON. Each line is
// a faultPlan that replaces the previous one, and is answered with the line "done" or with
// the text of an error.

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

// faultPlan lists the faults that are injected until the next plan.
type faultPlan struct {
	Seed        uint64      `json:"seed"`
	Rules       []faultRule `json:"rules"`
	WallSeconds int64       `json:"wall_seconds"` // added to Unix time
}

// faultRule makes a system call fail with Errno. If Errno is 0, the call does not fail, but
// transfers at most a random number of bytes between 1 and the requested number.
type faultRule struct {
	Call        string  `json:"call"`  // read, write, accept4, connect, socket, fsync
	Files       bool    `json:"files"` // applies to regular files; otherwise to other descriptors
	Probability float64 `json:"probability"`
	Errno       int     `json:"errno"`
	Burst       int     `json:"burst"` // number of matching calls that also fail after one that was chosen by Probability
}

// faultLayer injects the faults of the current plan.
type faultLayer struct {
	mu     sync.Mutex
	rng    *rand.Rand
	plan   faultPlan
	bursts []int        // for each rule, the number of calls left in its burst
	exempt map[int]bool // descriptors of the fault layer itself, whose calls don't fail
}

func init() {
	address := os.Getenv("QUINCERAIL_FAULTS")
	if address == "" {
		return
	}
	f := &faultLayer{exempt: map[int]bool{}}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fault layer:", err)
		os.Exit(1)
	}
	f.exemptConn(listener.(*net.TCPListener))
	syscall.FaultHook = f.decide
	go f.acceptPlans(listener)
}

// exemptConn excludes a socket of the fault layer from faults.
func (f *faultLayer) exemptConn(c syscall.Conn) {
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

// acceptPlans reads plans from one connection at a time until the listener fails.
func (f *faultLayer) acceptPlans(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		f.exemptConn(conn.(*net.TCPConn))
		for s := bufio.NewScanner(conn); s.Scan(); {
			answer := "done"
			if err := f.setPlan(s.Bytes()); err != nil {
				answer = err.Error()
			}
			fmt.Fprintln(conn, answer)
		}
		f.removeExemption(conn.(*net.TCPConn))
		conn.Close()
	}
}

// removeExemption removes a socket's exemption before it is closed, because the system reuses
// its descriptor.
func (f *faultLayer) removeExemption(c syscall.Conn) {
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

// setPlan decodes a plan and replaces the current one with it.
func (f *faultLayer) setPlan(line []byte) error {
	var plan faultPlan
	if err := json.Unmarshal(line, &plan); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan, f.bursts = plan, make([]int, len(plan.Rules))
	f.rng = rand.New(rand.NewPCG(plan.Seed, 1))
	time.FaultWallSeconds = plan.WallSeconds
	return nil
}

// decide is called before each hooked system call. It returns the error that the call must
// fail with, 0 for none, and the maximum number of bytes that the call may transfer. Calls
// on standard input, output and error never fail.
func (f *faultLayer) decide(call string, fd, size int) (errno syscall.Errno, maxBytes int) {
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
		if f.bursts[i] == 0 && f.rng.Float64() >= rule.Probability {
			continue
		}
		if f.bursts[i] > 0 {
			f.bursts[i]--
		} else {
			f.bursts[i] = rule.Burst
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
