package quota

import (
	"maps"
	"slices"
	"time"
)

// AllocatorLeader decides the allocator's commands. Only the owner of the allocator's
// lease runs one, and only while it holds the lease. It creates a new one each time it
// acquires the lease, and proposes the commands with the lease's fencing token.
//
// Heartbeats that an earlier leader acknowledged were sent before this leader's
// election. So the leader waits a complete session timeout after its election before it
// fences any member.
type AllocatorLeader struct {
	timing    Timing
	capacity  uint64 // the budget
	electedAt time.Duration
	lastSeen  map[ID]seenHeartbeat // latest heartbeat of each member
}

type seenHeartbeat struct {
	heartbeat uint64
	at        time.Duration
}

// NewAllocatorLeader returns a leader that was elected at the time now.
func NewAllocatorLeader(capacity uint64, timing Timing, now time.Duration) *AllocatorLeader {
	return &AllocatorLeader{timing: timing, capacity: capacity, electedAt: now, lastSeen: map[ID]seenHeartbeat{}}
}

// Tick returns the commands to propose to the log, and the acknowledgements to send,
// each to the member that the delta's ID names. It returns a rejected or lost command
// again as long as the command is needed.
func (l *AllocatorLeader) Tick(now time.Duration, s State, a *Allocator) (commands []Command, acks []Delta) {
	unfenced, acks := l.acknowledge(now, s, a)
	commands = l.grants(now, unfenced, s, a)
	fenced, live := a.fencedAndLive()
	for _, id := range live {
		seen, ok := l.lastSeen[id]
		if !ok {
			seen.at = l.electedAt
		}
		if now-seen.at >= l.timing.fencingTimeout() {
			commands = append(commands, Command{Kind: Fence, Target: id})
		}
	}
	if reports, complete := collectReports(s, fenced, live); complete {
		commands = append(commands, Command{Kind: Reclaim, Reports: reports})
	}
	return commands, acks
}

// acknowledge records the new heartbeats. It returns the members that are not fenced,
// with or without an account, sorted by ID, and the acknowledgements.
func (l *AllocatorLeader) acknowledge(now time.Duration, s State, a *Allocator) (unfenced []ID, acks []Delta) {
	for _, id := range slices.SortedFunc(maps.Keys(s.Members), compareIDs) {
		member, known := s.Members[id], a.Accounts[id]
		if known != nil && known.Fenced {
			continue
		}
		unfenced = append(unfenced, id)
		if seen, ok := l.lastSeen[id]; ok && member.Heartbeat <= seen.heartbeat {
			continue
		}
		l.lastSeen[id] = seenHeartbeat{heartbeat: member.Heartbeat, at: now}
		account := Account{}
		if known != nil { // sent with each acknowledgement, because an earlier one may have been lost
			account = *known
		}
		account.AckedHeartbeat = member.Heartbeat
		acks = append(acks, Delta{ID: id, Account: &account})
	}
	return unfenced, acks
}

// grants grants free rights to members without an account. If all members have an
// account, it grants them to the members with a shortfall. It grants nothing during
// the first heartbeat interval after the election, in which the leader learns the
// members from their heartbeats.
func (l *AllocatorLeader) grants(now time.Duration, unfenced []ID, s State, a *Allocator) []Command {
	if now-l.electedAt < l.timing.HeartbeatInterval {
		return nil
	}
	var newMembers []ID
	for _, id := range unfenced {
		if a.Accounts[id] == nil {
			newMembers = append(newMembers, id)
		}
	}
	if len(newMembers) == 0 {
		return grantsByShortfall(unfenced, s, a.Free)
	}
	fairShare := max(1, l.capacity/uint64(len(unfenced)))
	return initialGrants(newMembers, fairShare, a.Free)
}

// initialGrants creates an account for each new member, with its fair share or the
// free rights that remain. An account without rights is useful too: other members may
// transfer rights to it.
func initialGrants(newMembers []ID, fairShare, free uint64) []Command {
	var commands []Command
	for _, id := range newMembers {
		amount := min(fairShare, free)
		commands = append(commands, Command{Kind: Grant, Target: id, Amount: amount})
		free -= amount
	}
	return commands
}

// grantsByShortfall divides the free rights in proportion to the members' shortfalls.
func grantsByShortfall(unfenced []ID, s State, free uint64) []Command {
	var total uint64
	for _, id := range unfenced {
		total += s.Members[id].Shortfall
	}
	var commands []Command
	remaining := free
	for _, id := range unfenced {
		shortfall := s.Members[id].Shortfall
		if shortfall == 0 || remaining == 0 {
			continue
		}
		amount := min(remaining, max(1, free*shortfall/total))
		commands = append(commands, Command{Kind: Grant, Target: id, Amount: amount})
		remaining -= amount
	}
	return commands
}

// collectReports returns the transfer reports for Command.Reports, by fenced member and
// then by live member. complete is true if there is a fenced member and every live member
// has reported on each fenced one. If a report is missing, the map is nil.
func collectReports(s State, fenced, live []ID) (reports map[ID]map[ID]TransferReport, complete bool) {
	reports = map[ID]map[ID]TransferReport{}
	for _, id := range fenced {
		reports[id] = map[ID]TransferReport{}
		for _, reporter := range live {
			member := s.Members[reporter]
			if member == nil {
				return nil, false
			}
			report, ok := member.TransferReports[id]
			if !ok {
				return nil, false
			}
			reports[id][reporter] = report
		}
	}
	return reports, len(fenced) > 0
}
