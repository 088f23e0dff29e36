// Package limits divides the runs of a server into pools by class, each with a
// limit on how many run at once that adapts to what lies below, a reserve that
// keeps the cheapest class alive under any load, and borrowing between pools.
// It decides; it does no I/O and keeps no clock of its own: its caller tells
// it the time, and its tests play it on a model of a machine.
//
// The decision module (package policy) still decides what is let in and in
// which order it runs; the pools bound what runs below it. A run that the
// module begins takes a slot of its class's pool, or one that another pool
// does not use (only while its own runs show no waiting: pools share what lies
// below, and a pool whose runs wait would only crowd it more), or waits in its
// pool's line; one that would wait longer than its patience is turned away at
// once, as it never ran.
//
// Each pool's limit follows its runs' latencies as TCP Vegas follows a
// connection's round trips (Brakmo and Peterson, "TCP Vegas: End to End
// Congestion Avoidance on a Global Internet", IEEE JSAC 13(8), 1995), in the
// form of the Vegas limit of Netflix's concurrency-limits library
// (github.com/Netflix/concurrency-limits, VegasLimit): with the least mean
// latency of some twenty runs seen, which is that of runs that did not wait
// (a mean, not a single run: runs differ in their work, and the least of them
// is not a run that did not wait), and the mean of late,
//
//	queue = limit * (1 - least / mean)
//
// is how many of the runs in hand wait rather than work. While fewer than
// alpha wait, the limit grows; while more than beta do, it shrinks, by about
// one for each limit's worth of runs that end, once a round trip. So it settles
// a few runs past the point where more at once only wait longer, before the
// one where the machine starts to get less done in total. The least latency
// creeps up by a hundred-thousandth a run, so that it follows a machine whose
// runs became slower for good within some tens of thousands of runs.
package limits

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// The figures of the limit, as VegasLimit has them, but the creep's.
const (
	alpha       = 3      // runs that wait, at least, below which the limit grows (times log10 of the limit)
	beta        = 6      // at most, above which it shrinks
	creep       = 1e-5   // of the least latency, by which it grows each run
	shortWeight = 0.05   // of the newest latency in the mean of late (about 20 runs)
	leastLimit  = 1.0    //
	mostStep    = 0.5    // of a run, by which one run's end moves the limit at most
	noWait      = 0.0001 // latency below which nothing is learnt (a clock's grain)
)

// Class is what a pool needs to know of its class.
type Class struct {
	Name     string
	Cheapest bool // the reserve is for it
}

// Config is what pools are made of.
type Config struct {
	Classes       []Class
	InitialLimit  float64 // each pool's first limit; 0 for 4
	MaxLimit      float64 // no pool's limit goes beyond; 0 for 1,000
	ReservedSlots int     // slots that only the cheapest class may take, beyond its pool's limit
}

// Pools are the pools of one server. They are not safe for concurrent use:
// one goroutine, the core's, owns them.
type Pools struct {
	cfg   Config
	pools []*pool
	items map[item]int // runs of a read that are in hand, by class and what it reads
	spare int          // reserve slots in use
}

// item is a read by what it is about: copies of it are one load.
type item struct {
	class int
	of    string
}

type pool struct {
	limit    float64
	inFlight int // runs that hold a slot of this pool, borrowed ones among them
	borrowed int // of those, slots that other pools do not use
	least    float64
	short    float64 // mean latency of late, in nanoseconds
	queued   bool    // its latencies show runs that wait: it must not borrow
	samples  int
	line     []waiting // in the order in which the module began them
}

type waiting struct {
	id    string
	since time.Duration
}

// Permit is what a run holds: give it back to Release.
type Permit struct {
	class    int
	borrowed bool
	reserved bool
	copy     bool // of a read that is in hand: it holds no slot, and its latency is not learnt
	of       string
}

// ErrConfig names a configuration that makes no sense.
var ErrConfig = errors.New("limits: configuration")

// New makes pools, one a class.
func New(cfg Config) (*Pools, error) {
	if len(cfg.Classes) == 0 {
		return nil, fmt.Errorf("%w: no classes", ErrConfig)
	}
	if cfg.InitialLimit == 0 {
		cfg.InitialLimit = 4
	}
	if cfg.MaxLimit == 0 {
		cfg.MaxLimit = 1000
	}
	if cfg.InitialLimit < leastLimit || cfg.MaxLimit < cfg.InitialLimit || cfg.ReservedSlots < 0 {
		return nil, fmt.Errorf("%w: start %v, most %v, reserve %d", ErrConfig, cfg.InitialLimit, cfg.MaxLimit, cfg.ReservedSlots)
	}
	p := &Pools{cfg: cfg, items: map[item]int{}}
	for range cfg.Classes {
		p.pools = append(p.pools, &pool{limit: cfg.InitialLimit})
	}
	return p, nil
}

// Capacity gives a class's pool's limit.
func (p *Pools) Capacity(class int) float64 { return p.pools[class].limit }

// InUse gives the runs that hold a slot of a class's pool.
func (p *Pools) InUse(class int) int { return p.pools[class].inFlight }

// Queued gives the runs in a class's pool's line.
func (p *Pools) Queued(class int) int { return len(p.pools[class].line) }

// TryAcquire asks for a slot for a run of a class, about an item (empty for a
// write or where it is not told). It gives a ticket and true where the run may
// begin now; false where it must wait in its pool's line (Wait) or be turned away.
func (p *Pools) TryAcquire(class int, of string) (Permit, bool) {
	p.ensure(class)
	if of != "" && p.items[item{class, of}] > 0 { // a copy: the load is the same
		p.items[item{class, of}]++
		return Permit{class: class, copy: true, of: of}, true
	}
	t, ok := p.slot(class)
	if ok && of != "" {
		t.of = of
		p.items[item{class, of}]++
	}
	return t, ok
}

// ensure makes pools up to a class that came after New (new settings): it is not
// the cheapest.
func (p *Pools) ensure(class int) {
	for len(p.pools) <= class {
		p.pools = append(p.pools, &pool{limit: p.cfg.InitialLimit})
		p.cfg.Classes = append(p.cfg.Classes, Class{Name: fmt.Sprint("class ", len(p.cfg.Classes))})
	}
}

// slot takes a slot of the class's pool, another's that is idle, or the reserve.
func (p *Pools) slot(class int) (Permit, bool) {
	own := p.pools[class]
	t := Permit{class: class}
	switch {
	case float64(own.inFlight) < math.Floor(own.limit):
	case !own.queued && p.inHand() < p.room():
		t.borrowed = true
		own.borrowed++
	case p.cfg.Classes[class].Cheapest && p.spare < p.cfg.ReservedSlots:
		t.reserved = true
		p.spare++
		return t, true
	default:
		return t, false
	}
	own.inFlight++
	return t, true
}

// inHand and room are the slots in use and in all the pools, the reserve aside.
func (p *Pools) inHand() (n int) {
	for _, q := range p.pools {
		n += q.inFlight
	}
	return n
}

func (p *Pools) room() (n int) {
	for _, q := range p.pools {
		n += int(math.Floor(q.limit))
	}
	return n
}

// Enqueue puts a run that could not begin in its pool's line, unless it would wait
// and run longer than its patience: then it gives false, and the run is to be
// turned away. The estimate is the line's length over the limit, and the run
// itself, times the latency of late. now orders the lines, on any clock.
func (p *Pools) Enqueue(class int, id string, now, patience time.Duration) bool {
	q := p.pools[class]
	latency := time.Duration(q.short)
	if q.samples == 0 {
		latency = 0 // nothing is known yet: it waits
	}
	ahead := float64(len(q.line)+1)/max(q.limit, leastLimit) + 1
	if time.Duration(ahead*float64(latency)) > patience {
		return false
	}
	q.line = append(q.line, waiting{id, now})
	return true
}

// Cancel takes a run out of its pool's line: it was answered, or stopped, before
// it began.
func (p *Pools) Cancel(class int, id string) {
	q := p.pools[class]
	for i, w := range q.line {
		if w.id == id {
			q.line = append(q.line[:i], q.line[i+1:]...)
			return
		}
	}
}

// Release gives back a run's slot, with how long it ran and whether it ended
// well (a run that failed fast says nothing of the latency), and gives the runs
// that may begin now, from the lines, each with its ticket.
func (p *Pools) Release(t Permit, took time.Duration, good bool) (next []Admitted) {
	if t.of != "" {
		k := item{t.class, t.of}
		if p.items[k]--; p.items[k] <= 0 {
			delete(p.items, k)
		}
	}
	if t.copy {
		return nil
	}
	q := p.pools[t.class]
	switch {
	case t.reserved:
		p.spare--
	default:
		q.inFlight--
		if t.borrowed {
			q.borrowed--
		}
	}
	if good && took > 0 {
		q.learn(float64(took), p.cfg.MaxLimit, len(q.line) > 0 || float64(q.inFlight+1) >= q.limit/2)
	}
	return p.admitWaiting()
}

// Admitted is a run that may begin now.
type Admitted struct {
	ID     string
	Permit Permit
}

// admitWaiting takes runs from the lines while there are slots: each pool's own
// first, then any that may borrow, the longest waiting first.
func (p *Pools) admitWaiting() (next []Admitted) {
	for {
		best := -1
		for c, q := range p.pools {
			if len(q.line) == 0 {
				continue
			}
			if best < 0 || q.line[0].since < p.pools[best].line[0].since {
				own := float64(q.inFlight) < math.Floor(q.limit)
				if own || !q.queued && p.inHand() < p.room() || p.cfg.Classes[c].Cheapest && p.spare < p.cfg.ReservedSlots {
					best = c
				}
			}
		}
		if best < 0 {
			return next
		}
		q := p.pools[best]
		t, ok := p.slot(best)
		if !ok {
			return next
		}
		next = append(next, Admitted{q.line[0].id, t})
		q.line = q.line[1:]
	}
}

// learn takes in a latency, in nanoseconds, and moves the limit. A pool that
// used less than half of its limit says nothing of whether more would do, and
// does not grow (as the library guards against a limit that only grows).
func (q *pool) learn(took, most float64, busy bool) {
	if took < noWait*float64(time.Second) {
		return
	}
	if q.samples == 0 {
		q.least, q.short = took, took
	}
	q.samples++
	q.short += shortWeight * (took - q.short)
	q.least = min(q.least*(1+creep), q.short)
	queue := q.limit * (1 - q.least/q.short)
	scale := max(1, math.Log10(q.limit))
	q.queued = queue >= alpha*scale
	switch {
	case queue < alpha*scale && busy:
		q.limit += min(mostStep, scale/q.limit)
	case queue > beta*scale:
		q.limit -= min(mostStep, scale/q.limit)
	}
	q.limit = min(most, max(leastLimit, q.limit))
}
