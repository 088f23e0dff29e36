package faultsoak

import (
	"context"
	"math/rand/v2"
	"time"
)

// Clients that go on using what they have until it is taken from them, whatever they are
// told.

// persistent has many requests open at a time, whatever it is told, until its connection
// ends.
func persistent(ctx context.Context, p *population, c *Client, rng *rand.Rand) {
	pipeline(ctx, p, c, rng, func() bool { return true })
}

// knocking asks once on each of its connections, and comes with the next one at once. Some
// stay until they are ended.
func knocking(ctx context.Context, p *population, c *Client, rng *rand.Rand) {
	if _, err := c.Send(p.ask(rng)); err != nil {
		return
	}
	c.awaitAnswersOrTimeout()
	if rng.IntN(4) == 0 {
		select {
		case <-ctx.Done():
		case <-c.Done():
		case <-time.After(restTimeout):
		}
	}
}

// asking is one of a crowd: it comes at any time, asks some times and stays for a while.
func asking(ctx context.Context, p *population, c *Client, rng *rand.Rand) {
	for range 1 + rng.IntN(3) {
		if _, err := c.Send(p.ask(rng)); err != nil {
			return
		}
		if !pause(ctx, between(rng, 0, 300*time.Millisecond)) {
			return
		}
	}
	c.awaitAnswersOrTimeout()
	select {
	case <-ctx.Done():
	case <-c.Done():
	case <-time.After(between(rng, 0, 2*time.Second)):
	}
}

// maxNoise is how often a noisy client sends what is no message: fewer than have its
// connection ended.
const maxNoise = 40

// noisy sends requests, and what is no message between them.
func noisy(ctx context.Context, p *population, c *Client, rng *rand.Rand) {
	noise := 0
	for pause(ctx, between(rng, time.Millisecond, 60*time.Millisecond)) {
		if _, err := c.Send(p.ask(rng)); err != nil {
			return
		}
		if noise < maxNoise && rng.IntN(4) == 0 {
			noise++
			bad := badMessages[rng.IntN(len(badMessages))]
			if c.WriteRaw(bad.Append(c.NextSeq(bad.Counts))) != nil {
				return
			}
		}
		if c.Open() >= pipelined || noise == maxNoise {
			c.awaitAnswersOrTimeout()
		}
		if noise == maxNoise {
			return
		}
	}
}

// recentRequests is among how many of the last requests a borrowing client picks.
const recentRequests = 20

// borrowing sends requests under ids that others use, takes back requests under numbers that
// it never had, and leaves. Its own answers are of no interest.
func borrowing(ctx context.Context, p *population, c *Client, rng *rand.Rand) {
	for range 1 + rng.IntN(6) {
		if !pause(ctx, between(rng, 0, 30*time.Millisecond)) {
			return
		}
		a := p.ask(rng)
		a.Fields = map[string]string{"txn": p.history.recent(rng.IntN(recentRequests))}
		r, err := c.Send(a)
		if err != nil {
			return
		}
		if rng.IntN(3) == 0 {
			c.GiveUp(r)
		}
	}
	if rng.IntN(2) == 0 {
		c.Reset()
	}
}
