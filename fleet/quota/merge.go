package quota

// Merge joins a delta from any member into the state. It returns the part of the
// delta to forward to other members, and whether there is any. A member state is
// forwarded if its heartbeat is new, but without its transfers, because these concern
// their sender and recipient only. A changed account is forwarded if it is fenced. The
// account of a live member is not, because the allocator's leader sends it to the
// member itself.
func (m *Member) Merge(d Delta) (forward Delta, ok bool) {
	if d.ID == m.id {
		d.MemberState = nil // only this member writes its own state
	}
	before := m.state.Members[d.ID]
	if m.knows(d, before) { // most deltas have arrived before
		return Delta{ID: d.ID}, false
	}
	added, changed := m.state.Join(d)
	if !changed {
		return added, false
	}
	if added.Account != nil || added.MemberState != nil && before.transferredTo(m.id) != added.MemberState.transferredTo(m.id) {
		m.rightsStale = true
	}
	if d.ID == m.id {
		m.ackHeartbeat(added.Account.AckedHeartbeat)
	} else {
		m.observePeer(added, before)
	}
	if added.Account != nil && !added.Account.Fenced {
		added.Account = nil
	}
	if added.MemberState != nil {
		added.MemberState = forwardable(d.MemberState, before)
	}
	return added, added.MemberState != nil || added.Account != nil
}

// knows reports whether a delta contains nothing new, given the known state of its
// member, which may be nil. It is a cheap check that may return false for a known
// delta.
func (m *Member) knows(d Delta, known *MemberState) bool {
	if d.MemberState != nil && (known == nil || !known.covers(d.MemberState)) {
		return false
	}
	return d.Account == nil || d.Account == m.state.Accounts[d.ID]
}

// observePeer records another member's surplus and transfers, and publishes a
// transfer report on the member once it is fenced. before is the member's state
// before the delta and may be nil.
func (m *Member) observePeer(added Delta, before *MemberState) {
	id, account := added.ID, m.state.Accounts[added.ID]
	fenced := account != nil && account.Fenced
	member := m.state.Members[id]
	if member.newerThan(before) {
		m.surplusPeers.set(id, member.Surplus > 0 && !fenced)
	}
	if member.transferredTo(m.id) > before.transferredTo(m.id) {
		m.rightsSenders[id] = struct{}{}
		m.surplusPeers.set(id, true)
	}
	if fenced && added.Account != nil {
		m.reportTransfers(id)
	}
}

// forwardable returns the part of a member state update that other members need,
// nil if its heartbeat is already known.
func forwardable(update, before *MemberState) *MemberState {
	if update.Heartbeat == 0 || before != nil && before.Heartbeat >= update.Heartbeat {
		return nil
	}
	if update.Transferred == nil {
		return update // not copied, so that all states share one value
	}
	published := *update
	published.Transferred = nil
	return &published
}
