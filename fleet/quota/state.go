package quota

// PNCounter is one member's part of a counter that goes up and down. Both fields
// only grow.
type PNCounter struct {
	Increments uint64 `cbor:"1,keyasint,omitempty"`
	Decrements uint64 `cbor:"2,keyasint,omitempty"`
}

// TransferReport is a member's final account of its transfers with one that was
// fenced. It is sent in CBOR, and stored in the fleet's log in JSON: the tags are
// the formats.
type TransferReport struct {
	Received uint64 `cbor:"1,keyasint,omitempty" json:"In"`  // rights received from the fenced member
	Sent     uint64 `cbor:"2,keyasint,omitempty" json:"Out"` // rights sent to it
}

func (r TransferReport) net() int64 { return int64(r.Received) - int64(r.Sent) }

// MemberState is what one incarnation of a member publishes of itself; nobody
// else writes it. It may arrive in parts: fields that only grow are joined by
// their maximum, Surplus and Shortfall are those of the latest heartbeat. A
// MemberState is not changed once it is part of a State.
type MemberState struct {
	Heartbeat       uint64                `cbor:"1,keyasint"`           // sequence number, grows with each change
	Surplus         uint64                `cbor:"2,keyasint,omitempty"` // rights it could transfer to others
	Shortfall       uint64                `cbor:"3,keyasint,omitempty"` // rights it lacks
	Transferred     map[ID]uint64         `cbor:"4,keyasint,omitempty"` // rights sent to each member in all
	TransferReports map[ID]TransferReport `cbor:"5,keyasint,omitempty"` // on members that were fenced
	Counters        map[string]PNCounter  `cbor:"6,keyasint,omitempty"`
}

// transferredTo returns the rights sent to a member; s may be nil.
func (s *MemberState) transferredTo(id ID) uint64 {
	if s == nil {
		return 0
	}
	return s.Transferred[id]
}

// newerThan reports whether s has a later heartbeat; either may be nil.
func (s *MemberState) newerThan(other *MemberState) bool {
	return s != nil && (other == nil || s.Heartbeat > other.Heartbeat)
}

// Account is what the allocator decided about one incarnation of a member. It is
// sent in CBOR, and stored in the snapshots of the fleet's log in JSON: the tags are
// the formats.
type Account struct {
	LogIndex         uint64       `cbor:"1,keyasint,omitempty" json:"Index"`   // of the log entry that changed it last
	Granted          uint64       `cbor:"2,keyasint,omitempty" json:"Granted"` // rights from the allocator
	Fenced           bool         `cbor:"3,keyasint,omitempty" json:"Fenced"`  // it must not spend or transfer any more
	Reclaimed        bool         `cbor:"4,keyasint,omitempty" json:"Settled"` // its rights have returned to the allocator
	SettledTransfers map[ID]int64 `cbor:"5,keyasint,omitempty" json:"Folds"`   // rights received from reclaimed members less those sent to them
	AckedHeartbeat   uint64       `cbor:"6,keyasint,omitempty" json:"Acked"`   // latest one that the allocator's leader has seen
}

// Delta is an update of a State: a member's state, its account, or both.
type Delta struct {
	ID          ID           `cbor:"1,keyasint"`
	MemberState *MemberState `cbor:"2,keyasint,omitempty"`
	Account     *Account     `cbor:"3,keyasint,omitempty"`
}

// State is all that a member knows. Its entries are replaced, never written into,
// so states may share them.
type State struct {
	Members  map[ID]*MemberState
	Accounts map[ID]*Account
}

// NewState returns an empty state.
func NewState() State { return State{map[ID]*MemberState{}, map[ID]*Account{}} }

// CounterValue returns the value of a counter over all known incarnations.
func (s State) CounterValue(name string) int64 {
	var increments, decrements uint64
	for _, member := range s.Members {
		counter := member.Counters[name]
		increments += counter.Increments
		decrements += counter.Decrements
	}
	return int64(increments - decrements)
}
