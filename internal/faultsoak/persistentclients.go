package faultsoak

import (
	"context"
	"math/rand/v2"
	"time"
)

// Clients that don't stop when the node sends the message leaving: they use a connection
// until the node closes it.

// pipelineUntilClosed keeps up to maxOpenRequests open until the connection is closed.
func pipelineUntilClosed(ctx context.Context, group *clientGroup, c *Client, rng *rand.Rand) {
	pipeline(ctx, group, c, rng, func() bool { return true })
}

// reconnectPerRequest sends one request on each connection and then reconnects at once. On
// some connections it first waits until the node closes them, for at most idleTimeout.
func reconnectPerRequest(ctx context.Context, group *clientGroup, c *Client, rng *rand.Rand) {
	if _, err := c.Send(group.newRequest(rng)); err != nil {
		return
	}
	c.awaitAnswersOrTimeout()
	if rng.IntN(4) == 0 {
		select {
		case <-ctx.Done():
		case <-c.Done():
		case <-time.After(idleTimeout):
		}
	}
}

// crowdClient is one client of a crowd: it sends up to three requests and then keeps the
// connection for a while.
func crowdClient(ctx context.Context, group *clientGroup, c *Client, rng *rand.Rand) {
	for range 1 + rng.IntN(3) {
		if _, err := c.Send(group.newRequest(rng)); err != nil {
			return
		}
		if !sleep(ctx, randomDuration(rng, 0, 300*time.Millisecond)) {
			return
		}
	}
	c.awaitAnswersOrTimeout()
	select {
	case <-ctx.Done():
	case <-c.Done():
	case <-time.After(randomDuration(rng, 0, 2*time.Second)):
	}
}

// maxBadMessages is the number of bad messages that sendBadMessages sends on a connection.
// It is below the number at which the node closes the connection.
const maxBadMessages = 40

// sendBadMessages sends requests with bad messages between them.
func sendBadMessages(ctx context.Context, group *clientGroup, c *Client, rng *rand.Rand) {
	sent := 0
	for sleep(ctx, randomDuration(rng, time.Millisecond, 60*time.Millisecond)) {
		if _, err := c.Send(group.newRequest(rng)); err != nil {
			return
		}
		if sent < maxBadMessages && rng.IntN(4) == 0 {
			sent++
			bad := badMessages[rng.IntN(len(badMessages))]
			if c.WriteRaw(bad.Append(c.NextSeq(bad.TakesSeq))) != nil {
				return
			}
		}
		if c.Open() >= maxOpenRequests || sent == maxBadMessages {
			c.awaitAnswersOrTimeout()
		}
		if sent == maxBadMessages {
			return
		}
	}
}

// maxRecentOffset is the number of recent requests from which reuseRequestIDs picks an ID.
const maxRecentOffset = 20

// reuseRequestIDs sends requests with the IDs of recent requests, often of other clients,
// and cancels some of them. It closes or resets the connection without using the answers.
func reuseRequestIDs(ctx context.Context, group *clientGroup, c *Client, rng *rand.Rand) {
	for range 1 + rng.IntN(6) {
		if !sleep(ctx, randomDuration(rng, 0, 30*time.Millisecond)) {
			return
		}
		spec := group.newRequest(rng)
		spec.Fields = map[string]string{"txn": group.history.recentID(rng.IntN(maxRecentOffset))}
		r, err := c.Send(spec)
		if err != nil {
			return
		}
		if rng.IntN(3) == 0 {
			c.Cancel(r)
		}
	}
	if rng.IntN(2) == 0 {
		c.Reset()
	}
}
