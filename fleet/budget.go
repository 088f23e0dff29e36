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
	quotaTickInterval = 100 * time.Millisecond
	proposeAgainAfter = time.Second // after orders were sent, until others are while they have not come back
)

// newIncarnation draws the number of a life of this process.
func newIncarnation() uint64 {
	var b [8]byte
	rand.Read(b[:]) // never fails (crypto/rand)
	return binary.BigEndian.Uint64(b[:])>>1 + 1
}

// The fleet's budgets.
const (
	Calls   = "calls"   // in hand at the shared dependency
	Repeats = "repeats" // made in any second
)

// QuotaAgent is this member's part of what the whole fleet may have in hand of some
// kind (package quota). Its methods are safe for concurrent use.
type QuotaAgent struct {
	kind        string
	updateKind  byte // first byte of its pieces of news
	requestKind byte // and of what is asked of it
	name        string
	timing      quota.Timing
	total       uint64
	log         *slog.Logger
	clock       func() time.Duration
	broadcast   func(about string, piece []byte)
	send        func(to string, piece []byte)
	alive       func() []string // all members that are thought to be alive
	voters      func() []string // those of them that may keep the bank

	mu          sync.Mutex
	member      *quota.Member
	leader      *quota.AllocatorLeader // while this process owns the lease Bank
	token       lease.Token            // under which
	proposedAt  time.Duration          // when orders were sent that have not come back yet; 0 for none
	onRelease   func()
	onAvailable func(may uint64)
	counts      map[string]uint64 // counted since the last tick
}

func newQuotaAgent(kind string, news, ask byte, total uint64, timing quota.Timing, f *Fleet, clock func() time.Duration) (*QuotaAgent, error) {
	b := &QuotaAgent{kind: kind, updateKind: news, requestKind: ask, alive: f.aliveMembers, voters: f.aliveVoters, name: f.config.Self, total: total, log: f.log, clock: clock, broadcast: f.broadcast, send: f.send,
		onRelease: func() {}, onAvailable: func(uint64) {}, timing: timing, counts: map[string]uint64{}}
	return b, b.startIncarnation()
}

// startIncarnation begins a new life, which holds nothing yet. The lock is held, or not needed.
func (b *QuotaAgent) startIncarnation() error {
	life := newIncarnation()
	m, err := quota.NewMember(quota.ID{Member: b.name, Incarnation: life}, b.timing, mathrand.New(mathrand.NewPCG(life, 1)))
	if err != nil {
		return fmt.Errorf("fleet: budget: %w", err)
	}
	if b.member != nil { // what it knew of the others holds
		for _, i := range stateDeltas(b.member.State()) {
			m.Merge(i)
		}
	}
	b.member = m
	return nil
}

func stateDeltas(s quota.State) (out []quota.Delta) {
	for id, r := range s.Members {
		out = append(out, quota.Delta{ID: id, MemberState: r})
	}
	for id, a := range s.Accounts {
		out = append(out, quota.Delta{ID: id, Account: a})
	}
	return out
}

// TryAcquire asks for one more call in hand. put gives it back, once, when the call
// is over or can't be at the dependency any more; that has to be within the
// configuration's Hold.
func (b *QuotaAgent) TryAcquire() (put func(), ok bool) {
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

// OnRelease has f called, from another goroutine, whenever there may be more to take.
func (b *QuotaAgent) OnRelease(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onRelease = f
}

// OnAvailable has f called, from another goroutine, ten times a second, with how many
// this member may have in hand: none where it has heard nothing for too long.
func (b *QuotaAgent) OnAvailable(f func(may uint64)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onAvailable = f
}

// ReportDemand tells how many the member would have in hand if only it might.
func (b *QuotaAgent) ReportDemand(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.member.ReportDemand(uint64(max(0, n)))
}

// AddToCounter adds one to a count of the whole fleet's.
func (b *QuotaAgent) AddToCounter(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts[name]++
}

// CounterValue is what all members have counted, as far as this one has heard.
func (b *QuotaAgent) CounterValue(name string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.member.State().CounterValue(name)
}

// Usage is how many calls this member may have in hand now, and how many it has.
func (b *QuotaAgent) Usage() (rights, used uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.member.Rights(), b.member.InUse()
}

// decodeUpdate reads a piece of news; what makes no sense is passed over.
func decodeUpdate[T any](log *slog.Logger, piece []byte) (v T, ok bool) {
	if err := cbor.Unmarshal(piece, &v); err != nil {
		log.Debug("fleet_news_unreadable", "bytes", len(piece))
		return v, false
	}
	return v, true
}

// mergeUpdate takes in a piece of news.
func (b *QuotaAgent) mergeUpdate(piece []byte) (about string, news bool) {
	i, ok := decodeUpdate[quota.Delta](b.log, piece)
	if !ok {
		return "", false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_, news = b.member.Merge(i)
	return b.updateName(i), news
}

// handleRequest takes in that another member asks for rights.
func (b *QuotaAgent) handleRequest(piece []byte) {
	a, ok := decodeUpdate[quota.TransferRequest](b.log, piece)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.member.HandleRequest(a)
}

// requestTransfer asks some others for rights: those named, and the rest drawn.
func (b *QuotaAgent) requestTransfer(a quota.TransferRequest, of []quota.ID) {
	piece, err := cbor.Marshal(a)
	if err != nil {
		b.log.Error("quota_encode_failed", "error", err.Error())
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
		b.send(others[i], append([]byte{b.requestKind}, piece...))
		others = slices.Delete(others, i, i+1)
	}
}

// sendToOwners tells each member what is its own alone.
func (b *QuotaAgent) sendToOwners(is []quota.Delta) {
	for _, i := range is {
		if piece := b.encodeUpdate(i); piece != nil && i.ID.Member != b.name {
			b.send(i.ID.Member, piece)
		}
	}
}

// updateName names what an item is updateName: the next of the same name is later.
func (b *QuotaAgent) updateName(i quota.Delta) string {
	if i.MemberState != nil {
		return b.kind + " row " + i.ID.String()
	}
	return b.kind + " account " + i.ID.String()
}

// encodedUpdates gives all that is known, for those who join.
func (b *QuotaAgent) encodedUpdates() (out [][]byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, i := range stateDeltas(b.member.State()) {
		if piece := b.encodeUpdate(i); piece != nil {
			out = append(out, piece)
		}
	}
	return out
}

// encodeUpdate gives an item as a piece of news; nil where that fails, which the log
// tells.
func (b *QuotaAgent) encodeUpdate(i quota.Delta) []byte {
	piece, err := cbor.Marshal(i)
	if err != nil {
		b.log.Error("quota_encode_failed", "error", err.Error())
		return nil
	}
	return append([]byte{b.updateKind}, piece...)
}

// broadcastAll tells the others, outside the lock.
func (b *QuotaAgent) broadcastAll(is []quota.Delta) {
	for _, i := range is {
		if piece := b.encodeUpdate(i); piece != nil {
			b.broadcast(b.updateName(i), piece)
		}
	}
}

// mergeAccounts takes in accounts that the log mergeAccounts: all are told who was fenced,
// and each other member of its own.
func (b *QuotaAgent) mergeAccounts(is []quota.Delta) {
	b.mu.Lock()
	b.proposedAt = 0
	for _, i := range is {
		b.member.Merge(i)
	}
	b.mu.Unlock()
	b.broadcastAll(slices.DeleteFunc(slices.Clone(is), func(i quota.Delta) bool { return !i.Account.Fenced }))
	b.sendToOwners(slices.DeleteFunc(is, func(i quota.Delta) bool { return i.Account.Fenced }))
}

// tick has the member speak, and the keeper decide where this process owns the
// bank; it gives the keeper's orders for the log.
func (b *QuotaAgent) tick(m *stateMachine) [][]byte {
	var acks []quota.Delta
	var orders []quota.Command
	b.mu.Lock()
	now := b.clock()
	for name, n := range b.counts {
		b.member.AddToCounter(name, n, 0)
	}
	clear(b.counts)
	if b.member.Fenced() {
		b.log.Warn("quota_member_fenced", "budget", b.kind, "member", b.name)
		if err := b.startIncarnation(); err != nil {
			b.log.Error("quota_member_start_failed", "error", err.Error())
		}
	}
	said := b.member.Tick(now)
	token, keeps := lease.Token{}, false
	if m != nil {
		token, keeps = m.holds(QuotaLease)
	}
	switch {
	case !keeps:
		b.leader = nil
	case b.leader == nil || b.token != token:
		b.leader, b.token, b.proposedAt = quota.NewAllocatorLeader(b.total, b.timing, now), token, 0
	}
	if b.leader != nil {
		m.mu.Lock()
		var asked []quota.Command
		asked, acks = b.leader.Tick(now, b.member.State(), m.allocators[b.kind])
		m.mu.Unlock()
		for _, a := range acks {
			b.member.Merge(a)
		}
		if len(asked) > 0 && (b.proposedAt == 0 || now-b.proposedAt >= proposeAgainAfter) {
			orders, b.proposedAt = asked, now
		}
	}
	freed, ticked, may := b.onRelease, b.onAvailable, b.member.Available(now)
	b.mu.Unlock()
	if said.Broadcast != nil {
		if piece := b.encodeUpdate(*said.Broadcast); piece != nil {
			b.broadcast(b.updateName(*said.Broadcast), piece)
			for _, to := range b.voters() { // the keeper hears beats soon
				if to != b.name {
					b.send(to, piece)
				}
			}
		}
	}
	b.sendToOwners(acks)
	if said.Request != nil {
		b.requestTransfer(*said.Request, said.RequestTo)
	}
	for _, g := range said.Transfers {
		if piece := b.encodeUpdate(g.Delta); piece != nil {
			b.send(g.To.Member, piece)
		}
	}
	freed()
	ticked(may)
	var commands []command
	for _, o := range orders {
		commands = append(commands, command{Quota: &quotaCommand{b.kind, token, o}})
	}
	return encodeCommands(b.log, commands...)
}
