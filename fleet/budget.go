package fleet

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	mathrand "math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/fleet/quota"
)

const (
	budgetTick  = 100 * time.Millisecond
	ordersAgain = time.Second // after orders were sent, until others are while they have not come back
)

// newLife draws the number of a life of this process.
func newLife() uint64 {
	var b [8]byte
	rand.Read(b[:]) // never fails (crypto/rand)
	return binary.BigEndian.Uint64(b[:])>>1 + 1
}

// The fleet's budgets.
const (
	Calls   = "calls"   // in hand at the shared dependency
	Repeats = "repeats" // made in any second
)

// Budget is this member's part of what the whole fleet may have in hand of some
// kind (package quota). Its methods are safe for concurrent use.
type Budget struct {
	kind   string
	news   byte // first byte of its pieces of news
	ask    byte // and of what is asked of it
	name   string
	timing quota.Timing
	total  uint64
	log    *slog.Logger
	clock  func() time.Duration
	tell   func(about string, piece []byte)
	send   func(to string, piece []byte)
	alive  func() []string // all members that are thought to be alive
	voters func() []string // those of them that may keep the bank

	mu     sync.Mutex
	member *quota.Member
	keeper *quota.AllocatorLeader // while this process owns the lease Bank
	token  lease.Token            // under which
	asked  time.Duration          // when orders were sent that have not come back yet; 0 for none
	freed  func()
	ticked func(may uint64)
	counts map[string]uint64 // counted since the last tick
}

func newBudget(kind string, news, ask byte, total uint64, timing quota.Timing, f *Fleet, clock func() time.Duration) (*Budget, error) {
	b := &Budget{kind: kind, news: news, ask: ask, alive: f.alive, voters: f.voters, name: f.conf.Self, total: total, log: f.log, clock: clock, tell: f.tell, send: f.send,
		freed: func() {}, ticked: func(uint64) {}, timing: timing, counts: map[string]uint64{}}
	return b, b.begin()
}

// begin begins a new life, which holds nothing yet. The lock is held, or not needed.
func (b *Budget) begin() error {
	life := newLife()
	m, err := quota.NewMember(quota.ID{Member: b.name, Incarnation: life}, b.timing, mathrand.New(mathrand.NewPCG(life, 1)))
	if err != nil {
		return fmt.Errorf("fleet: budget: %w", err)
	}
	if b.member != nil { // what it knew of the others holds
		for _, i := range items(b.member.State()) {
			m.Merge(i)
		}
	}
	b.member = m
	return nil
}

func items(s quota.State) (out []quota.Delta) {
	for id, r := range s.Members {
		out = append(out, quota.Delta{ID: id, MemberState: r})
	}
	for id, a := range s.Accounts {
		out = append(out, quota.Delta{ID: id, Account: a})
	}
	return out
}

// Take asks for one more call in hand. put gives it back, once, when the call
// is over or can't be at the dependency any more; that has to be within the
// configuration's Hold.
func (b *Budget) Take() (put func(), ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.member // a call goes back to the life that took it
	if !m.TryAcquire(b.clock()) {
		return nil, false
	}
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		m.Release()
	}, true
}

// OnFreed has f called, from another goroutine, whenever there may be more to take.
func (b *Budget) OnFreed(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.freed = f
}

// OnTick has f called, from another goroutine, ten times a second, with how many
// this member may have in hand: none where it has heard nothing for too long.
func (b *Budget) OnTick(f func(may uint64)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ticked = f
}

// Want tells how many the member would have in hand if only it might.
func (b *Budget) Want(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.member.ReportDemand(uint64(max(0, n)))
}

// Count adds one to a count of the whole fleet's.
func (b *Budget) Count(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts[name]++
}

// Counted is what all members have counted, as far as this one has heard.
func (b *Budget) Counted(name string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.member.State().CounterValue(name)
}

// Rights is how many calls this member may have in hand now, and how many it has.
func (b *Budget) Rights() (rights, used uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.member.Rights(), b.member.InUse()
}

// unpack reads a piece of news; what makes no sense is passed over.
func unpack[T any](log *slog.Logger, piece []byte) (v T, ok bool) {
	if err := cbor.Unmarshal(piece, &v); err != nil {
		log.Debug("fleet_news_unreadable", "bytes", len(piece))
		return v, false
	}
	return v, true
}

// heard takes in a piece of news.
func (b *Budget) heard(piece []byte) (about string, news bool) {
	i, ok := unpack[quota.Delta](b.log, piece)
	if !ok {
		return "", false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_, news = b.member.Merge(i)
	return b.about(i), news
}

// heardAsk takes in that another member asks for rights.
func (b *Budget) heardAsk(piece []byte) {
	a, ok := unpack[quota.TransferRequest](b.log, piece)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.member.HandleRequest(a)
}

// askFor asks some others for rights: those named, and the rest drawn.
func (b *Budget) askFor(a quota.TransferRequest, of []quota.ID) {
	piece, err := cbor.Marshal(a)
	if err != nil {
		b.log.Error("fleet_share", "error", err.Error())
		return
	}
	others := slices.DeleteFunc(b.alive(), func(name string) bool { return name == b.name })
	for n := range min(quota.RequestFanout, len(others)) {
		i := mathrand.IntN(len(others))
		if n < len(of) {
			if i = slices.Index(others, of[n].Member); i < 0 {
				continue
			}
		}
		b.send(others[i], append([]byte{b.ask}, piece...))
		others = slices.Delete(others, i, i+1)
	}
}

// sendTo tells each member what is its own alone.
func (b *Budget) sendTo(is []quota.Delta) {
	for _, i := range is {
		if piece := b.pack(i); piece != nil && i.ID.Member != b.name {
			b.send(i.ID.Member, piece)
		}
	}
}

// about names what an item is about: the next of the same name is later.
func (b *Budget) about(i quota.Delta) string {
	if i.MemberState != nil {
		return b.kind + " row " + i.ID.String()
	}
	return b.kind + " account " + i.ID.String()
}

// latest gives all that is known, for those who join.
func (b *Budget) latest() (out [][]byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, i := range items(b.member.State()) {
		if piece := b.pack(i); piece != nil {
			out = append(out, piece)
		}
	}
	return out
}

// pack gives an item as a piece of news; nil where that fails, which the log
// tells.
func (b *Budget) pack(i quota.Delta) []byte {
	piece, err := cbor.Marshal(i)
	if err != nil {
		b.log.Error("fleet_share", "error", err.Error())
		return nil
	}
	return append([]byte{b.news}, piece...)
}

// spread tells the others, outside the lock.
func (b *Budget) spread(is []quota.Delta) {
	for _, i := range is {
		if piece := b.pack(i); piece != nil {
			b.tell(b.about(i), piece)
		}
	}
}

// changed takes in accounts that the log changed: all are told who was fenced,
// and each other member of its own.
func (b *Budget) changed(is []quota.Delta) {
	b.mu.Lock()
	b.asked = 0
	for _, i := range is {
		b.member.Merge(i)
	}
	b.mu.Unlock()
	b.spread(slices.DeleteFunc(slices.Clone(is), func(i quota.Delta) bool { return !i.Account.Fenced }))
	b.sendTo(slices.DeleteFunc(is, func(i quota.Delta) bool { return i.Account.Fenced }))
}

// tick has the member speak, and the keeper decide where this process owns the
// bank; it gives the keeper's orders for the log.
func (b *Budget) tick(m *machine) [][]byte {
	var acks []quota.Delta
	var orders []quota.Command
	b.mu.Lock()
	now := b.clock()
	for name, n := range b.counts {
		b.member.AddToCounter(name, n, 0)
	}
	clear(b.counts)
	if b.member.Fenced() {
		b.log.Warn("fleet_share_fenced", "of", b.kind, "member", b.name)
		if err := b.begin(); err != nil {
			b.log.Error("fleet_share", "error", err.Error())
		}
	}
	said := b.member.Tick(now)
	token, keeps := lease.Token{}, false
	if m != nil {
		token, keeps = m.holds(Bank)
	}
	switch {
	case !keeps:
		b.keeper = nil
	case b.keeper == nil || b.token != token:
		b.keeper, b.token, b.asked = quota.NewAllocatorLeader(b.total, b.timing, now), token, 0
	}
	if b.keeper != nil {
		m.mu.Lock()
		var asked []quota.Command
		asked, acks = b.keeper.Tick(now, b.member.State(), m.banks[b.kind])
		m.mu.Unlock()
		for _, a := range acks {
			b.member.Merge(a)
		}
		if len(asked) > 0 && (b.asked == 0 || now-b.asked >= ordersAgain) {
			orders, b.asked = asked, now
		}
	}
	freed, ticked, may := b.freed, b.ticked, b.member.Available(now)
	b.mu.Unlock()
	if said.Broadcast != nil {
		if piece := b.pack(*said.Broadcast); piece != nil {
			b.tell(b.about(*said.Broadcast), piece)
			for _, to := range b.voters() { // the keeper hears beats soon
				if to != b.name {
					b.send(to, piece)
				}
			}
		}
	}
	b.sendTo(acks)
	if said.Request != nil {
		b.askFor(*said.Request, said.RequestTo)
	}
	for _, g := range said.Transfers {
		if piece := b.pack(g.Delta); piece != nil {
			b.send(g.To.Member, piece)
		}
	}
	freed()
	ticked(may)
	var commands []command
	for _, o := range orders {
		commands = append(commands, command{Bank: &bankOrder{b.kind, token, o}})
	}
	return encode(b.log, commands...)
}
