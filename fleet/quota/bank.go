package quota

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// CommandKind says what an order does.
type CommandKind string

// The kinds of orders.
const (
	Grant   CommandKind = "grant"  // rights to a member, out of those that are free
	Fence   CommandKind = "fence"  // a member is gone: it has certainly stopped spending
	Reclaim CommandKind = "settle" // what all fenced members held goes back to the free ones
)

// Command is an entry of the bank's log.
type Command struct {
	Kind   CommandKind `json:"kind"`
	Target ID          `json:"of,omitzero"`      // of Grant and Fence
	Amount uint64      `json:"amount,omitempty"` // of Grant; 0 opens an account only
	// Reports, of Settle, are what each member that is not fenced reported on each
	// that is: by the fenced one, then by the reporter.
	Reports map[ID]map[ID]TransferReport `json:"edges,omitempty"`
}

// Allocator is the state machine that rights come from. All who applied the same
// orders hold the same bank.
//
// Settle takes back what the members held that are fenced and not settled yet,
// all of them at one time: what they were granted, and what others gave them,
// less what they gave others. The transfers with members that are not fenced are
// theirs to tell, in reports (Row.Closed) after which they take nothing more of
// the fenced one's in, and Settle is refused unless each has told of each.
// Transfers among the fenced cancel out, but only in their sum: to settle one
// without another that it gave to would free rights that the other may have
// passed on. From Settle on, the transfers stand in the others' accounts (Folds)
// and the rows of the settled count no more.
//
// Its JSON is part of the snapshots of the fleet's log: the tags are that format.
type Allocator struct {
	Capacity uint64          `json:"Total"`
	Free     uint64          `json:"Free"`
	Accounts map[ID]*Account `json:"Accounts"`
}

// NewAllocator makes a bank whose rights are all free.
func NewAllocator(total uint64) *Allocator {
	return &Allocator{Capacity: total, Free: total, Accounts: map[ID]*Account{}}
}

// Apply takes in the order at an index of the log, and gives the accounts that
// it changed. The error says why an order was refused, and nothing changed.
func (b *Allocator) Apply(o Command, index uint64) ([]Delta, error) {
	var items []Delta
	switch was := b.Accounts[o.Target]; o.Kind {
	case Grant:
		a := Account{}
		if was != nil {
			a = *was
		}
		if a.Fenced || o.Amount == 0 && was != nil || b.Free < o.Amount {
			return nil, fmt.Errorf("share: grant of %d to %s, %d free", o.Amount, o.Target, b.Free)
		}
		b.Free -= o.Amount
		a.LogIndex, a.Granted = index, a.Granted+o.Amount
		items = []Delta{{ID: o.Target, Account: &a}}
	case Fence:
		if was == nil || was.Fenced {
			return nil, fmt.Errorf("share: fence of %s, which has no account or is fenced", o.Target)
		}
		a := *was
		a.LogIndex, a.Fenced = index, true
		items = []Delta{{ID: o.Target, Account: &a}}
	case Reclaim:
		var err error
		if items, err = b.reclaim(o, index); err != nil {
			return nil, err
		}
	default:
		return nil, fmt.Errorf("share: order %q is none", o.Kind)
	}
	for _, i := range items {
		b.Accounts[i.ID] = i.Account
	}
	return items, nil
}

// fencedAndLive gives the accounts that are fenced and not settled, and those that
// are not fenced, in order.
func (b *Allocator) fencedAndLive() (fenced, live []ID) {
	for id, a := range b.Accounts {
		if !a.Fenced {
			live = append(live, id)
		} else if !a.Reclaimed {
			fenced = append(fenced, id)
		}
	}
	slices.SortFunc(fenced, compareIDs)
	slices.SortFunc(live, compareIDs)
	return fenced, live
}

func (b *Allocator) reclaim(o Command, index uint64) ([]Delta, error) {
	fenced, live := b.fencedAndLive()
	if len(fenced) == 0 {
		return nil, fmt.Errorf("share: settlement, and nobody is fenced")
	}
	var back int64
	var items []Delta
	folds := map[ID]map[ID]int64{}
	for _, id := range fenced {
		a := *b.Accounts[id]
		back += int64(a.Granted)
		for _, n := range a.SettledTransfers {
			back += n
		}
		a.LogIndex, a.Reclaimed, a.Granted, a.SettledTransfers = index, true, 0, nil
		items = append(items, Delta{ID: id, Account: &a})
		for _, other := range live {
			c, told := o.Reports[id][other]
			if !told {
				return nil, fmt.Errorf("share: settlement of %s without a report of %s", id, other)
			}
			if net := int64(c.Received) - int64(c.Sent); net != 0 {
				back -= net
				if folds[other] == nil {
					folds[other] = maps.Clone(b.Accounts[other].SettledTransfers)
				}
				if folds[other] == nil {
					folds[other] = map[ID]int64{}
				}
				folds[other][id] = net
			}
		}
	}
	if back < 0 {
		return nil, fmt.Errorf("share: settlement of %d rights: the reports contradict each other", back)
	}
	for id, f := range folds {
		a := *b.Accounts[id]
		a.LogIndex, a.SettledTransfers = index, f
		items = append(items, Delta{ID: id, Account: &a})
	}
	b.Free += uint64(back)
	return items, nil
}

// Timing is how long a member that hears nothing may go on. All members must be
// told the same.
type Timing struct {
	SessionTimeout    time.Duration // after a beat that the keeper acked, until a member stops spending
	MaxClockDrift     float64       // most that a clock runs fast or slow by, as a share
	MaxHoldTime       time.Duration // the longest that anything is in hand: spending ends so long ahead
	HeartbeatInterval time.Duration // between two beats at rest
}

// Validate gives an error that names the field that makes no sense.
func (t Timing) Validate() error {
	switch {
	case !(t.MaxClockDrift >= 0 && t.MaxClockDrift <= 0.2):
		return fmt.Errorf("share: drift %v, 0 to 0.2 wanted", t.MaxClockDrift)
	case t.HeartbeatInterval <= 0 || t.MaxHoldTime < 0 || t.spendingTimeout() < 3*t.HeartbeatInterval:
		return fmt.Errorf("share: horizon %v, at least %v and three beats (%v) wanted", t.SessionTimeout, t.MaxHoldTime, t.HeartbeatInterval)
	}
	return nil
}

func (t Timing) spendingTimeout() time.Duration {
	return time.Duration(float64(t.SessionTimeout)*(1-t.MaxClockDrift)) - t.MaxHoldTime
}

func (t Timing) fencingTimeout() time.Duration {
	return time.Duration(float64(t.SessionTimeout) * (1 + t.MaxClockDrift))
}

// AllocatorLeader decides the bank's orders. Only the owner of the fleet's lease on the
// bank runs one, made anew when it comes into office, and only while it holds
// the lease; the orders go under its token.
//
// A member counts from when it sent a beat that was acked, the keeper from
// when it acked, which is later; so a member that is fenced after the horizon has
// stopped before. What an earlier keeper acked was sent before this one came
// into office, so it waits a whole horizon from then.
type AllocatorLeader struct {
	timing    Timing
	capacity  uint64
	electedAt time.Duration
	lastSeen  map[ID]seenHeartbeat
}

type seenHeartbeat struct {
	heartbeat uint64
	at        time.Duration
}

// NewAllocatorLeader makes a keeper that comes into office at a time.
func NewAllocatorLeader(total uint64, timing Timing, now time.Duration) *AllocatorLeader {
	return &AllocatorLeader{timing: timing, capacity: total, electedAt: now, lastSeen: map[ID]seenHeartbeat{}}
}

// Tick gives the orders to send to the log, and the acks, each for the member it
// is of, by what the keeper knows at a time. Orders that are refused, or lost, come again.
func (k *AllocatorLeader) Tick(now time.Duration, s State, b *Allocator) (orders []Command, acks []Delta) {
	ids := slices.SortedFunc(maps.Keys(s.Members), compareIDs)
	var live, waiting []ID
	var needs uint64
	for _, id := range ids {
		row, a := s.Members[id], b.Accounts[id]
		if a != nil && a.Fenced {
			continue
		}
		if h, known := k.lastSeen[id]; !known || row.Heartbeat > h.heartbeat {
			k.lastSeen[id] = seenHeartbeat{row.Heartbeat, now}
			ack := Account{}
			if a != nil { // again and again, as it may have been lost
				ack = *a
			}
			ack.AckedHeartbeat = row.Heartbeat
			acks = append(acks, Delta{ID: id, Account: &ack})
		}
		if a == nil {
			waiting = append(waiting, id)
		}
		live = append(live, id)
		needs += row.Shortfall
	}
	free := b.Free
	if now-k.electedAt < k.timing.HeartbeatInterval { // until it has heard who is there
		free = 0
	}
	fair := max(1, k.capacity/uint64(max(1, len(live))))
	for _, id := range waiting { // one that gets nothing has an account at least, so that others may give
		if n := min(fair, free); n > 0 || now-k.electedAt >= k.timing.HeartbeatInterval {
			orders = append(orders, Command{Kind: Grant, Target: id, Amount: n})
			free -= n
		}
	}
	if len(waiting) == 0 && free > 0 { // to those that lack, by what they lack
		spread := free
		for _, id := range live {
			if need := s.Members[id].Shortfall; need > 0 && free > 0 {
				n := min(free, max(1, spread*need/needs))
				orders = append(orders, Command{Kind: Grant, Target: id, Amount: n})
				free -= n
			}
		}
	}
	fenced, open := b.fencedAndLive()
	for _, id := range open {
		h, known := k.lastSeen[id]
		if !known { // never heard of by this keeper
			h.at = k.electedAt
		}
		if now-h.at >= k.timing.fencingTimeout() {
			orders = append(orders, Command{Kind: Fence, Target: id})
		}
	}
	if edges, all := collectReports(s, fenced, open); all {
		orders = append(orders, Command{Kind: Reclaim, Reports: edges})
	}
	return orders, acks
}

// collectReports collects what members that are not fenced say of those that are.
func collectReports(s State, fenced, open []ID) (edges map[ID]map[ID]TransferReport, all bool) {
	edges = map[ID]map[ID]TransferReport{}
	for _, of := range fenced {
		edges[of] = map[ID]TransferReport{}
		for _, by := range open {
			row := s.Members[by]
			if row == nil {
				return nil, false
			}
			c, told := row.TransferReports[of]
			if !told {
				return nil, false
			}
			edges[of][by] = c
		}
	}
	return edges, len(fenced) > 0
}
