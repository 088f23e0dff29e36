package quota

// Merge takes in a delta, from any member. It returns the part of it to forward
// to others, and whether there is any: heartbeats that are new, and accounts that
// are fenced. Transfers matter to their two members only, and the account of a
// live member is sent to it by the allocator's leader.
func (m *Member) Merge(d Delta) (forward Delta, ok bool) {
	if d.ID == m.id {
		d.MemberState = nil // only this member writes its own state
	}
	before := m.state.Members[d.ID]
	if m.knows(d, before) { // most deltas have arrived before
		return Delta{ID: d.ID}, false
	}
	news, changed := m.state.Join(d)
	if !changed {
		return news, false
	}
	if news.Account != nil || news.MemberState != nil && before.transferredTo(m.id) != news.MemberState.transferredTo(m.id) {
		m.rightsStale = true
	}
	if d.ID == m.id {
		m.ackHeartbeat(news.Account.AckedHeartbeat)
	} else {
		m.observePeer(news, before)
	}
	if news.Account != nil && !news.Account.Fenced {
		news.Account = nil
	}
	if news.MemberState != nil {
		news.MemberState = forwardable(d.MemberState, before)
	}
	return news, news.MemberState != nil || news.Account != nil
}

// knows reports cheaply whether a delta is known, of a member whose known state is
// given and may be nil; it may miss one that is.
func (m *Member) knows(d Delta, known *MemberState) bool {
	if d.MemberState != nil && (known == nil || !known.covers(d.MemberState)) {
		return false
	}
	return d.Account == nil || d.Account == m.state.Accounts[d.ID]
}

// observePeer notes another member's surplus and transfers, and reports the
// transfers with it once it is fenced. Its state before the delta may be nil.
func (m *Member) observePeer(news Delta, before *MemberState) {
	id, account := news.ID, m.state.Accounts[news.ID]
	fenced := account != nil && account.Fenced
	member := m.state.Members[id]
	if member.newerThan(before) {
		m.surplusPeers.set(id, member.Surplus > 0 && !fenced)
	}
	if member.transferredTo(m.id) > before.transferredTo(m.id) {
		m.senders[id] = struct{}{}
		m.surplusPeers.set(id, true)
	}
	if fenced && news.Account != nil {
		m.reportTransfers(id)
	}
}

// forwardable returns the part of a new member state that others need, nil if its
// heartbeat is known.
func forwardable(update, before *MemberState) *MemberState {
	if update.Heartbeat == 0 || before != nil && before.Heartbeat >= update.Heartbeat {
		return nil
	}
	if update.Transferred == nil {
		return update // not copied, so that all who keep it share one
	}
	published := *update
	published.Transferred = nil
	return &published
}
