package quota

import (
	"maps"
	"slices"
)

// CommandKind is what a Command does to the allocator: Grant, Fence or Reclaim.
type CommandKind string

// The kinds of commands. Their values are stored in the log.
const (
	Grant   CommandKind = "grant"  // grants free rights to a member, and creates its account
	Fence   CommandKind = "fence"  // fences a silent member, which has stopped using its rights
	Reclaim CommandKind = "settle" // returns the rights of all fenced members to the free rights
)

// Command is an entry of the allocator's log. Its JSON is stored: the tags define the
// format.
type Command struct {
	Kind   CommandKind `json:"kind"`
	Target ID          `json:"of,omitzero"`      // member that a Grant or Fence applies to
	Amount uint64      `json:"amount,omitempty"` // number of rights of a Grant; 0 only creates an account
	// Reports has, for a Reclaim, the transfer report of each live member on each fenced
	// one, keyed by the fenced member, then by the reporter.
	Reports map[ID]map[ID]TransferReport `json:"edges,omitempty"`
}

// Allocator is the state machine that grants and reclaims rights. Replicas that
// applied the same commands have the same state. It is not safe for concurrent use.
//
// Reclaim returns the rights of all fenced members that are not reclaimed yet, in one
// command: the granted rights plus the rights received from others, minus the rights
// sent to others. Live members report their transfers with a fenced member
// (MemberState.TransferReports) and accept no transfers from it afterwards. Reclaim is
// rejected unless each live member has reported on each fenced one. Transfers between
// fenced members cancel out only in the sum over all of them: reclaiming one member
// without another to which it sent rights would free rights that the other may have
// transferred to a third. Reclaim records the transfers in the accounts of the live
// members (Account.SettledTransfers); the states of reclaimed members don't count any
// more.
//
// Its JSON is part of the snapshots of the fleet's log: the tags define the format.
type Allocator struct {
	Capacity uint64          `json:"Total"` // the budget: sum of the held and the free rights
	Free     uint64          `json:"Free"`  // rights that no member holds
	Accounts map[ID]*Account `json:"Accounts"`
}

// NewAllocator returns an allocator that has no accounts and whose rights are all free.
func NewAllocator(capacity uint64) *Allocator {
	return &Allocator{Capacity: capacity, Free: capacity, Accounts: map[ID]*Account{}}
}

// Apply applies the command in the log entry at an index and returns the accounts that
// it changed. It returns a *CommandError for a rejected command, which changes nothing.
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
	for _, netBySender := range transfers {
		for _, net := range netBySender {
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

// heldBy returns the sum of the members' granted rights and settled transfers.
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

// fencedAndLive returns the fenced members that are not reclaimed yet, and the members
// that are not fenced, both sorted by ID.
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

// netTransfers returns the net transfers from each fenced member to each live one: the
// rights that the live member received minus those that it sent. They are keyed by the
// live member, then by the fenced one, without zeros. It returns a *MissingReportError
// if a report is missing.
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
