package fleet

import (
	mathrand "math/rand/v2"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"quincerail.example/quincerail/fleet/quota"
)

// stateDeltas splits a state into one delta for each member state and each account.
func stateDeltas(state quota.State) (deltas []quota.Delta) {
	for id, member := range state.Members {
		deltas = append(deltas, quota.Delta{ID: id, MemberState: member})
	}
	for id, account := range state.Accounts {
		deltas = append(deltas, quota.Delta{ID: id, Account: account})
	}
	return deltas
}

// mergeUpdate merges an encoded delta. It returns the update's topic, and reports the
// update as new if quota.Member.Merge returned a part to forward.
func (a *QuotaAgent) mergeUpdate(update []byte) (topic string, isNew bool) {
	delta, ok := decodeUpdate[quota.Delta](a.log, update)
	if !ok {
		return "", false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	_, isNew = a.member.Merge(delta)
	return a.updateTopic(delta), isNew
}

// handleRequest passes another member's encoded transfer request to this member.
func (a *QuotaAgent) handleRequest(message []byte) {
	request, ok := decodeUpdate[quota.TransferRequest](a.log, message)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.member.HandleRequest(request)
}

// updateTopic returns the gossip topic of a delta. A later update of the same topic
// replaces an earlier one.
func (a *QuotaAgent) updateTopic(delta quota.Delta) string {
	if delta.MemberState != nil {
		return a.quotaName + " row " + delta.ID.String()
	}
	return a.quotaName + " account " + delta.ID.String()
}

// encodedUpdates returns the whole known state as encoded updates.
func (a *QuotaAgent) encodedUpdates() (updates [][]byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, delta := range stateDeltas(a.member.State()) {
		if update := a.encodeUpdate(delta); update != nil {
			updates = append(updates, update)
		}
	}
	return updates
}

// encodeUpdate encodes a delta as an update. If that fails, it logs the error and
// returns nil.
func (a *QuotaAgent) encodeUpdate(delta quota.Delta) []byte {
	body, err := cbor.Marshal(delta)
	if err != nil {
		a.log.Error(eventQuotaEncodeFailed, "error", err.Error())
		return nil
	}
	return append([]byte{a.updateKind}, body...)
}

// sendHeartbeat broadcasts the member's own state unless state is nil. It also sends
// the state directly to the voters, so that the allocator's leader receives it
// without gossip's delay.
func (a *QuotaAgent) sendHeartbeat(state *quota.Delta) {
	if state == nil {
		return
	}
	update := a.encodeUpdate(*state)
	if update == nil {
		return
	}
	a.broadcast(a.updateTopic(*state), update)
	for _, voter := range a.aliveVoters() {
		if voter != a.memberName {
			a.send(voter, update)
		}
	}
}

// requestTransfer sends a request for rights to at most quota.RequestFanout other
// live members: those in preferred first, then random ones. It skips preferred
// members that are not alive.
func (a *QuotaAgent) requestTransfer(request quota.TransferRequest, preferred []quota.ID) {
	body, err := cbor.Marshal(request)
	if err != nil {
		a.log.Error(eventQuotaEncodeFailed, "error", err.Error())
		return
	}
	others := slices.DeleteFunc(a.aliveMembers(), func(name string) bool { return name == a.memberName })
	for n := range min(quota.RequestFanout, len(others)) {
		i := mathrand.IntN(len(others))
		if n < len(preferred) {
			if i = slices.Index(others, preferred[n].Member); i < 0 {
				continue
			}
		}
		a.send(others[i], append([]byte{a.requestKind}, body...))
		others = slices.Delete(others, i, i+1)
	}
}

// sendToOwners sends each delta to the member whose state or account it is, except to
// this member.
func (a *QuotaAgent) sendToOwners(deltas []quota.Delta) {
	for _, delta := range deltas {
		if update := a.encodeUpdate(delta); update != nil && delta.ID.Member != a.memberName {
			a.send(delta.ID.Member, update)
		}
	}
}

// broadcastAll broadcasts each delta to all members.
func (a *QuotaAgent) broadcastAll(deltas []quota.Delta) {
	for _, delta := range deltas {
		if update := a.encodeUpdate(delta); update != nil {
			a.broadcast(a.updateTopic(delta), update)
		}
	}
}
