package quota

import (
	"maps"
	"slices"
	"time"
)

// AllocatorLeader decides the allocator's commands. Only the owner of the
// allocator's lease runs one, made anew each time it acquires the lease, and only
// while it holds the lease; the commands go under the lease's fencing token.
//
// Heartbeats that an earlier leader acknowledged were sent before this one was
// elected, so it gives each member a whole SessionTimeout from its election.
type AllocatorLeader struct {
	timing    Timing
	capacity  uint64
	electedAt time.Duration
	lastSeen  map[ID]seenHeartbeat
}

type seenHeartbeat struct {
	heartbeat uint64
	at        time.Duration
}

// NewAllocatorLeader returns the leader elected at a time.
func NewAllocatorLeader(capacity uint64, timing Timing, now time.Duration) *AllocatorLeader {
	return &AllocatorLeader{timing: timing, capacity: capacity, electedAt: now, lastSeen: map[ID]seenHeartbeat{}}
}

// Tick returns the commands to propose to the log, and the acknowledgements, each
// to be sent to the member it is of. Commands that are refused or lost are
// returned again while they are called for.
func (l *AllocatorLeader) Tick(now time.Duration, s State, a *Allocator) (commands []Command, acks []Delta) {
	live, acks := l.acknowledge(now, s, a)
	commands = l.grants(now, live, s, a)
	fenced, open := a.fencedAndLive()
	for _, id := range open {
		seen, ok := l.lastSeen[id]
		if !ok {
			seen.at = l.electedAt
		}
		if now-seen.at >= l.timing.fencingTimeout() {
			commands = append(commands, Command{Kind: Fence, Target: id})
		}
	}
	if reports, complete := collectReports(s, fenced, open); complete {
		commands = append(commands, Command{Kind: Reclaim, Reports: reports})
	}
	return commands, acks
}

// acknowledge notes the heartbeats that are new. It returns the members that are
// not fenced, in order, and the acknowledgements.
func (l *AllocatorLeader) acknowledge(now time.Duration, s State, a *Allocator) (live []ID, acks []Delta) {
	for _, id := range slices.SortedFunc(maps.Keys(s.Members), compareIDs) {
		member, known := s.Members[id], a.Accounts[id]
		if known != nil && known.Fenced {
			continue
		}
		live = append(live, id)
		if seen, ok := l.lastSeen[id]; ok && member.Heartbeat <= seen.heartbeat {
			continue
		}
		l.lastSeen[id] = seenHeartbeat{heartbeat: member.Heartbeat, at: now}
		account := Account{}
		if known != nil { // sent with each acknowledgement, as an earlier one may have been lost
			account = *known
		}
		account.AckedHeartbeat = member.Heartbeat
		acks = append(acks, Delta{ID: id, Account: &account})
	}
	return live, acks
}

// grants gives free rights first to members without an account, and once there
// are none of these to those that lack rights. Nothing is granted until the
// leader has had a heartbeat's time to learn which members there are.
func (l *AllocatorLeader) grants(now time.Duration, live []ID, s State, a *Allocator) []Command {
	if now-l.electedAt < l.timing.HeartbeatInterval {
		return nil
	}
	var newcomers []ID
	for _, id := range live {
		if a.Accounts[id] == nil {
			newcomers = append(newcomers, id)
		}
	}
	if len(newcomers) == 0 {
		return grantsByShortfall(live, s, a.Free)
	}
	fairShare := max(1, l.capacity/uint64(len(live)))
	return initialGrants(newcomers, fairShare, a.Free)
}

// initialGrants opens an account for each newcomer, so that others may transfer
// rights to it, also when none are free.
func initialGrants(newcomers []ID, fairShare, free uint64) []Command {
	var commands []Command
	for _, id := range newcomers {
		amount := min(fairShare, free)
		commands = append(commands, Command{Kind: Grant, Target: id, Amount: amount})
		free -= amount
	}
	return commands
}

// grantsByShortfall divides the free rights in proportion to what members lack.
func grantsByShortfall(live []ID, s State, free uint64) []Command {
	var total uint64
	for _, id := range live {
		total += s.Members[id].Shortfall
	}
	var commands []Command
	left := free
	for _, id := range live {
		shortfall := s.Members[id].Shortfall
		if shortfall == 0 || left == 0 {
			continue
		}
		amount := min(left, max(1, free*shortfall/total))
		commands = append(commands, Command{Kind: Grant, Target: id, Amount: amount})
		left -= amount
	}
	return commands
}

// collectReports returns what live members reported on their transfers with each
// fenced one, for Reclaim. They are complete once each reported on each.
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
