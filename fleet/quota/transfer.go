package quota

import (
	"maps"
	"math/rand/v2"
	"slices"
)

const (
	// maxTransferPartners is the maximum number of members to which one incarnation
	// transfers rights. It bounds the size of its MemberState.
	maxTransferPartners = 256
	// RequestFanout is the number of members to which a TransferRequest is sent. Each
	// of them sends at most 1/RequestFanout of the requested amount, rounded up.
	RequestFanout = 3
)

// Transfer is a delta with the total of rights that its sender has sent to one
// recipient. If it is lost, the recipient gets the total from the sender's complete
// MemberState later.
type Transfer struct {
	To    ID // the recipient
	Delta Delta
}

// TransferRequest asks RequestFanout other members for rights. It is not forwarded
// and its recipients are drawn for each request, so the cost of a transfer does not
// grow with the fleet. It is an array in CBOR: the order of the fields is part of the
// format.
type TransferRequest struct {
	_       struct{} `cbor:",toarray"`
	From    ID
	Amount  uint64  // rights that the requester lacks
	Account Account // of the requester, so that a recipient without this account may send rights
}

// HandleRequest records another member's request. The request expires at the next
// Tick.
func (m *Member) HandleRequest(r TransferRequest) {
	if r.From == m.id {
		return
	}
	m.Merge(Delta{ID: r.From, Account: &r.Account})
	m.requests[r.From] = r.Amount
}

// requestTransfer returns the request for the member's shortfall and up to
// RequestFanout-1 members with a known surplus as recipients. The caller draws the
// remaining recipients from all members, so that unknown surpluses are found too.
func (m *Member) requestTransfer(shortfall uint64) (*TransferRequest, []ID) {
	account := m.state.Accounts[m.id]
	if shortfall == 0 || !account.isAllocated() {
		return nil, nil
	}
	var recipients []ID
	for len(recipients) < RequestFanout-1 && m.surplusPeers.len() > 0 {
		recipients = append(recipients, m.surplusPeers.draw(m.rng))
	}
	return &TransferRequest{From: m.id, Amount: shortfall, Account: *account}, recipients
}

// transferSurplus transfers surplus rights to the members that requested rights, in
// random order, and returns the remaining surplus.
func (m *Member) transferSurplus(surplus uint64) (transfers []Transfer, remaining uint64) {
	if surplus == 0 || len(m.requests) == 0 {
		return nil, surplus
	}
	recipients := slices.SortedFunc(maps.Keys(m.requests), compareIDs) // sorted, so that a seed determines the order
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

// mayTransferTo reports whether the member may transfer rights to the recipient. The
// recipient needs an account, because Reclaim requires the recipient's transfer report
// once this member is fenced.
func (m *Member) mayTransferTo(recipient ID) bool {
	account := m.state.Accounts[recipient]
	if !account.isAllocated() || account.Fenced {
		return false
	}
	_, partner := m.own.Transferred[recipient]
	return partner || len(m.own.Transferred) < maxTransferPartners
}

// isAllocated reports whether the allocator has created the account; a may be nil. An
// account that carries only an acknowledgement has no log index.
func (a *Account) isAllocated() bool { return a != nil && a.LogIndex > 0 }

func (m *Member) transfer(recipient ID, amount uint64) Transfer {
	m.own.Transferred = cloneMap(m.own.Transferred)
	m.own.Transferred[recipient] += amount
	m.rightsStale = true
	total := MemberState{Transferred: map[ID]uint64{recipient: m.own.Transferred[recipient]}}
	return Transfer{To: recipient, Delta: Delta{ID: m.id, MemberState: &total}}
}

// reportTransfers publishes the final transfer report on a fenced member. Later
// transfers from that member don't count any more.
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

// idSet is a set of IDs from which random IDs are drawn. The same seed draws the same
// IDs.
type idSet struct {
	ids      []ID
	position map[ID]int // in ids
}

func newIDSet() idSet { return idSet{position: map[ID]int{}} }

func (s *idSet) len() int { return len(s.ids) }

// set adds an ID if present is true, and removes it otherwise.
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

// draw removes a random ID and returns it. The set must not be empty.
func (s *idSet) draw(rng *rand.Rand) ID {
	id := s.ids[rng.IntN(len(s.ids))]
	s.remove(id)
	return id
}
