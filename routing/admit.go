package routing

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/guard"
)

// Admit: the module hears of a request, and says if it is turned away.

func (c *Core) admit(a *attempt) {
	earlier := ""
	if a.Key != "" {
		sum := sha256.Sum256(a.Payload.Body) // the same in every process, and none can be made to fit
		a.body = binary.BigEndian.Uint64(sum[:])
		if !c.keys.matches(a, c.kin) { // its result is not for this caller
			c.answer(a, Outcome{Kind: Rejected})
			return
		}
		earlier = c.keys.enter(a)
	}
	r := decision.Request{
		ID: a.ID, Class: a.class, Tenant: a.tenant, Key: a.Item, HeldKB: a.HeldKB, Rank: a.Rank, From: a.Caller,
		Write: a.kind.Effect != decision.Safe, Waited: c.now - a.came, Earlier: earlier,
	}
	if a.due != a.came+a.kind.Deadline { // the caller said that it waits less, or its time began before
		r.Due = a.due
	}
	c.module.Request(c.now, r)
}

// Gone tells that a caller no longer waits for the request that it handed in with
// a sink. No answer is owed. The sink keeps others from taking it back by its id.
func (c *Core) Gone(id string, s Sink) {
	c.post(func() {
		if a := c.waiting(id, s); a != nil {
			c.gone(a)
		}
	})
}

// Lost tells that the caller's connection has ended. No answer is owed, but it may
// ask again: a keyed run goes on, so that there is a result for it then, as it
// must not run a second time.
func (c *Core) Lost(id string, s Sink) {
	c.post(func() {
		a := c.waiting(id, s)
		switch {
		case a == nil:
		case a.entry != nil && a.begun:
			a.answered = true // the module hears of its end as of any run's
			c.open.Add(-1)
		default:
			c.gone(a)
		}
	})
}

// waiting gives the attempt that was handed in with a sink, if it has no answer.
func (c *Core) waiting(id string, s Sink) *attempt {
	if a := c.attempts[id]; a != nil && !a.answered && a.Sink == s {
		return a
	}
	return nil
}

func (c *Core) gone(a *attempt) {
	a.answered = true
	c.open.Add(-1)
	if c.module != nil {
		c.module.Gone(c.now, a.ID)
	}
	c.release(a)
}

// host carries out the module's actions.
type host struct{ *Core }

// Refuse turns a request away, at once.
func (h host) Refuse(id string, stayAway time.Duration, last bool) {
	if a := h.attempts[id]; a != nil {
		if err := guard.MayShed(a.shedFacts()); err != nil { // an effect that may have been had is never denied
			h.opt.Monitor.Denied(guard.FalsePromise, err, id)
			h.answer(a, h.failure(a))
			return
		}
		h.answer(a, Outcome{Kind: Refused, Later: stayAway, GiveUp: last})
	}
}

// Fail answers a request with an error, at once.
func (h host) Fail(id string) {
	if a := h.attempts[id]; a != nil {
		h.answer(a, h.failure(a))
	}
}

func (c *Core) failure(a *attempt) Outcome {
	if c.now+c.set.AnswerSlack >= a.due {
		return Outcome{Kind: TimedOut}
	}
	return Outcome{Kind: Failed}
}

// Health says how checks are answered.
func (h host) Health(on, cached bool) { h.setHealth(on, cached) }

// Say changes the free value.
func (h host) Say(value float64) {
	if h.set.Say != decision.SayNothing {
		h.said.Store(&value)
	}
}

// CloseIdle says how long connections may idle.
func (h host) CloseIdle(after time.Duration) {
	if h.opt.Connections != nil {
		h.opt.Connections.CloseIdle(after)
	}
}

// Wake sets a timer.
func (h host) Wake(after time.Duration, token int64) { h.wake(after, token) }
