package downstream

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/internal/dispatchtest"
)

// callingBackend is a backend whose runs wait for a call.
type callingBackend struct {
	core    *dispatch.Core
	resumed chan string
}

// Start implements dispatch.Backend.
func (b *callingBackend) Start(r dispatch.Run) { go b.core.CallRequested(r.ID, 1, r.Payload.Body) }

// Cancel implements dispatch.Backend.
func (b *callingBackend) Cancel(id string) {
	go b.core.RunCompleted(id, dispatch.RunCancelled, 0, dispatch.Payload{})
}

// ReplyToCall implements dispatch.Backend.
func (b *callingBackend) ReplyToCall(id string, reply []byte) {
	b.resumed <- string(reply)
	go b.core.RunCompleted(id, dispatch.RunSucceeded, 0, dispatch.Payload{})
}

// SkipCall implements dispatch.Backend.
func (b *callingBackend) SkipCall(id string, _ uint64) { b.ReplyToCall(id, []byte("without")) }

// TestOutcomes maps the dependency's reply, or its absence, to the outcome of a request with
// a key, which calls once and never again after an unclear end.
func TestOutcomes(t *testing.T) {
	for _, x := range []struct{ reply, want string }{
		{"posted 2\r\nok", fmt.Sprint("r ", dispatch.Served)},
		{"error", fmt.Sprint("r ", dispatch.Failed)},
		{"expired", fmt.Sprint("r ", dispatch.Failed)},
		{"moot", fmt.Sprint("r ", dispatch.Failed)},
		{"", fmt.Sprint("r ", dispatch.Failed)}, // the connection breaks
		{"sing", fmt.Sprint("r ", dispatch.Failed)},
	} {
		t.Run(x.reply, func(t *testing.T) {
			l := listen(t)
			go func() {
				for nc, err := l.Accept(); err == nil; nc, err = l.Accept() {
					serveOutcome(t, nc, x.reply)
				}
			}()
			pool, back := NewPool(l.Addr().String()), &callingBackend{resumed: make(chan string, 1)}
			core := newCore(t, pool, pool, back)
			got := make(dispatchtest.Answers, 1)
			submit(t, core, "r", got)
			if a := <-got; a != x.want {
				t.Errorf("answer %s, want %s", a, x.want)
			}
		})
	}
}

// serveOutcome replies to the first call on a connection, if there is a reply, and closes
// it unless the call succeeded.
func serveOutcome(t *testing.T, nc net.Conn, reply string) {
	words, err := readPost(bufio.NewReader(nc))
	if err != nil {
		t.Errorf("reading the call: %v", err)
		return
	}
	if reply != "" {
		replyTo(nc, words[1], reply)
	}
	if !strings.HasPrefix(reply, "posted") {
		if err := nc.Close(); err != nil {
			t.Error(err)
		}
	}
}

// newCore makes a core that is ready, whose runs call through a dependency over a pool.
func newCore(t *testing.T, pool *Pool, dependency dispatch.Dependency, back *callingBackend) *dispatch.Core {
	t.Helper()
	core := dispatchtest.StartCore(t, dispatch.Options{Backend: back, Dependency: dependency})
	pool.core, back.core = core, core
	core.BackendReady(false, 0)
	return core
}

// submit submits a request with a key.
func submit(t *testing.T, core *dispatch.Core, id string, responder dispatch.Responder) {
	t.Helper()
	err := core.Submit(dispatch.Request{ID: id, Class: "ny-gava", Key: "key of " + id, ArrivedAt: time.Now(), ReservedKB: 1, Responder: responder})
	if err != nil {
		t.Fatal(err)
	}
}

// fakeDependency is the dependency's side of a pool: which calls come, and over which
// connection.
type fakeDependency struct {
	t     *testing.T
	pool  *Pool
	posts chan post
	conns int
}

type post struct {
	id   string
	conn int
	net.Conn
}

func newFakeDependency(t *testing.T) *fakeDependency {
	t.Helper()
	b := &fakeDependency{t: t, pool: NewPool(""), posts: make(chan post, 100)}
	b.pool.core = dispatchtest.StartCore(t, dispatch.Options{})
	b.pool.connect = func(string) (net.Conn, error) {
		near, far := net.Pipe()
		b.conns++
		go b.read(far, b.conns)
		return near, nil
	}
	return b
}

func (b *fakeDependency) read(far net.Conn, conn int) {
	defer func() { _ = far.Close() }() // a test may have closed it
	r := bufio.NewReader(far)
	for {
		words, err := readPost(r)
		if err != nil {
			return
		}
		if words[0] == "post" {
			b.posts <- post{words[1], conn, far}
		}
	}
}

// call makes a call that reaches the dependency.
func (b *fakeDependency) call(id string, number int) post {
	b.pool.Call(id, number, time.Second, nil)
	synctest.Wait()
	return <-b.posts
}

// reply answers a call, with a number of copies.
func (p post) reply(copies int) {
	for range copies {
		replyTo(p, p.id, "posted 2\r\nok")
	}
	synctest.Wait()
}

// end closes all connections.
func (b *fakeDependency) end() {
	b.pool.SetAddress("elsewhere")
	b.pool.mu.Lock()
	ids := slices.Collect(maps.Keys(b.pool.connOf))
	b.pool.mu.Unlock()
	for _, id := range ids {
		b.pool.Abandon(id)
	}
	time.Sleep(time.Second)
}

// TestConnections sees over which connection a call goes. None may share one that breaks or
// falls silent, as long as there are few; a late or duplicate reply must not be taken for
// that to the run's next call; and the dependency forgets connections that idle.
func TestConnections(t *testing.T) {
	for name, play := range map[string]func(b *fakeDependency) (first, second post){
		"used again": func(b *fakeDependency) (first, second post) {
			first = b.call("a", 1)
			first.reply(1)
			return first, b.call("b", 1)
		},
		"at once": func(b *fakeDependency) (first, second post) {
			return b.call("a", 1), b.call("b", 1)
		},
		"silent": func(b *fakeDependency) (first, second post) {
			first = b.call("a", 1)
			b.pool.Abandon("a")
			return first, b.call("b", 1)
		},
		"second copy": func(b *fakeDependency) (first, second post) {
			first = b.call("a", 1)
			first.reply(2)
			return first, b.call("a", 2)
		},
		"idle": func(b *fakeDependency) (first, second post) {
			first = b.call("a", 1)
			first.reply(1)
			time.Sleep(maxIdle + time.Millisecond)
			return first, b.call("b", 1)
		},
		"closed while idle": func(b *fakeDependency) (first, second post) {
			first = b.call("a", 1)
			first.reply(1)
			if err := first.Close(); err != nil {
				b.t.Error(err)
			}
			synctest.Wait()
			return first, b.call("b", 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFakeDependency(t)
				defer b.end()
				first, second := play(b)
				if same := first.conn == second.conn; same != (name == "used again") {
					t.Errorf("connections %d and %d", first.conn, second.conn)
				}
			})
		})
	}
}

// TestSharedConnections sees that no more than so many connections are opened, and that a
// late reply can't be taken for that to the next call even then.
func TestSharedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFakeDependency(t)
		defer b.end()
		for i := range 2 * maxExclusiveConns {
			b.call(fmt.Sprint("other", i), 1)
		}
		if b.conns != maxExclusiveConns {
			t.Errorf("%d connections for %d calls", b.conns, 2*maxExclusiveConns)
		}
		for number, last := 1, 0; number <= 8; number++ {
			p := b.call("r", number)
			if p.conn == last {
				t.Errorf("call %d comes over the same connection as the one before", number)
			}
			last = p.conn
			b.pool.Abandon("r")
		}
	})
}

// TestConnectionRefused sees that a refused connection counts as a call that never ran: the
// call is made again, and served once the dependency is up.
func TestConnectionRefused(t *testing.T) {
	l := listen(t)
	address := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	pool, back := NewPool(address), &callingBackend{resumed: make(chan string, 1)}
	called := make(chan struct{}, 1)
	core := newCore(t, pool, reportingPool{pool, called}, back)
	got := make(dispatchtest.Answers, 1)
	submit(t, core, "r", got)
	<-called
	<-called // again: it has not been failed by the first
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Skipf("the port was taken meanwhile: %v", err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		if nc, err := l.Accept(); err == nil {
			serveOutcome(t, nc, "posted 2\r\nok")
		}
	}()
	if a := <-got; a != fmt.Sprint("r ", dispatch.Served) {
		t.Errorf("answer %s", a)
	}
}

// reportingPool reports each call that it has passed to the pool.
type reportingPool struct {
	*Pool
	called chan struct{}
}

// Call implements dispatch.Dependency.
func (p reportingPool) Call(id string, number int, wait time.Duration, body []byte) {
	p.Pool.Call(id, number, wait, body)
	select {
	case p.called <- struct{}{}:
	default:
	}
}

// servePosts sends the calls on all connections of a listener to posts, and each connection
// that ends to ended.
func servePosts(l net.Listener, posts chan<- post, ended chan<- net.Conn) {
	for nc, err := l.Accept(); err == nil; nc, err = l.Accept() {
		go func() {
			for r := bufio.NewReader(nc); ; {
				words, err := readPost(r)
				if err != nil {
					ended <- nc
					return
				}
				posts <- post{words[1], 0, nc}
			}
		}()
	}
}

// TestAddressChange sees that a call in flight when the address changes is waited for on its
// connection, that the next one goes to the new address, and that the old connection then
// ends.
func TestAddressChange(t *testing.T) {
	posts, ended := make(chan post, 2), make(chan net.Conn, 2)
	first, second := listen(t), listen(t)
	go servePosts(first, posts, ended)
	go servePosts(second, posts, ended)
	pool, back := NewPool(first.Addr().String()), &callingBackend{resumed: make(chan string, 2)}
	core := newCore(t, pool, pool, back)
	got := make(dispatchtest.Answers, 2)
	submit(t, core, "a", got)
	a := <-posts
	pool.SetAddress(second.Addr().String())
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	submit(t, core, "b", got)
	b := <-posts
	if b.LocalAddr().String() != second.Addr().String() {
		t.Errorf("the call after the change comes to %s", b.LocalAddr())
	}
	for _, p := range []post{a, b} {
		replyTo(p, p.id, "posted 2\r\nok")
		if answer := <-got; answer != fmt.Sprint(p.id, " ", dispatch.Served) {
			t.Errorf("answer %s", answer)
		}
	}
	if nc := <-ended; nc != a.Conn {
		t.Error("the connection that ends is not the old one")
	}
}
