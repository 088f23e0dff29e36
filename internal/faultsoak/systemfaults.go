package faultsoak

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// systemLoop is an additional loop for nodes of a build with the fault layer.
var systemLoop = faultLoop{200 * time.Millisecond, 3 * time.Second, []fault{failSystemCalls, failSystemCalls, stepWallClock}}

// systemFaults lists failures of system calls that Linux documents. Failures that are
// permanent on a real socket, such as a reset, are injected by relays and clients instead.
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

// diskFaults lists failures of writes and syncs of a node's key files.
var diskFaults = []FaultRule{
	{Call: "write", Files: true, Probability: 1, Errno: syscall.ENOSPC},
	{Call: "write", Files: true, Probability: 0.3, Errno: syscall.EIO, Burst: 2},
	{Call: "write", Files: true, Probability: 0.5},
	{Call: "fsync", Files: true, Probability: 0.5, Errno: syscall.EIO, Burst: 2},
}

// wallOffsetSeconds are the offsets of Unix time that stepWallClock chooses from.
var wallOffsetSeconds = []int64{-3600, -60, -5, -1, 1, 5, 60, 3600}

// setFaults sends a plan to the fault layer and records it. A process that is paused or has
// exited does not accept a plan.
func (inj *faultInjector) setFaults(plan FaultPlan) {
	if inj.node.SetFaults(plan) == nil {
		inj.record(SystemFault)
	}
}

// failSystemCalls makes some system calls fail for a while.
func failSystemCalls(ctx context.Context, inj *faultInjector, rng *rand.Rand) {
	plan := FaultPlan{Seed: rng.Uint64(), WallSeconds: inj.wallSeconds}
	for range 1 + rng.IntN(4) {
		rule := systemFaults[rng.IntN(len(systemFaults))]
		// At most one rule for each call: with several, the call would hardly ever succeed.
		if !slices.ContainsFunc(plan.Rules, func(r FaultRule) bool { return r.Call == rule.Call }) {
			plan.Rules = append(plan.Rules, rule)
		}
	}
	if inj.node.DurableKeys && rng.IntN(2) == 0 {
		plan.Rules = append(plan.Rules, diskFaults[rng.IntN(len(diskFaults))])
	}
	inj.setFaults(plan)
	sleep(ctx, randomDuration(rng, 200*time.Millisecond, 3*time.Second))
	inj.setFaults(FaultPlan{WallSeconds: inj.wallSeconds})
}

// stepWallClock changes the offset of the process's Unix time.
func stepWallClock(_ context.Context, inj *faultInjector, rng *rand.Rand) {
	inj.wallSeconds = wallOffsetSeconds[rng.IntN(len(wallOffsetSeconds))]
	inj.setFaults(FaultPlan{WallSeconds: inj.wallSeconds})
}
