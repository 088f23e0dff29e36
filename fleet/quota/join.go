package quota

import "maps"

// Join takes a delta in. It returns the part of it that was new, as it stands
// after joining, and whether any was.
func (s State) Join(d Delta) (news Delta, changed bool) {
	news = Delta{ID: d.ID, MemberState: s.joinMemberState(d.ID, d.MemberState), Account: s.joinAccount(d.ID, d.Account)}
	return news, news.MemberState != nil || news.Account != nil
}

// joinMemberState returns the member's new state, nil if it has not changed.
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

// joinAccount returns the member's new account, nil if it has not changed.
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

// Join returns the least state that is no older than either.
func (s MemberState) Join(other MemberState) MemberState {
	if s.Heartbeat < other.Heartbeat {
		s, other = other, s
	}
	if s.Heartbeat == other.Heartbeat { // the same heartbeat, or a fault of its writer
		s.Surplus = max(s.Surplus, other.Surplus)
		s.Shortfall = max(s.Shortfall, other.Shortfall)
	}
	s.TransferReports = joinMaps(s.TransferReports, other.TransferReports, joinReports)
	s.Transferred = joinMaps(s.Transferred, other.Transferred, joinMax[uint64])
	s.Counters = joinMaps(s.Counters, other.Counters, joinCounters)
	return s
}

// covers reports whether joining the other state would change nothing.
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

// Join returns the account as of the later log entry, with the higher
// acknowledgement, which does not go through the log.
func (a Account) Join(other Account) Account {
	acked := max(a.AckedHeartbeat, other.AckedHeartbeat)
	if a.LogIndex < other.LogIndex {
		a, other = other, a
	}
	if a.LogIndex == other.LogIndex { // the same entry, or a fault of its writer
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

// joinMaps joins two maps key by key. It returns a itself if b adds nothing, and
// else a copy. The function joins two values and reports whether the result
// differs from the first.
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

// coversMap reports whether each value of b is covered by that of a.
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

// cloneMap returns a copy that can be written into, also of a nil map.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}
