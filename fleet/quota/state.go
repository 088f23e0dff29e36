package quota

// PNCounter is one member's part of a counter that increases and decreases
// (positive-negative counter). Both fields only grow.
type PNCounter struct {
	Increments uint64 `cbor:"1,keyasint,omitempty"`
	Decrements uint64 `cbor:"2,keyasint,omitempty"`
}

// TransferReport is a member's final report on its transfers with a fenced member.
// It is sent in CBOR and stored in the fleet's log in JSON: the tags define the
// formats.
type TransferReport struct {
	Received uint64 `cbor:"1,keyasint,omitempty" json:"In"`  // rights received from the fenced member
	Sent     uint64 `cbor:"2,keyasint,omitempty" json:"Out"` // rights sent to it
}

func (r TransferReport) net() int64 { return int64(r.Received) - int64(r.Sent) }

// MemberState is the state that one incarnation of a member publishes about itself;
// it has no other writer. It may arrive in parts: fields that only grow are joined by
// their maximum, and Surplus and Shortfall are those of the latest heartbeat. A
// MemberState is immutable once it is part of a State.
type MemberState struct {
	Heartbeat       uint64                `cbor:"1,keyasint"`           // sequence number, grows with each published state
	Surplus         uint64                `cbor:"2,keyasint,omitempty"` // rights that it could transfer to others
	Shortfall       uint64                `cbor:"3,keyasint,omitempty"` // rights that it lacks
	Transferred     map[ID]uint64         `cbor:"4,keyasint,omitempty"` // total of rights sent to each member
	TransferReports map[ID]TransferReport `cbor:"5,keyasint,omitempty"` // by the fenced member
	Counters        map[string]PNCounter  `cbor:"6,keyasint,omitempty"`
}

// transferredTo returns the total of rights sent to a member; s may be nil.
func (s *MemberState) transferredTo(id ID) uint64 {
	if s == nil {
		return 0
	}
	return s.Transferred[id]
}

// newerThan reports whether s has a later heartbeat than other; either may be nil.
func (s *MemberState) newerThan(other *MemberState) bool {
	return s != nil && (other == nil || s.Heartbeat > other.Heartbeat)
}

// Account is the allocator's entry for one incarnation of a member. It is sent in
// CBOR and stored in the snapshots of the fleet's log in JSON: the tags define the
// formats.
type Account struct {
	LogIndex         uint64       `cbor:"1,keyasint,omitempty" json:"Index"`   // of the last log entry that changed it
	Granted          uint64       `cbor:"2,keyasint,omitempty" json:"Granted"` // rights granted by the allocator
	Fenced           bool         `cbor:"3,keyasint,omitempty" json:"Fenced"`  // it must not use or transfer rights any more
	Reclaimed        bool         `cbor:"4,keyasint,omitempty" json:"Settled"` // its rights have returned to the allocator
	SettledTransfers map[ID]int64 `cbor:"5,keyasint,omitempty" json:"Folds"`   // rights received from each reclaimed member minus those sent to it
	AckedHeartbeat   uint64       `cbor:"6,keyasint,omitempty" json:"Acked"`   // latest heartbeat that the allocator's leader acknowledged
}

// Delta is an update of a State: a member's state, its account, or both.
type Delta struct {
	ID          ID           `cbor:"1,keyasint"`
	MemberState *MemberState `cbor:"2,keyasint,omitempty"`
	Account     *Account     `cbor:"3,keyasint,omitempty"`
}

// State is a member's knowledge of the fleet. Its entries are replaced and never
// modified, so several states may share them.
type State struct {
	Members  map[ID]*MemberState
	Accounts map[ID]*Account
}

// NewState returns an empty state.
func NewState() State { return State{map[ID]*MemberState{}, map[ID]*Account{}} }

// CounterValue returns the value of a counter, summed over all known incarnations.
func (s State) CounterValue(name string) int64 {
	var increments, decrements uint64
	for _, member := range s.Members {
		counter := member.Counters[name]
		increments += counter.Increments
		decrements += counter.Decrements
	}
	return int64(increments - decrements)
}
