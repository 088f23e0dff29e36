package limits

import (
	"fmt"
	"slices"
	"time"
)

// Pools are the pools of one server. They are not safe for concurrent use: one goroutine,
// the core's, owns them.
type Pools struct {
	config        Config
	pools         []*pool      // by class
	reads         map[read]int // how many of each are in flight
	reservedInUse int
}

// read is a request that changes nothing, by its class and what it reads: reads of the same
// item at once are the same load downstream.
type read struct {
	class int
	item  string
}

// pool is the pool of one class.
type pool struct {
	vegasLimit
	inUse int      // slots of this pool's runs, borrowed ones among them
	queue []queued // in the order in which they were queued
}

// queued is a run that waits for a slot.
type queued struct {
	id    string
	since time.Duration
}

// source says where a run's slot comes from.
type source uint8

const (
	noSlot source = iota
	ownSlot
	borrowedSlot // other pools don't use it
	reservedSlot
)

// Permit is what a run holds while it is in flight: Release takes it back.
type Permit struct {
	class     int
	source    source
	coalesced bool   // of a read that is in flight: it holds no slot, and its latency is not observed
	item      string // what the run reads; empty if it is unknown, or a write
}

// Admitted is a queued run that may start now.
type Admitted struct {
	ID     string
	Permit Permit
}

// New makes the pools, one for each class. Its errors are of type *ConfigError.
func New(config Config) (*Pools, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	p := &Pools{config: config, reads: map[read]int{}}
	for range config.Classes {
		p.addPool()
	}
	return p, nil
}

func (p *Pools) addPool() {
	p.pools = append(p.pools, &pool{vegasLimit: vegasLimit{limit: p.config.InitialLimit}})
}

// Capacity returns the limit of a class's pool, in slots.
func (p *Pools) Capacity(class int) float64 { return p.pools[class].limit }

// InUse returns the number of runs that hold a slot of a class's pool.
func (p *Pools) InUse(class int) int { return p.pools[class].inUse }

// Queued returns the number of runs in the queue of a class's pool.
func (p *Pools) Queued(class int) int { return len(p.pools[class].queue) }

// TryAcquire acquires a slot for a run of a class that reads an item (empty if it is
// unknown, or a write). It returns false if the run has to be queued or shed.
//
// A read of an item that is being read already needs no slot: the load downstream is the
// same.
func (p *Pools) TryAcquire(class int, item string) (Permit, bool) {
	p.ensurePool(class)
	r := read{class, item}
	if item != "" && p.reads[r] > 0 {
		p.reads[r]++
		return Permit{class: class, coalesced: true, item: item}, true
	}
	permit, ok := p.takeSlot(class)
	if ok && item != "" {
		permit.item = item
		p.reads[r]++
	}
	return permit, ok
}

// ensurePool adds pools up to a class that new settings have added; it is not the cheapest.
func (p *Pools) ensurePool(class int) {
	for len(p.pools) <= class {
		p.addPool()
		p.config.Classes = append(p.config.Classes, Class{Name: fmt.Sprint("class ", len(p.config.Classes))})
	}
}

// findSlot decides where a run of a class may get a slot.
//
// Inputs: the slots in use and the capacities of all pools, the reserved slots, and whether
// runs of the class wait downstream. Rule: its own pool first; then an idle slot of others,
// unless its runs wait; then a reserved one, for the cheapest class. Reason: a pool whose
// runs wait downstream would only overload it further, and the cheapest class has to run
// under any load.
func (p *Pools) findSlot(class int) source {
	own := p.pools[class]
	switch {
	case own.inUse < own.slots():
		return ownSlot
	case !own.queueing && p.totalInUse() < p.totalSlots():
		return borrowedSlot
	case p.config.Classes[class].Cheapest && p.reservedInUse < p.config.ReservedSlots:
		return reservedSlot
	}
	return noSlot
}

// takeSlot takes the slot that findSlot finds, if there is one.
func (p *Pools) takeSlot(class int) (Permit, bool) {
	permit := Permit{class: class, source: p.findSlot(class)}
	switch permit.source {
	case noSlot:
		return permit, false
	case reservedSlot:
		p.reservedInUse++
	default:
		p.pools[class].inUse++
	}
	return permit, true
}

// totalInUse is the number of slots in use in all pools, without the reserved ones.
func (p *Pools) totalInUse() int {
	total := 0
	for _, pool := range p.pools {
		total += pool.inUse
	}
	return total
}

// totalSlots is the capacity of all pools, without the reserved slots.
func (p *Pools) totalSlots() int {
	total := 0
	for _, pool := range p.pools {
		total += pool.slots()
	}
	return total
}

// Enqueue queues a run that got no slot. It returns false if the run is to be shed: it would
// wait and run longer than its patience. now orders the queues, on any clock.
//
// The expected time is that of (queue length + 1) / limit round trips in the queue and one
// for the run, each as long as the recent mean latency. Before the first latency is known,
// every run is queued unless its patience is negative.
func (p *Pools) Enqueue(class int, id string, now, patience time.Duration) bool {
	pool := p.pools[class]
	roundTrips := float64(len(pool.queue)+1)/max(pool.limit, minLimit) + 1
	latency := time.Duration(pool.recentLatency)
	if time.Duration(roundTrips*float64(latency)) > patience {
		return false
	}
	pool.queue = append(pool.queue, queued{id, now})
	return true
}

// Cancel removes a run from its pool's queue: its request was answered or cancelled before
// it started.
func (p *Pools) Cancel(class int, id string) {
	pool := p.pools[class]
	if i := slices.IndexFunc(pool.queue, func(q queued) bool { return q.id == id }); i >= 0 {
		pool.queue = slices.Delete(pool.queue, i, i+1)
	}
}

// Release returns a run's slot, with how long it ran and whether it succeeded (the latency
// of a run that failed shows nothing). It returns the queued runs that may start now.
func (p *Pools) Release(permit Permit, latency time.Duration, succeeded bool) []Admitted {
	p.releaseRead(permit)
	if permit.coalesced {
		return nil
	}
	pool := p.pools[permit.class]
	if permit.source == reservedSlot {
		p.reservedInUse--
	} else {
		pool.inUse--
	}
	if succeeded && latency > 0 {
		pool.observe(latency, p.config.MaxLimit, pool.wasUsed())
	}
	return p.admitQueued()
}

// wasUsed reports whether the pool used at least half of its limit until a run ended, which
// has just returned its slot.
func (p *pool) wasUsed() bool {
	return len(p.queue) > 0 || float64(p.inUse+1) >= p.limit/2
}

// releaseRead counts one read of an item less.
func (p *Pools) releaseRead(permit Permit) {
	if permit.item == "" {
		return
	}
	r := read{permit.class, permit.item}
	if p.reads[r]--; p.reads[r] <= 0 {
		delete(p.reads, r)
	}
}

// admitQueued takes runs from the queues while there are slots for them.
func (p *Pools) admitQueued() (admitted []Admitted) {
	for {
		class, ok := p.longestQueued()
		if !ok {
			return admitted
		}
		permit, _ := p.takeSlot(class) // longestQueued has found one
		pool := p.pools[class]
		admitted = append(admitted, Admitted{pool.queue[0].id, permit})
		pool.queue = pool.queue[1:]
	}
}

// longestQueued returns the class of the run that has been queued longest, of the classes
// that may get a slot.
func (p *Pools) longestQueued() (class int, ok bool) {
	for c, pool := range p.pools {
		if len(pool.queue) == 0 || ok && pool.queue[0].since >= p.pools[class].queue[0].since {
			continue
		}
		if p.findSlot(c) != noSlot {
			class, ok = c, true
		}
	}
	return class, ok
}
