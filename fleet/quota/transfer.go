package quota

import (
	"maps"
	"math/rand/v2"
	"slices"
)

const (
	// maxTransferPartners is how many members one incarnation transfers rights to,
	// at most: it bounds the size of its MemberState.
	maxTransferPartners = 256
	// RequestFanout is how many members a TransferRequest goes to; each sends one
	// part in so many of the requested amount, at most.
	RequestFanout = 3
)

// Transfer is the part of a sender's MemberState that has its total for one
// recipient. If it is lost, the recipient learns the total from the whole state
// later.
type Transfer struct {
	To    ID
	Delta Delta
}

// TransferRequest asks RequestFanout other members for rights. The recipients
// are drawn anew each time, so the cost of a transfer does not grow with the
// fleet. It is not forwarded. In CBOR it is an array, so the order of the fields
// is part of the format.
type TransferRequest struct {
	_       struct{} `cbor:",toarray"`
	From    ID
	Amount  uint64
	Account Account // of the requester, so that a member that has not heard of it may send rights
}

// HandleRequest takes in another member's request. It holds until the next tick.
func (m *Member) HandleRequest(r TransferRequest) {
	if r.From == m.id {
		return
	}
	m.Merge(Delta{ID: r.From, Account: &r.Account})
	m.requests[r.From] = r.Amount
}

// requestTransfer returns the request for what the member lacks, and the members
// with a surplus to send it to. The remaining recipient is drawn from all, so that
// a surplus nobody has heard of is found too.
func (m *Member) requestTransfer(shortfall uint64) (*TransferRequest, []ID) {
	account := m.state.Accounts[m.id]
	if shortfall == 0 || !account.known() {
		return nil, nil
	}
	var recipients []ID
	for len(recipients) < RequestFanout-1 && m.surplusPeers.len() > 0 {
		recipients = append(recipients, m.surplusPeers.draw(m.rng))
	}
	return &TransferRequest{From: m.id, Amount: shortfall, Account: *account}, recipients
}

// transferSurplus sends surplus rights to the members that requested some, in
// random order, and returns what remains.
func (m *Member) transferSurplus(surplus uint64) (transfers []Transfer, remaining uint64) {
	if surplus == 0 || len(m.requests) == 0 {
		return nil, surplus
	}
	recipients := slices.SortedFunc(maps.Keys(m.requests), compareIDs) // sorted, so that a seed gives one order
	m.rng.Shuffle(len(recipients), func(i, j int) { recipients[i], recipients[j] = recipients[j], recipients[i] })
	for _, recipient := range recipients {
		if surplus == 0 {
			break
		}
		if !m.mayTransferTo(recipient) {
			continue
		}
		amount := min(surplus, (m.requests[recipient]+RequestFanout-1)/RequestFanout)
		surplus -= amount
		transfers = append(transfers, m.transfer(recipient, amount))
	}
	return transfers, surplus
}

// mayTransferTo reports whether the member may send rights to another: one that
// the allocator knows, as it must ask for a report on it when this one is fenced.
func (m *Member) mayTransferTo(recipient ID) bool {
	account := m.state.Accounts[recipient]
	if !account.known() || account.Fenced {
		return false
	}
	_, partner := m.own.Transferred[recipient]
	return partner || len(m.own.Transferred) < maxTransferPartners
}

// known reports whether the allocator has an account; a may be nil. One that only
// carries an acknowledgement has no log index.
func (a *Account) known() bool { return a != nil && a.LogIndex > 0 }

func (m *Member) transfer(recipient ID, amount uint64) Transfer {
	m.own.Transferred = cloneMap(m.own.Transferred)
	m.own.Transferred[recipient] += amount
	m.rightsStale = true
	total := MemberState{Transferred: map[ID]uint64{recipient: m.own.Transferred[recipient]}}
	return Transfer{To: recipient, Delta: Delta{ID: m.id, MemberState: &total}}
}

// reportTransfers states what the member received from one that was fenced and
// sent it. From now on it receives nothing more from it.
func (m *Member) reportTransfers(fenced ID) {
	_, reported := m.own.TransferReports[fenced]
	if reported || m.state.Accounts[fenced].Reclaimed {
		return
	}
	report := TransferReport{
		Received: m.state.Members[fenced].transferredTo(m.id),
		Sent:     m.own.Transferred[fenced],
	}
	m.own.TransferReports = cloneMap(m.own.TransferReports)
	m.own.TransferReports[fenced] = report
	m.unpublished, m.rightsStale = true, true
}

// idSet is a set of IDs to draw from. The same seed draws the same IDs.
type idSet struct {
	ids      []ID
	position map[ID]int // in ids
}

func newIDSet() idSet { return idSet{position: map[ID]int{}} }

func (s *idSet) len() int { return len(s.ids) }

// set adds an ID, or removes it.
func (s *idSet) set(id ID, present bool) {
	if present {
		s.add(id)
	} else {
		s.remove(id)
	}
}

func (s *idSet) add(id ID) {
	if _, ok := s.position[id]; ok {
		return
	}
	s.position[id] = len(s.ids)
	s.ids = append(s.ids, id)
}

func (s *idSet) remove(id ID) {
	position, ok := s.position[id]
	if !ok {
		return
	}
	last := s.ids[len(s.ids)-1]
	s.ids[position], s.position[last] = last, position
	s.ids = s.ids[:len(s.ids)-1]
	delete(s.position, id)
}

// draw removes one ID, and returns it.
func (s *idSet) draw(rng *rand.Rand) ID {
	id := s.ids[rng.IntN(len(s.ids))]
	s.remove(id)
	return id
}
