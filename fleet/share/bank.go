package share

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Kind says what an order does.
type Kind string

// The kinds of orders.
const (
	Grant  Kind = "grant"  // rights to a member, out of those that are free
	Fence  Kind = "fence"  // a member is gone: it has certainly stopped spending
	Settle Kind = "settle" // what all fenced members held goes back to the free ones
)

// Order is an entry of the bank's log.
type Order struct {
	Kind   Kind   `json:"kind"`
	Of     ID     `json:"of,omitzero"`      // of Grant and Fence
	Amount uint64 `json:"amount,omitempty"` // of Grant; 0 opens an account only
	// Edges, of Settle, are what each member that is not fenced reported on each
	// that is: by the fenced one, then by the reporter.
	Edges map[ID]map[ID]Closing `json:"edges,omitempty"`
}

// Bank is the state machine that rights come from. All who applied the same
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
type Bank struct {
	Total    uint64          `json:"Total"`
	Free     uint64          `json:"Free"`
	Accounts map[ID]*Account `json:"Accounts"`
}

// NewBank makes a bank whose rights are all free.
func NewBank(total uint64) *Bank {
	return &Bank{Total: total, Free: total, Accounts: map[ID]*Account{}}
}

// Apply takes in the order at an index of the log, and gives the accounts that
// it changed. The error says why an order was refused, and nothing changed.
func (b *Bank) Apply(o Order, index uint64) ([]Item, error) {
	var items []Item
	switch was := b.Accounts[o.Of]; o.Kind {
	case Grant:
		a := Account{}
		if was != nil {
			a = *was
		}
		if a.Fenced || o.Amount == 0 && was != nil || b.Free < o.Amount {
			return nil, fmt.Errorf("share: grant of %d to %s, %d free", o.Amount, o.Of, b.Free)
		}
		b.Free -= o.Amount
		a.Index, a.Granted = index, a.Granted+o.Amount
		items = []Item{{Of: o.Of, Account: &a}}
	case Fence:
		if was == nil || was.Fenced {
			return nil, fmt.Errorf("share: fence of %s, which has no account or is fenced", o.Of)
		}
		a := *was
		a.Index, a.Fenced = index, true
		items = []Item{{Of: o.Of, Account: &a}}
	case Settle:
		var err error
		if items, err = b.settle(o, index); err != nil {
			return nil, err
		}
	default:
		return nil, fmt.Errorf("share: order %q is none", o.Kind)
	}
	for _, i := range items {
		b.Accounts[i.Of] = i.Account
	}
	return items, nil
}

// unsettled gives the accounts that are fenced and not settled, and those that
// are not fenced, in order.
func (b *Bank) unsettled() (fenced, live []ID) {
	for id, a := range b.Accounts {
		if !a.Fenced {
			live = append(live, id)
		} else if !a.Settled {
			fenced = append(fenced, id)
		}
	}
	slices.SortFunc(fenced, compareIDs)
	slices.SortFunc(live, compareIDs)
	return fenced, live
}

func (b *Bank) settle(o Order, index uint64) ([]Item, error) {
	fenced, live := b.unsettled()
	if len(fenced) == 0 {
		return nil, fmt.Errorf("share: settlement, and nobody is fenced")
	}
	var back int64
	var items []Item
	folds := map[ID]map[ID]int64{}
	for _, id := range fenced {
		a := *b.Accounts[id]
		back += int64(a.Granted)
		for _, n := range a.Folds {
			back += n
		}
		a.Index, a.Settled, a.Granted, a.Folds = index, true, 0, nil
		items = append(items, Item{Of: id, Account: &a})
		for _, other := range live {
			c, told := o.Edges[id][other]
			if !told {
				return nil, fmt.Errorf("share: settlement of %s without a report of %s", id, other)
			}
			if net := int64(c.In) - int64(c.Out); net != 0 {
				back -= net
				if folds[other] == nil {
					folds[other] = maps.Clone(b.Accounts[other].Folds)
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
		a.Index, a.Folds = index, f
		items = append(items, Item{Of: id, Account: &a})
	}
	b.Free += uint64(back)
	return items, nil
}

// Timing is how long a member that hears nothing may go on. All members must be
// told the same.
type Timing struct {
	Horizon time.Duration // after a beat that the keeper acked, until a member stops spending
	Drift   float64       // most that a clock runs fast or slow by, as a share
	Hold    time.Duration // the longest that anything is in hand: spending ends so long ahead
	Beat    time.Duration // between two beats at rest
}

// Validate gives an error that names the field that makes no sense.
func (t Timing) Validate() error {
	switch {
	case !(t.Drift >= 0 && t.Drift <= 0.2):
		return fmt.Errorf("share: drift %v, 0 to 0.2 wanted", t.Drift)
	case t.Beat <= 0 || t.Hold < 0 || t.stop() < 3*t.Beat:
		return fmt.Errorf("share: horizon %v, at least %v and three beats (%v) wanted", t.Horizon, t.Hold, t.Beat)
	}
	return nil
}

func (t Timing) stop() time.Duration {
	return time.Duration(float64(t.Horizon)*(1-t.Drift)) - t.Hold
}

func (t Timing) wait() time.Duration { return time.Duration(float64(t.Horizon) * (1 + t.Drift)) }

// Keeper decides the bank's orders. Only the owner of the fleet's lease on the
// bank runs one, made anew when it comes into office, and only while it holds
// the lease; the orders go under its token.
//
// A member counts from when it sent a beat that was acked, the keeper from
// when it acked, which is later; so a member that is fenced after the horizon has
// stopped before. What an earlier keeper acked was sent before this one came
// into office, so it waits a whole horizon from then.
type Keeper struct {
	timing Timing
	total  uint64
	since  time.Duration
	heard  map[ID]heard
}

type heard struct {
	beat uint64
	at   time.Duration
}

// NewKeeper makes a keeper that comes into office at a time.
func NewKeeper(total uint64, timing Timing, now time.Duration) *Keeper {
	return &Keeper{timing: timing, total: total, since: now, heard: map[ID]heard{}}
}

// Tick gives the orders to send to the log, and the acks, each for the member it
// is of, by what the keeper knows at a time. Orders that are refused, or lost, come again.
func (k *Keeper) Tick(now time.Duration, s State, b *Bank) (orders []Order, acks []Item) {
	ids := slices.SortedFunc(maps.Keys(s.Rows), compareIDs)
	var live, waiting []ID
	var needs uint64
	for _, id := range ids {
		row, a := s.Rows[id], b.Accounts[id]
		if a != nil && a.Fenced {
			continue
		}
		if h, known := k.heard[id]; !known || row.Beat > h.beat {
			k.heard[id] = heard{row.Beat, now}
			ack := Account{}
			if a != nil { // again and again, as it may have been lost
				ack = *a
			}
			ack.Acked = row.Beat
			acks = append(acks, Item{Of: id, Account: &ack})
		}
		if a == nil {
			waiting = append(waiting, id)
		}
		live = append(live, id)
		needs += row.Need
	}
	free := b.Free
	if now-k.since < k.timing.Beat { // until it has heard who is there
		free = 0
	}
	fair := max(1, k.total/uint64(max(1, len(live))))
	for _, id := range waiting { // one that gets nothing has an account at least, so that others may give
		if n := min(fair, free); n > 0 || now-k.since >= k.timing.Beat {
			orders = append(orders, Order{Kind: Grant, Of: id, Amount: n})
			free -= n
		}
	}
	if len(waiting) == 0 && free > 0 { // to those that lack, by what they lack
		spread := free
		for _, id := range live {
			if need := s.Rows[id].Need; need > 0 && free > 0 {
				n := min(free, max(1, spread*need/needs))
				orders = append(orders, Order{Kind: Grant, Of: id, Amount: n})
				free -= n
			}
		}
	}
	fenced, open := b.unsettled()
	for _, id := range open {
		h, known := k.heard[id]
		if !known { // never heard of by this keeper
			h.at = k.since
		}
		if now-h.at >= k.timing.wait() {
			orders = append(orders, Order{Kind: Fence, Of: id})
		}
	}
	if edges, all := reports(s, fenced, open); all {
		orders = append(orders, Order{Kind: Settle, Edges: edges})
	}
	return orders, acks
}

// reports collects what members that are not fenced say of those that are.
func reports(s State, fenced, open []ID) (edges map[ID]map[ID]Closing, all bool) {
	edges = map[ID]map[ID]Closing{}
	for _, of := range fenced {
		edges[of] = map[ID]Closing{}
		for _, by := range open {
			row := s.Rows[by]
			if row == nil {
				return nil, false
			}
			c, told := row.Closed[of]
			if !told {
				return nil, false
			}
			edges[of][by] = c
		}
	}
	return edges, len(fenced) > 0
}
