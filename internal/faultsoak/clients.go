package faultsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Times and limits of the clients.
const (
	redialPause      = 30 * time.Millisecond
	clientTimeout    = 15 * time.Second // for the answers to all open requests of a client
	idleTimeout      = 12 * time.Second // for a node to close an idle connection
	maxOpenRequests  = 20               // most open requests on a pipelining connection
	maxQueuedRetries = 64               // most keyed requests that wait for a retry
)

// clientGroup holds what the clients of one node share, and creates their requests.
type clientGroup struct {
	node    *Node
	history *History
	serial  *atomic.Int64 // number of the last request, shared by all nodes
	// retryQueue holds keyed requests that got no answer and are to be retried.
	retryQueue chan RequestSpec
}

// behaviour runs a client on one connection. The caller closes the connection after the
// behaviour returns.
type behaviour func(ctx context.Context, group *clientGroup, c *Client, rng *rand.Rand)

// behaviours lists the clients of each node. The names are the client kinds that
// SoakOptions.Without selects.
var behaviours = []struct {
	name string
	do   behaviour
}{
	{"steady", sendSequentially},
	{"steady", sendSequentially},
	{"steady", sendSequentially},
	{"pipelining", sendPipelined},
	{"slow", sendSlowly},
	{"slow", sendSlowly},
	{"resting", idleAfterRequest},
	{"newcomer", requestAfterDelay},
	{"newcomer", requestAfterDelay},
	{"stubborn", ignoreLeaving},
	{"persistent", pipelineUntilClosed},
	{"persistent", pipelineUntilClosed},
	{"knocking", reconnectPerRequest},
	{"knocking", reconnectPerRequest},
	{"noisy", sendBadMessages},
	{"noisy", sendBadMessages},
	{"borrowing", reuseRequestIDs},
	{"half-closing", halfClose},
	{"giving up", cancelRequests},
	{"spoiling", sendUnframedBytes},
}

// run opens one connection after the other until ctx is done.
func (group *clientGroup) run(ctx context.Context, do behaviour, rng *rand.Rand) {
	for ctx.Err() == nil {
		if !group.runOnce(ctx, do, rng) {
			sleep(ctx, redialPause)
		}
	}
}

// runOnce opens one connection and runs a behaviour on it. It reports whether the node
// accepted the connection.
func (group *clientGroup) runOnce(ctx context.Context, do behaviour, rng *rand.Rand) bool {
	c, err := Dial(group.history, group.node.Name, group.node.Address)
	if err != nil {
		return false
	}
	do(ctx, group, c, rng)
	c.awaitAnswersOrTimeout()
	c.Close()
	return true
}

// sleep waits for d, or until ctx is done. It reports whether d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func randomDuration(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)+1))
}

// newRequest draws a request. Most only run for a while; some call the shared dependency,
// fail, or run until they are cancelled.
func (group *clientGroup) newRequest(rng *rand.Rand) RequestSpec {
	n := group.serial.Add(1)
	word := "page"
	switch draw := rng.IntN(100); {
	case draw < 25:
		word = "call"
	case draw < 28:
		word = "fail"
	case draw < 30:
		word = "hang"
	}
	spec := RequestSpec{Class: SafeClass, Deadline: SafeDeadline, Body: fmt.Sprintf("%s %d", word, n)}
	switch rng.IntN(4) {
	case 0:
		spec.Class, spec.Deadline = HistoryClass, HistoryDeadline
		if word == "call" { // the class makes no downstream calls
			spec.Body = fmt.Sprintf("page %d", n)
		}
	case 1:
		spec.Class, spec.Deadline, spec.Key = KeyedClass, KeyedDeadline, fmt.Sprintf("key-%d", n)
	}
	return spec
}

// nextRequest returns a keyed request from the retry queue, or a new request if it is empty.
func (group *clientGroup) nextRequest(rng *rand.Rand) RequestSpec {
	select {
	case spec := <-group.retryQueue:
		return spec
	default:
		return group.newRequest(rng)
	}
}

// queueRetry adds a keyed request without an answer to the retry queue.
func (group *clientGroup) queueRetry(spec RequestSpec, r *Request) {
	answered := true
	group.history.update(func() { answered = len(r.Answers) > 0 })
	if answered || spec.Key == "" {
		return
	}
	select {
	case group.retryQueue <- spec:
	default: // the retry queue is full
	}
}

// sendSequentially sends a request after the answer to the previous one, and sometimes sends
// a keyed request twice. It stops when the node sends leaving.
func sendSequentially(ctx context.Context, group *clientGroup, c *Client, rng *rand.Rand) {
	for !c.Leaving() && sleep(ctx, randomDuration(rng, 5*time.Millisecond, 60*time.Millisecond)) {
		spec := group.nextRequest(rng)
		r, err := c.Send(spec)
		if err != nil {
			return
		}
		c.awaitAnswersOrTimeout()
		group.queueRetry(spec, r)
		if spec.Key != "" && rng.IntN(3) == 0 && !c.Leaving() {
			if _, err := c.Send(spec); err != nil {
				return
			}
			c.awaitAnswersOrTimeout()
		}
	}
}

// sendPipelined keeps up to maxOpenRequests open until the node sends leaving.
func sendPipelined(ctx context.Context, group *clientGroup, c *Client, rng *rand.Rand) {
	pipeline(ctx, group, c, rng, func() bool { return !c.Leaving() })
}

// pipeline sends requests while may returns true, with up to maxOpenRequests open at a time.
func pipeline(ctx context.Context, group *clientGroup, c *Client, rng *rand.Rand, may func() bool) {
	for may() && sleep(ctx, randomDuration(rng, time.Millisecond, 30*time.Millisecond)) {
		for c.Open() >= maxOpenRequests {
			if !sleep(ctx, time.Millisecond) {
				return
			}
		}
		if _, err := c.Send(group.newRequest(rng)); err != nil {
			return
		}
	}
}

// sendSlowly writes each request in pieces, over up to 1.8 s.
func sendSlowly(ctx context.Context, group *clientGroup, c *Client, rng *rand.Rand) {
	for !c.Leaving() && sleep(ctx, randomDuration(rng, time.Millisecond, 300*time.Millisecond)) {
		spec := group.newRequest(rng)
		spec.Write = writeInPieces(rng, 2+rng.IntN(20), randomDuration(rng, 20*time.Millisecond, 1800*time.Millisecond))
		if _, err := c.Send(spec); err != nil {
			return
		}
		if rng.IntN(2) == 0 {
			c.awaitAnswersOrTimeout()
		}
	}
}

// writeInPieces returns a RequestSpec.Write that cuts a message at random offsets into up to
// n pieces and writes them with equal pauses, within about the time over.
func writeInPieces(rng *rand.Rand, n int, over time.Duration) func(write func([]byte) error, message []byte) error {
	return func(write func([]byte) error, message []byte) error {
		for i := n; i > 0 && len(message) > 0; i-- {
			size := len(message)
			if i > 1 {
				size = min(1+rng.IntN(2*len(message)/i+1), len(message))
			}
			if err := write(message[:size]); err != nil {
				return err
			}
			if message = message[size:]; len(message) > 0 {
				time.Sleep(over / time.Duration(n))
			}
		}
		return nil
	}
}

// idleAfterRequest sends one request and keeps the connection until the node closes it, for
// at most idleTimeout.
func idleAfterRequest(ctx context.Context, group *clientGroup, c *Client, rng *rand.Rand) {
	if _, err := c.Send(group.newRequest(rng)); err != nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-c.Done():
	case <-time.After(idleTimeout):
	}
}

// requestAfterDelay waits on a new connection, then sends one request unless the node has
// sent leaving.
func requestAfterDelay(ctx context.Context, group *clientGroup, c *Client, rng *rand.Rand) {
	if !sleep(ctx, randomDuration(rng, 0, 2600*time.Millisecond)) || c.Leaving() {
		return
	}
	spec := group.newRequest(rng)
	if rng.IntN(2) == 0 {
		spec.Write = writeInPieces(rng, 4, randomDuration(rng, time.Millisecond, 700*time.Millisecond))
	}
	if _, err := c.Send(spec); err != nil {
		return
	}
	c.awaitAnswersOrTimeout()
}

// ignoreLeaving sends requests until the connection is closed, also after the message
// leaving.
func ignoreLeaving(ctx context.Context, group *clientGroup, c *Client, rng *rand.Rand) {
	for sleep(ctx, randomDuration(rng, 20*time.Millisecond, 250*time.Millisecond)) {
		if _, err := c.Send(group.newRequest(rng)); err != nil {
			return
		}
	}
}

// halfClose sends some requests and shuts down the writing side while they are open.
func halfClose(ctx context.Context, group *clientGroup, c *Client, rng *rand.Rand) {
	for range 1 + rng.IntN(4) {
		if _, err := c.Send(group.newRequest(rng)); err != nil {
			return
		}
	}
	sleep(ctx, randomDuration(rng, 0, 20*time.Millisecond))
	c.CloseWrite()
	c.awaitAnswersOrTimeout()
}

// cancelRequests sends requests and cancels half of them.
func cancelRequests(ctx context.Context, group *clientGroup, c *Client, rng *rand.Rand) {
	for !c.Leaving() && sleep(ctx, randomDuration(rng, 10*time.Millisecond, 100*time.Millisecond)) {
		r, err := c.Send(group.newRequest(rng))
		if err != nil {
			return
		}
		if rng.IntN(2) == 0 {
			sleep(ctx, randomDuration(rng, 0, 30*time.Millisecond))
			c.Cancel(r)
		}
	}
}

// sendUnframedBytes sends a request, followed by bytes that are not a message.
func sendUnframedBytes(ctx context.Context, group *clientGroup, c *Client, rng *rand.Rand) {
	if !sleep(ctx, randomDuration(rng, 100*time.Millisecond, 600*time.Millisecond)) || c.Leaving() {
		return
	}
	if _, err := c.Send(group.newRequest(rng)); err != nil {
		return
	}
	_ = c.WriteRaw([]byte("\x00\x00\x00\x04spam and more")) // an error means that the connection is closed
	c.awaitAnswersOrTimeout()
}
