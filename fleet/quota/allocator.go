package quota

import (
	"maps"
	"slices"
)

// CommandKind is what a command does.
type CommandKind string

// The kinds of commands.
const (
	Grant   CommandKind = "grant"  // gives free rights to a member
	Fence   CommandKind = "fence"  // declares a member gone, which has certainly stopped spending
	Reclaim CommandKind = "settle" // returns the rights of all fenced members to the free ones
)

// Command is an entry of the allocator's log.
type Command struct {
	Kind   CommandKind `json:"kind"`
	Target ID          `json:"of,omitzero"`      // of Grant and Fence
	Amount uint64      `json:"amount,omitempty"` // of Grant; 0 only opens an account
	// Reports, of Reclaim, are those of each live member on each fenced one: by
	// the fenced member, then by the reporter.
	Reports map[ID]map[ID]TransferReport `json:"edges,omitempty"`
}

// Allocator is the state machine that rights come from. Replicas that applied the
// same commands hold the same state. It is not safe for concurrent use.
//
// Reclaim returns what the fenced members held that are not reclaimed yet, all of
// them at once: what they were granted and what others sent them, less what they
// sent others. Live members report their transfers with a fenced one
// (MemberState.TransferReports) and receive nothing more from it afterwards;
// Reclaim is refused unless each has reported on each. Transfers among fenced
// members cancel out, but only in their sum: reclaiming one without another that
// it sent rights to would free rights that the other may have passed on. After
// Reclaim the transfers stand in the accounts of the live members
// (Account.SettledTransfers), and the states of the reclaimed members no longer
// count.
//
// Its JSON is part of the snapshots of the fleet's log: the tags are the format.
type Allocator struct {
	Capacity uint64          `json:"Total"` // the budget: rights held and free
	Free     uint64          `json:"Free"`  // rights that nobody holds
	Accounts map[ID]*Account `json:"Accounts"`
}

// NewAllocator returns an allocator whose rights are all free.
func NewAllocator(capacity uint64) *Allocator {
	return &Allocator{Capacity: capacity, Free: capacity, Accounts: map[ID]*Account{}}
}

// Apply applies the command at an index of the log, and returns the accounts that
// it changed. A refused command changes nothing; the error is a *CommandError.
func (a *Allocator) Apply(c Command, index uint64) ([]Delta, error) {
	var changed []Delta
	var err error
	switch c.Kind {
	case Grant:
		changed, err = a.grant(c.Target, c.Amount, index)
	case Fence:
		changed, err = a.fence(c.Target, index)
	case Reclaim:
		changed, err = a.reclaim(c.Reports, index)
	default:
		err = ErrUnknownCommand
	}
	if err != nil {
		return nil, &CommandError{Kind: c.Kind, Target: c.Target, Err: err}
	}
	for _, delta := range changed {
		a.Accounts[delta.ID] = delta.Account
	}
	return changed, nil
}

func (a *Allocator) grant(id ID, amount, index uint64) ([]Delta, error) {
	known := a.Accounts[id]
	account := Account{}
	if known != nil {
		account = *known
	}
	if account.Fenced {
		return nil, ErrFenced
	}
	if known != nil && amount == 0 {
		return nil, ErrAccountExists
	}
	if a.Free < amount {
		return nil, &InsufficientRightsError{Requested: amount, Free: a.Free}
	}
	a.Free -= amount
	account.LogIndex = index
	account.Granted += amount
	return []Delta{{ID: id, Account: &account}}, nil
}

func (a *Allocator) fence(id ID, index uint64) ([]Delta, error) {
	known := a.Accounts[id]
	if known == nil {
		return nil, ErrNoAccount
	}
	if known.Fenced {
		return nil, ErrFenced
	}
	account := *known
	account.LogIndex = index
	account.Fenced = true
	return []Delta{{ID: id, Account: &account}}, nil
}

func (a *Allocator) reclaim(reports map[ID]map[ID]TransferReport, index uint64) ([]Delta, error) {
	fenced, live := a.fencedAndLive()
	if len(fenced) == 0 {
		return nil, ErrNothingToReclaim
	}
	transfers, err := netTransfers(reports, fenced, live)
	if err != nil {
		return nil, err
	}
	rights := a.heldBy(fenced)
	for _, bySender := range transfers {
		for _, net := range bySender {
			rights -= net
		}
	}
	if rights < 0 {
		return nil, &InconsistentReportsError{Rights: rights}
	}
	a.Free += uint64(rights)
	var changed []Delta
	for _, id := range fenced {
		account := *a.Accounts[id]
		account.LogIndex = index
		account.Reclaimed = true
		account.Granted, account.SettledTransfers = 0, nil
		changed = append(changed, Delta{ID: id, Account: &account})
	}
	for _, id := range slices.SortedFunc(maps.Keys(transfers), compareIDs) {
		account := *a.Accounts[id]
		account.LogIndex = index
		account.SettledTransfers = cloneMap(account.SettledTransfers)
		maps.Copy(account.SettledTransfers, transfers[id])
		changed = append(changed, Delta{ID: id, Account: &account})
	}
	return changed, nil
}

// heldBy returns the rights that members were granted, and those of settled
// transfers.
func (a *Allocator) heldBy(ids []ID) int64 {
	var rights int64
	for _, id := range ids {
		account := a.Accounts[id]
		rights += int64(account.Granted)
		for _, net := range account.SettledTransfers {
			rights += net
		}
	}
	return rights
}

// fencedAndLive returns the fenced members that are not reclaimed yet, and those
// that are not fenced, each in order.
func (a *Allocator) fencedAndLive() (fenced, live []ID) {
	for id, account := range a.Accounts {
		switch {
		case !account.Fenced:
			live = append(live, id)
		case !account.Reclaimed:
			fenced = append(fenced, id)
		}
	}
	slices.SortFunc(fenced, compareIDs)
	slices.SortFunc(live, compareIDs)
	return fenced, live
}

// netTransfers returns what each live member received from each fenced one, less
// what it sent it, where that is not zero: by the live member, then by the fenced
// one.
func netTransfers(reports map[ID]map[ID]TransferReport, fenced, live []ID) (map[ID]map[ID]int64, error) {
	transfers := map[ID]map[ID]int64{}
	for _, sender := range fenced {
		for _, reporter := range live {
			report, ok := reports[sender][reporter]
			if !ok {
				return nil, &MissingReportError{Fenced: sender, Reporter: reporter}
			}
			net := report.net()
			if net == 0 {
				continue
			}
			if transfers[reporter] == nil {
				transfers[reporter] = map[ID]int64{}
			}
			transfers[reporter][sender] = net
		}
	}
	return transfers, nil
}
