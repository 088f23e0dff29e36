package faultsoak

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// systemLoop is one more loop for the nodes of a build with faults.
var systemLoop = faultLoop{200 * time.Millisecond, 3 * time.Second, []fault{systemCallsFail, systemCallsFail, wallClockSteps}}

// systemFaults lists how system calls fail, as Linux documents it. What fails for good
// on a real socket, as a reset does, is left to the relays and clients.
var systemFaults = []FaultRule{
	{Call: "read", Probability: 0.3},
	{Call: "write", Probability: 0.3},
	{Call: "read", Probability: 0.2, Errno: syscall.EINTR},
	{Call: "write", Probability: 0.2, Errno: syscall.EINTR},
	{Call: "read", Probability: 0.02, Errno: syscall.ETIMEDOUT},
	{Call: "read", Probability: 0.02, Errno: syscall.EHOSTUNREACH, Burst: 1},
	{Call: "write", Probability: 0.02, Errno: syscall.ENOBUFS, Burst: 2},
	{Call: "write", Probability: 0.02, Errno: syscall.ETIMEDOUT},
	{Call: "write", Probability: 0.02, Errno: syscall.EHOSTUNREACH, Burst: 1},
	{Call: "accept4", Probability: 0.3, Errno: syscall.ECONNABORTED, Burst: 3},
	{Call: "accept4", Probability: 0.3, Errno: syscall.EMFILE, Burst: 5},
	{Call: "accept4", Probability: 0.3, Errno: syscall.ENFILE, Burst: 5},
	{Call: "accept4", Probability: 0.3, Errno: syscall.ENOBUFS, Burst: 5},
	{Call: "accept4", Probability: 0.3, Errno: syscall.ENOMEM, Burst: 5},
	{Call: "accept4", Probability: 0.3, Errno: syscall.EPERM, Burst: 2},
	{Call: "accept4", Probability: 0.3, Errno: syscall.EINTR, Burst: 2},
	{Call: "connect", Probability: 0.5, Errno: syscall.EADDRNOTAVAIL, Burst: 3},
	{Call: "connect", Probability: 0.5, Errno: syscall.ENETUNREACH, Burst: 3},
	{Call: "connect", Probability: 0.5, Errno: syscall.EHOSTUNREACH, Burst: 3},
	{Call: "connect", Probability: 0.5, Errno: syscall.ETIMEDOUT, Burst: 3},
	{Call: "connect", Probability: 0.5, Errno: syscall.EAGAIN, Burst: 3},
	{Call: "socket", Probability: 0.5, Errno: syscall.EMFILE, Burst: 3},
	{Call: "socket", Probability: 0.5, Errno: syscall.ENFILE, Burst: 3},
	{Call: "socket", Probability: 0.5, Errno: syscall.ENOBUFS, Burst: 3},
}

// diskFaults lists how the folder of a node's keys fails.
var diskFaults = []FaultRule{
	{Call: "write", Files: true, Probability: 1, Errno: syscall.ENOSPC},
	{Call: "write", Files: true, Probability: 0.3, Errno: syscall.EIO, Burst: 2},
	{Call: "write", Files: true, Probability: 0.5},
	{Call: "fsync", Files: true, Probability: 0.5, Errno: syscall.EIO, Burst: 2},
}

// wallSteps are seconds by which Unix time may be off.
var wallSteps = []int64{-3600, -60, -5, -1, 1, 5, 60, 3600}

// setFaults gives the fault layer a plan. A node that is paused or has ended takes none.
func (o *operator) setFaults(plan FaultPlan) {
	if o.node.SetFaults(plan) == nil {
		o.record(SystemBad)
	}
}

// systemCallsFail has some system calls fail for a while.
func systemCallsFail(ctx context.Context, o *operator, rng *rand.Rand) {
	plan := FaultPlan{Seed: rng.Uint64(), WallSeconds: o.wallSeconds}
	for range 1 + rng.IntN(4) {
		rule := systemFaults[rng.IntN(len(systemFaults))]
		// One rule a call: where several had the same call fail, hardly any would succeed.
		if !slices.ContainsFunc(plan.Rules, func(r FaultRule) bool { return r.Call == rule.Call }) {
			plan.Rules = append(plan.Rules, rule)
		}
	}
	if o.node.Keys && rng.IntN(2) == 0 {
		plan.Rules = append(plan.Rules, diskFaults[rng.IntN(len(diskFaults))])
	}
	o.setFaults(plan)
	pause(ctx, between(rng, 200*time.Millisecond, 3*time.Second))
	o.setFaults(FaultPlan{WallSeconds: o.wallSeconds})
}

// wallClockSteps steps the Unix time that the process sees.
func wallClockSteps(_ context.Context, o *operator, rng *rand.Rand) {
	o.wallSeconds = wallSteps[rng.IntN(len(wallSteps))]
	o.setFaults(FaultPlan{WallSeconds: o.wallSeconds})
}
