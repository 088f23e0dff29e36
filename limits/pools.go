package limits

import (
	"fmt"
	"slices"
	"time"
)

// Pools holds one pool of slots for each class. It is not safe for concurrent use: only the
// core's goroutine uses it.
type Pools struct {
	config        Config
	pools         []*pool         // by class
	reads         map[readKey]int // number of runs in flight for each read
	reservedInUse int
}

// readKey identifies reads by their class and the item that they read. Concurrent reads of the
// same item are coalesced: they are one load downstream.
type readKey struct {
	class int
	item  string
}

// pool holds the limit, the slots in use and the queue of one class.
type pool struct {
	vegasLimit
	inUse int      // slots that the class's runs hold, including borrowed but not reserved ones
	queue []queued // oldest first
}

// queued is a run that waits for a slot.
type queued struct {
	id       string
	queuedAt time.Duration
}

// slotSource is the kind of slot that a run holds.
type slotSource uint8

const (
	noSlot slotSource = iota
	ownSlot
	borrowedSlot // unused by other pools
	reservedSlot
)

// Permit allows a run to be in flight. Pass it to Release when the run ends.
type Permit struct {
	class     int
	source    slotSource
	coalesced bool   // the same read was in flight already: holds no slot, and its latency is not observed
	item      string // the item that the run reads; empty if unknown or if the run writes
}

// Admitted is a queued run that may start now.
type Admitted struct {
	ID     string
	Permit Permit
}

// New returns pools for the classes of the configuration. Its errors are of type *ConfigError.
func New(config Config) (*Pools, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	p := &Pools{config: config, reads: map[readKey]int{}}
	for range config.Classes {
		p.addPool()
	}
	return p, nil
}

func (p *Pools) addPool() {
	p.pools = append(p.pools, &pool{vegasLimit: vegasLimit{limit: p.config.InitialLimit}})
}

// Limit returns the limit of a class's pool, in slots.
func (p *Pools) Limit(class int) float64 { return p.pools[class].limit }

// InUse returns the number of runs that hold a slot of a class's pool.
func (p *Pools) InUse(class int) int { return p.pools[class].inUse }

// Queued returns the number of runs in the queue of a class's pool.
func (p *Pools) Queued(class int) int { return len(p.pools[class].queue) }

// TryAcquire acquires a slot for a run of a class. item is what the run reads, or empty if
// that is unknown or the run writes. TryAcquire returns false if there is no slot.
//
// A run whose item is being read by another run of the class needs no slot, because the two
// are one load downstream.
func (p *Pools) TryAcquire(class int, item string) (Permit, bool) {
	p.ensurePool(class)
	r := readKey{class, item}
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

// ensurePool adds pools up to a class that new settings have added. Added classes can't take
// reserved slots.
func (p *Pools) ensurePool(class int) {
	for len(p.pools) <= class {
		p.addPool()
		p.config.Classes = append(p.config.Classes, Class{Name: fmt.Sprint("class ", len(p.config.Classes))})
	}
}

// findSlot decides which kind of slot a run of a class may take.
//
// Inputs: the slots in use and the limits of all pools, the reserved slots, and whether runs
// of the class wait downstream. Rule: a slot of the class's own pool comes first; then one
// that other pools don't use, unless runs of the class wait downstream; then a reserved one,
// if the class is the cheapest. Reason: more runs of a class whose runs wait downstream
// would only overload the downstream further, and the cheapest class must run under any load.
func (p *Pools) findSlot(class int) slotSource {
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

// takeSlot takes the slot that findSlot finds. It returns false if there is none.
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

// totalInUse returns the number of slots in use in all pools, without the reserved ones.
func (p *Pools) totalInUse() int {
	total := 0
	for _, pool := range p.pools {
		total += pool.inUse
	}
	return total
}

// totalSlots returns the sum of the pools' limits in whole slots, without the reserved slots.
func (p *Pools) totalSlots() int {
	total := 0
	for _, pool := range p.pools {
		total += pool.slots()
	}
	return total
}

// Enqueue queues a run that got no slot. It returns false without queueing the run if the run
// is expected to end later than maxTime from now. The values of now order the queues; they may
// come from any one clock.
//
// The expected time is (queue length + 1) / limit round trips in the queue and one for the
// run itself, each as long as the recent mean latency. Before the first latency is observed,
// every run is queued unless maxTime is negative.
func (p *Pools) Enqueue(class int, id string, now, maxTime time.Duration) bool {
	pool := p.pools[class]
	roundTrips := float64(len(pool.queue)+1)/max(pool.limit, minLimit) + 1
	latency := time.Duration(pool.recentLatency)
	if time.Duration(roundTrips*float64(latency)) > maxTime {
		return false
	}
	pool.queue = append(pool.queue, queued{id, now})
	return true
}

// Cancel removes a run from its pool's queue, because its request was answered or cancelled
// before the run started. It does nothing if the run is not queued.
func (p *Pools) Cancel(class int, id string) {
	pool := p.pools[class]
	if i := slices.IndexFunc(pool.queue, func(q queued) bool { return q.id == id }); i >= 0 {
		pool.queue = slices.Delete(pool.queue, i, i+1)
	}
}

// Release releases a run's slot, and returns the queued runs that may start now. The limit
// adapts to the latency only if the run succeeded, because the latency of a failed run says
// nothing about the load downstream.
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
		pool.observe(latency, p.config.MaxLimit, pool.usedHalfOfLimit())
	}
	return p.admitQueued()
}

// usedHalfOfLimit reports whether the pool used at least half of its limit just before a run
// ended. The run must have released its slot already.
func (p *pool) usedHalfOfLimit() bool {
	return len(p.queue) > 0 || float64(p.inUse+1) >= p.limit/2
}

// releaseRead decrements the number of runs in flight for the permit's read.
func (p *Pools) releaseRead(permit Permit) {
	if permit.item == "" {
		return
	}
	r := readKey{permit.class, permit.item}
	if p.reads[r]--; p.reads[r] <= 0 {
		delete(p.reads, r)
	}
}

// admitQueued takes runs from the queues while there are slots for them, and returns them.
func (p *Pools) admitQueued() (admitted []Admitted) {
	for {
		class, ok := p.longestQueued()
		if !ok {
			return admitted
		}
		permit, _ := p.takeSlot(class) // can't fail: longestQueued has found a slot
		pool := p.pools[class]
		admitted = append(admitted, Admitted{pool.queue[0].id, permit})
		pool.queue = pool.queue[1:]
	}
}

// longestQueued returns the class of the run that has been queued longest, among the classes
// for which there is a slot. It returns false if there is no such run.
func (p *Pools) longestQueued() (class int, ok bool) {
	for c, pool := range p.pools {
		if len(pool.queue) == 0 || ok && pool.queue[0].queuedAt >= p.pools[class].queue[0].queuedAt {
			continue
		}
		if p.findSlot(c) != noSlot {
			class, ok = c, true
		}
	}
	return class, ok
}
