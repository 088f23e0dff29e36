package faultsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Pauses and bounds of the clients.
const (
	redialPause   = 30 * time.Millisecond
	clientTimeout = 15 * time.Second // for the answers to what a client has open
	restTimeout   = 12 * time.Second // for a node to end a connection that rests
	pipelined     = 20               // requests that one connection has open at most
	maxUnanswered = 64               // keyed requests that wait to be asked again
)

// population is the clients of one node.
type population struct {
	node    *Node
	history *History
	serial  *atomic.Int64 // names requests, over all nodes
	// unanswered holds keyed requests whose connection ended without their answer; they
	// are asked again.
	unanswered chan Ask
}

// behaviour is what a client does with one connection, until it is done with it.
type behaviour func(ctx context.Context, p *population, c *Client, rng *rand.Rand)

// behaviours lists the clients that each node has, by name.
var behaviours = []struct {
	name string
	do   behaviour
}{
	{"steady", steady},
	{"steady", steady},
	{"steady", steady},
	{"pipelining", pipelining},
	{"slow", slow},
	{"slow", slow},
	{"resting", resting},
	{"newcomer", newcomer},
	{"newcomer", newcomer},
	{"stubborn", stubborn},
	{"persistent", persistent},
	{"persistent", persistent},
	{"knocking", knocking},
	{"knocking", knocking},
	{"noisy", noisy},
	{"noisy", noisy},
	{"borrowing", borrowing},
	{"half-closing", halfClosing},
	{"giving up", givingUp},
	{"spoiling", spoiling},
}

// run has one client connect again and again until ctx ends.
func (p *population) run(ctx context.Context, do behaviour, rng *rand.Rand) {
	for ctx.Err() == nil {
		if !p.once(ctx, do, rng) {
			pause(ctx, redialPause)
		}
	}
}

// once has one client connect once. It reports whether it was let in.
func (p *population) once(ctx context.Context, do behaviour, rng *rand.Rand) bool {
	c, err := Dial(p.history, p.node.Name, p.node.Address)
	if err != nil {
		return false
	}
	do(ctx, p, c, rng)
	c.awaitAnswersOrTimeout()
	c.Close()
	return true
}

// pause waits. It reports whether ctx goes on.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)+1))
}

// ask draws a request. Most are reads, some call the ledger, fail, or never end.
func (p *population) ask(rng *rand.Rand) Ask {
	n := p.serial.Add(1)
	word := "page"
	switch draw := rng.IntN(100); {
	case draw < 25:
		word = "call"
	case draw < 28:
		word = "fail"
	case draw < 30:
		word = "hang"
	}
	a := Ask{Class: SafeClass, Deadline: SafeDeadline, Body: fmt.Sprintf("%s %d", word, n)}
	switch rng.IntN(4) {
	case 0:
		a.Class, a.Deadline = HistoryClass, HistoryDeadline
		if word == "call" { // the class makes no calls
			a.Body = fmt.Sprintf("page %d", n)
		}
	case 1:
		a.Class, a.Deadline, a.Key = KeyedClass, KeyedDeadline, fmt.Sprintf("key-%d", n)
	}
	return a
}

// askAgain gives a keyed request whose connection ended without its answer, else a new one.
func (p *population) askAgain(rng *rand.Rand) Ask {
	select {
	case a := <-p.unanswered:
		return a
	default:
		return p.ask(rng)
	}
}

// keep has a keyed request asked again if it has no answer.
func (p *population) keep(a Ask, r *Request) {
	answered := true
	p.history.update(func() { answered = len(r.Answers) > 0 })
	if answered || a.Key == "" {
		return
	}
	select {
	case p.unanswered <- a:
	default: // enough of them wait
	}
}

// steady sends one request after the other, and repeats keyed ones now and then.
func steady(ctx context.Context, p *population, c *Client, rng *rand.Rand) {
	for !c.Leaving() && pause(ctx, between(rng, 5*time.Millisecond, 60*time.Millisecond)) {
		a := p.askAgain(rng)
		r, err := c.Send(a)
		if err != nil {
			return
		}
		c.awaitAnswersOrTimeout()
		p.keep(a, r)
		if a.Key != "" && rng.IntN(3) == 0 && !c.Leaving() {
			if _, err := c.Send(a); err != nil {
				return
			}
			c.awaitAnswersOrTimeout()
		}
	}
}

// pipelining has many requests open at a time, until it is told to leave.
func pipelining(ctx context.Context, p *population, c *Client, rng *rand.Rand) {
	pipeline(ctx, p, c, rng, func() bool { return !c.Leaving() })
}

// pipeline sends requests, many of them open at a time, for as long as it may.
func pipeline(ctx context.Context, p *population, c *Client, rng *rand.Rand, may func() bool) {
	for may() && pause(ctx, between(rng, time.Millisecond, 30*time.Millisecond)) {
		for c.Open() >= pipelined {
			if !pause(ctx, time.Millisecond) {
				return
			}
		}
		if _, err := c.Send(p.ask(rng)); err != nil {
			return
		}
	}
}

// slow writes its requests in pieces, over up to the time that their class has.
func slow(ctx context.Context, p *population, c *Client, rng *rand.Rand) {
	for !c.Leaving() && pause(ctx, between(rng, time.Millisecond, 300*time.Millisecond)) {
		a := p.ask(rng)
		a.Write = pieces(rng, 2+rng.IntN(20), between(rng, 20*time.Millisecond, 1800*time.Millisecond))
		if _, err := c.Send(a); err != nil {
			return
		}
		if rng.IntN(2) == 0 {
			c.awaitAnswersOrTimeout()
		}
	}
}

// pieces cuts a message at random places and writes them evenly over a time.
func pieces(rng *rand.Rand, n int, over time.Duration) func(write func([]byte) error, message []byte) error {
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

// resting asks once and keeps its connection until the node ends it.
func resting(ctx context.Context, p *population, c *Client, rng *rand.Rand) {
	if _, err := c.Send(p.ask(rng)); err != nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-c.Done():
	case <-time.After(restTimeout):
	}
}

// newcomer connects, waits, and asks once if it was not told to leave.
func newcomer(ctx context.Context, p *population, c *Client, rng *rand.Rand) {
	if !pause(ctx, between(rng, 0, 2600*time.Millisecond)) || c.Leaving() {
		return
	}
	a := p.ask(rng)
	if rng.IntN(2) == 0 {
		a.Write = pieces(rng, 4, between(rng, time.Millisecond, 700*time.Millisecond))
	}
	if _, err := c.Send(a); err != nil {
		return
	}
	c.awaitAnswersOrTimeout()
}

// stubborn goes on sending on an open connection, whatever it is told.
func stubborn(ctx context.Context, p *population, c *Client, rng *rand.Rand) {
	for pause(ctx, between(rng, 20*time.Millisecond, 250*time.Millisecond)) {
		if _, err := c.Send(p.ask(rng)); err != nil {
			return
		}
	}
}

// halfClosing shuts its writing end with requests open.
func halfClosing(ctx context.Context, p *population, c *Client, rng *rand.Rand) {
	for range 1 + rng.IntN(4) {
		if _, err := c.Send(p.ask(rng)); err != nil {
			return
		}
	}
	pause(ctx, between(rng, 0, 20*time.Millisecond))
	c.CloseWrite()
	c.awaitAnswersOrTimeout()
}

// givingUp takes requests back.
func givingUp(ctx context.Context, p *population, c *Client, rng *rand.Rand) {
	for !c.Leaving() && pause(ctx, between(rng, 10*time.Millisecond, 100*time.Millisecond)) {
		r, err := c.Send(p.ask(rng))
		if err != nil {
			return
		}
		if rng.IntN(2) == 0 {
			pause(ctx, between(rng, 0, 30*time.Millisecond))
			c.GiveUp(r)
		}
	}
}

// spoiling sends a request, and bytes that are no message.
func spoiling(ctx context.Context, p *population, c *Client, rng *rand.Rand) {
	if !pause(ctx, between(rng, 100*time.Millisecond, 600*time.Millisecond)) || c.Leaving() {
		return
	}
	if _, err := c.Send(p.ask(rng)); err != nil {
		return
	}
	_ = c.WriteRaw([]byte("\x00\x00\x00\x04spam and more")) // the connection may have ended
	c.awaitAnswersOrTimeout()
}
