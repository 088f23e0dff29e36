package fleet

import (
	mathrand "math/rand/v2"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"quincerail.example/quincerail/fleet/quota"
)

// stateDeltas returns a state as the deltas that it consists of.
func stateDeltas(state quota.State) (deltas []quota.Delta) {
	for id, member := range state.Members {
		deltas = append(deltas, quota.Delta{ID: id, MemberState: member})
	}
	for id, account := range state.Accounts {
		deltas = append(deltas, quota.Delta{ID: id, Account: account})
	}
	return deltas
}

// mergeUpdate merges an encoded delta, and returns its topic and whether it was new.
func (a *QuotaAgent) mergeUpdate(update []byte) (topic string, isNew bool) {
	delta, ok := decodeUpdate[quota.Delta](a.log, update)
	if !ok {
		return "", false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	_, isNew = a.member.Merge(delta)
	return a.updateName(delta), isNew
}

// handleRequest takes another member's request for rights.
func (a *QuotaAgent) handleRequest(message []byte) {
	request, ok := decodeUpdate[quota.TransferRequest](a.log, message)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.member.HandleRequest(request)
}

// updateName returns an update's topic: a later update of the topic replaces it.
func (a *QuotaAgent) updateName(delta quota.Delta) string {
	if delta.MemberState != nil {
		return a.kind + " row " + delta.ID.String()
	}
	return a.kind + " account " + delta.ID.String()
}

// encodedUpdates returns all that is known, for members that join.
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

// encodeUpdate encodes a delta as an update; nil where that fails, which is logged.
func (a *QuotaAgent) encodeUpdate(delta quota.Delta) []byte {
	body, err := cbor.Marshal(delta)
	if err != nil {
		a.log.Error(eventQuotaEncodeFailed, "error", err.Error())
		return nil
	}
	return append([]byte{a.updateKind}, body...)
}

// sendHeartbeat spreads the member's own state, if there is news of it. It goes to
// the voters directly too, so that the allocator's leader has it soon.
func (a *QuotaAgent) sendHeartbeat(state *quota.Delta) {
	if state == nil {
		return
	}
	update := a.encodeUpdate(*state)
	if update == nil {
		return
	}
	a.broadcast(a.updateName(*state), update)
	for _, voter := range a.voters() {
		if voter != a.name {
			a.send(voter, update)
		}
	}
}

// requestTransfer sends a request for rights to some members: those that the member
// named, and the rest drawn.
func (a *QuotaAgent) requestTransfer(request quota.TransferRequest, named []quota.ID) {
	body, err := cbor.Marshal(request)
	if err != nil {
		a.log.Error(eventQuotaEncodeFailed, "error", err.Error())
		return
	}
	others := slices.DeleteFunc(a.alive(), func(name string) bool { return name == a.name })
	for n := range min(quota.RequestFanout, len(others)) {
		i := mathrand.IntN(len(others))
		if n < len(named) {
			if i = slices.Index(others, named[n].Member); i < 0 {
				continue
			}
		}
		a.send(others[i], append([]byte{a.requestKind}, body...))
		others = slices.Delete(others, i, i+1)
	}
}

// sendToOwners sends each delta to the member that it is about.
func (a *QuotaAgent) sendToOwners(deltas []quota.Delta) {
	for _, delta := range deltas {
		if update := a.encodeUpdate(delta); update != nil && delta.ID.Member != a.name {
			a.send(delta.ID.Member, update)
		}
	}
}

// broadcastAll spreads deltas to all members.
func (a *QuotaAgent) broadcastAll(deltas []quota.Delta) {
	for _, delta := range deltas {
		if update := a.encodeUpdate(delta); update != nil {
			a.broadcast(a.updateName(delta), update)
		}
	}
}
