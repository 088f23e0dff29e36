package quota

import "maps"

// Join joins a delta into s. It returns the entries that changed, with their values
// after the join, and whether any entry changed.
func (s State) Join(d Delta) (added Delta, changed bool) {
	added = Delta{ID: d.ID, MemberState: s.joinMemberState(d.ID, d.MemberState), Account: s.joinAccount(d.ID, d.Account)}
	return added, added.MemberState != nil || added.Account != nil
}

// joinMemberState returns the joined member state, nil if it has not changed.
func (s State) joinMemberState(id ID, update *MemberState) *MemberState {
	if update == nil {
		return nil
	}
	if known := s.Members[id]; known != nil {
		if known.covers(update) {
			return nil
		}
		if !update.covers(known) {
			joined := known.Join(*update)
			update = &joined
		}
	}
	s.Members[id] = update
	return update
}

// joinAccount returns the joined account, nil if it has not changed.
func (s State) joinAccount(id ID, update *Account) *Account {
	if update == nil {
		return nil
	}
	if known := s.Accounts[id]; known != nil {
		joined := known.Join(*update)
		if joined.equal(known) {
			return nil
		}
		update = &joined
	}
	s.Accounts[id] = update
	return update
}

// Join returns the least upper bound of the two states.
func (s MemberState) Join(other MemberState) MemberState {
	if s.Heartbeat < other.Heartbeat {
		s, other = other, s
	}
	if s.Heartbeat == other.Heartbeat { // differs only if the writer is faulty
		s.Surplus = max(s.Surplus, other.Surplus)
		s.Shortfall = max(s.Shortfall, other.Shortfall)
	}
	s.TransferReports = joinMaps(s.TransferReports, other.TransferReports, joinReports)
	s.Transferred = joinMaps(s.Transferred, other.Transferred, joinMax[uint64])
	s.Counters = joinMaps(s.Counters, other.Counters, joinCounters)
	return s
}

// covers reports whether joining other into s would change nothing.
func (s *MemberState) covers(other *MemberState) bool {
	if s == other {
		return true
	}
	if s.Heartbeat < other.Heartbeat {
		return false
	}
	if s.Heartbeat == other.Heartbeat && (s.Surplus < other.Surplus || s.Shortfall < other.Shortfall) {
		return false
	}
	return coversMap(s.TransferReports, other.TransferReports, TransferReport.covers) &&
		coversMap(s.Transferred, other.Transferred, func(a, b uint64) bool { return a >= b }) &&
		coversMap(s.Counters, other.Counters, PNCounter.covers)
}

func (r TransferReport) covers(other TransferReport) bool {
	return r.Received >= other.Received && r.Sent >= other.Sent
}

func (c PNCounter) covers(other PNCounter) bool {
	return c.Increments >= other.Increments && c.Decrements >= other.Decrements
}

// Join returns the account of the later log entry, with the higher acknowledged
// heartbeat. Acknowledgements are not part of the log.
func (a Account) Join(other Account) Account {
	acked := max(a.AckedHeartbeat, other.AckedHeartbeat)
	if a.LogIndex < other.LogIndex {
		a, other = other, a
	}
	if a.LogIndex == other.LogIndex { // differs only if the writer is faulty
		a.Granted = max(a.Granted, other.Granted)
		a.Fenced = a.Fenced || other.Fenced
		a.Reclaimed = a.Reclaimed || other.Reclaimed
		a.SettledTransfers = joinMaps(a.SettledTransfers, other.SettledTransfers, joinMax[int64])
	}
	a.AckedHeartbeat = acked
	return a
}

func (a *Account) equal(other *Account) bool {
	return a.LogIndex == other.LogIndex && a.Granted == other.Granted && a.Fenced == other.Fenced &&
		a.Reclaimed == other.Reclaimed && a.AckedHeartbeat == other.AckedHeartbeat &&
		maps.Equal(a.SettledTransfers, other.SettledTransfers)
}

// joinMaps joins two maps key by key. It returns a itself if b adds nothing, and a
// copy otherwise. join returns the join of two values and whether it differs from the
// first value.
func joinMaps[K comparable, V any](a, b map[K]V, join func(x, y V) (V, bool)) map[K]V {
	joined, copied := a, false
	for key, value := range b {
		if known, ok := a[key]; ok {
			var changed bool
			if value, changed = join(known, value); !changed {
				continue
			}
		}
		if !copied {
			joined, copied = cloneMap(a), true
		}
		joined[key] = value
	}
	return joined
}

// coversMap reports whether a covers b: for each key of b, a has a value that covers
// b's value.
func coversMap[K comparable, V any](a, b map[K]V, covers func(x, y V) bool) bool {
	for key, value := range b {
		if known, ok := a[key]; !ok || !covers(known, value) {
			return false
		}
	}
	return true
}

func joinMax[T uint64 | int64](x, y T) (T, bool) { return max(x, y), y > x }

func joinCounters(x, y PNCounter) (PNCounter, bool) {
	joined := PNCounter{max(x.Increments, y.Increments), max(x.Decrements, y.Decrements)}
	return joined, joined != x
}

func joinReports(x, y TransferReport) (TransferReport, bool) {
	joined := TransferReport{max(x.Received, y.Received), max(x.Sent, y.Sent)}
	return joined, joined != x
}

// cloneMap returns a copy of m that can be written to, even if m is nil.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}
