package dispatch

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
		a.bodyHash = binary.BigEndian.Uint64(sum[:])
		if !c.keys.Matches(a.keyAttempt(), c.sameRequestClass) { // its result is not for this caller
			c.respond(a, Outcome{Kind: Rejected})
			return
		}
		a.entry, earlier = c.keys.Register(a.keyAttempt())
	}
	r := decision.Request{
		ID: a.ID, Class: a.classIndex, Tenant: a.tenantIndex, CacheKey: a.CacheKey, ReservedKB: a.ReservedKB, Rank: a.Rank, Caller: a.Caller,
		Write: a.classSettings.Effect != decision.Idempotent, Waited: c.now - a.readAfter, DuplicateOf: earlier,
	}
	c.transition(a, stateQueued)
	if a.deadline != a.readAfter+a.classSettings.Deadline { // the caller said that it waits less, or its time began before
		r.Deadline = a.deadline
	}
	c.module.RequestReceived(c.now, r)
}

// CancelRequest tells that a caller no longer waits for the request that it handed in with
// a sink. No answer is owed. The sink keeps others from taking it back by its id.
func (c *Core) CancelRequest(id string, s Responder) {
	c.enqueue(func() {
		if a := c.unansweredAttempt(id, s); a != nil {
			c.abandonAttempt(a)
		}
	})
}

// CallerDisconnected tells that the caller's connection has ended. No answer is owed, but it may
// ask again: a keyed run goes on, so that there is a result for it then, as it
// must not run a second time.
func (c *Core) CallerDisconnected(id string, s Responder) {
	c.enqueue(func() {
		a := c.unansweredAttempt(id, s)
		switch {
		case a == nil:
		case a.entry != nil && a.state.started():
			a.answered = true // the module hears of its end as of any run's
			c.inFlight.Add(-1)
		default:
			c.abandonAttempt(a)
		}
	})
}

// unansweredAttempt gives the attempt that was handed in with a sink, if it has no answer.
func (c *Core) unansweredAttempt(id string, s Responder) *attempt {
	if a := c.attempts[id]; a != nil && !a.answered && a.Responder == s {
		return a
	}
	return nil
}

func (c *Core) abandonAttempt(a *attempt) {
	a.answered = true
	c.inFlight.Add(-1)
	if c.module != nil {
		c.module.CallerGone(c.now, a.ID)
	}
	c.removeIfDone(a)
}

// host carries out the module's actions.
type host struct{ *Core }

// Shed turns a request away, at once.
func (h host) Shed(id string, stayAway time.Duration, last bool) {
	if a := h.attempts[id]; a != nil {
		if err := guard.MayShed(a.shedFacts()); err != nil { // an effect that may have been had is never denied
			h.options.Monitor.Denied(guard.ShedAfterRun, err, id)
			h.respond(a, h.failure(a))
			return
		}
		h.respond(a, Outcome{Kind: Shed, RetryAfter: stayAway, NoRetryElsewhere: last})
	}
}

// Fail answers a request with an error, at once.
func (h host) Fail(id string) {
	if a := h.attempts[id]; a != nil {
		h.respond(a, h.failure(a))
	}
}

func (c *Core) failure(a *attempt) Outcome {
	if c.now+c.settings.DeadlineSlack >= a.deadline {
		return Outcome{Kind: TimedOut}
	}
	return Outcome{Kind: Failed}
}

// SetHealth says how checks are answered.
func (h host) SetHealth(on, cached bool) { h.setHealth(on, cached) }

// PublishLoad changes the free value.
func (h host) PublishLoad(value float64) {
	if h.settings.LoadReportMode != decision.LoadReportNone {
		h.loadReport.Store(&value)
	}
}

// SetIdleTimeout says how long connections may idle.
func (h host) SetIdleTimeout(after time.Duration) {
	if h.options.Connections != nil {
		h.options.Connections.SetIdleTimeout(after)
	}
}

// SetTimer sets a timer.
func (h host) SetTimer(after time.Duration, token int64) { h.scheduleTick(after, token) }
