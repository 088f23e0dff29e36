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

// callingBackend is a backend whose runs each make one downstream call and then complete.
type callingBackend struct {
	core    *dispatch.Core
	resumed chan string // the reply that each run resumed with
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

// TestPool_ReportsOutcomeOfReply checks the outcome of a request with an idempotency key for
// each reply of the dependency, and for a missing reply. The request's call is made once: it
// must not be made again after an unclear outcome.
func TestPool_ReportsOutcomeOfReply(t *testing.T) {
	for _, x := range []struct{ name, reply, want string }{
		{"succeeded", "posted 2\r\nok", fmt.Sprint("r ", dispatch.Served)},
		{"failed", "error", fmt.Sprint("r ", dispatch.Failed)},
		{"timed out", "expired", fmt.Sprint("r ", dispatch.Failed)},
		{"not started", "moot", fmt.Sprint("r ", dispatch.Failed)},
		{"no reply", "", fmt.Sprint("r ", dispatch.Failed)}, // the connection breaks
		{"unknown reply", "sing", fmt.Sprint("r ", dispatch.Failed)},
	} {
		t.Run(x.name, func(t *testing.T) {
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
			if response := <-got; response != x.want {
				t.Errorf("response %s, want %s", response, x.want)
			}
		})
	}
}

// serveOutcome reads the first call on a connection and sends reply unless it is empty. It
// closes the connection unless the call succeeded.
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

// newCore returns a core that is ready to run requests. Its downstream calls go through
// dependency, which uses pool.
func newCore(t *testing.T, pool *Pool, dependency dispatch.Dependency, back *callingBackend) *dispatch.Core {
	t.Helper()
	core := dispatchtest.StartCore(t, dispatch.Options{Backend: back, Dependency: dependency})
	pool.observer, back.core = core, core
	core.BackendReady(false, 0)
	return core
}

// submit submits a request with an idempotency key.
func submit(t *testing.T, core *dispatch.Core, id string, responder dispatch.Responder) {
	t.Helper()
	err := core.Submit(dispatch.Request{ID: id, Class: "ny-gava", Key: "key of " + id, ArrivedAt: time.Now(), ReservedKB: 1, Responder: responder})
	if err != nil {
		t.Fatal(err)
	}
}

// fakeDependency is the dependency's side of a pool. It records the calls that arrive, each
// with its connection.
type fakeDependency struct {
	t     *testing.T
	pool  *Pool
	posts chan post
	conns int
}

// post is a call that has arrived.
type post struct {
	id   string
	conn int // number of the connection, from 1
	net.Conn
}

// newFakeDependency returns a dependency that a pool is connected to.
func newFakeDependency(t *testing.T) *fakeDependency {
	t.Helper()
	b := &fakeDependency{t: t, pool: NewPool(""), posts: make(chan post, 100)}
	b.pool.observer = dispatchtest.StartCore(t, dispatch.Options{})
	b.pool.connect = func(string) (net.Conn, error) {
		near, far := net.Pipe()
		b.conns++
		go b.read(far, b.conns)
		return near, nil
	}
	return b
}

// read sends the calls that arrive on a connection to posts until the connection closes.
func (b *fakeDependency) read(far net.Conn, conn int) {
	defer func() { _ = far.Close() }() // the error is ignored: a test may have closed it
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

// call makes a call and returns it as it arrived at the dependency.
func (b *fakeDependency) call(id string, number int) post {
	b.pool.Call(id, number, time.Second, nil)
	synctest.Wait()
	return <-b.posts
}

// reply sends a number of copies of the reply to a call.
func (p post) reply(copies int) {
	for range copies {
		replyTo(p, p.id, "posted 2\r\nok")
	}
	synctest.Wait()
}

// close abandons all calls and closes all connections.
func (b *fakeDependency) close() {
	b.pool.SetAddress("elsewhere")
	b.pool.mu.Lock()
	ids := slices.Collect(maps.Keys(b.pool.connByID))
	b.pool.mu.Unlock()
	for _, id := range ids {
		b.pool.Abandon(id)
	}
	time.Sleep(time.Second)
}

// TestPool_ChoosesConnection checks whether a second call reuses the connection of the first.
// While there are few calls, they must not share a connection, because it may break or stall.
// A run's next call must not use the same connection, because a late or duplicate reply could
// be mistaken for its reply. Connections that idled are not reused, because the dependency
// drops them; nor are connections that it closed.
func TestPool_ChoosesConnection(t *testing.T) {
	for name, play := range map[string]func(b *fakeDependency) (first, second post){
		"reused after a reply": func(b *fakeDependency) (first, second post) {
			first = b.call("a", 1)
			first.reply(1)
			return first, b.call("b", 1)
		},
		"not shared while in flight": func(b *fakeDependency) (first, second post) {
			return b.call("a", 1), b.call("b", 1)
		},
		"not reused after an abandoned call": func(b *fakeDependency) (first, second post) {
			first = b.call("a", 1)
			b.pool.Abandon("a")
			return first, b.call("b", 1)
		},
		"not reused by the same run": func(b *fakeDependency) (first, second post) {
			first = b.call("a", 1)
			first.reply(2)
			return first, b.call("a", 2)
		},
		"not reused after idling": func(b *fakeDependency) (first, second post) {
			first = b.call("a", 1)
			first.reply(1)
			time.Sleep(maxIdle + time.Millisecond)
			return first, b.call("b", 1)
		},
		"not reused after the dependency closed it": func(b *fakeDependency) (first, second post) {
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
				defer b.close()
				first, second := play(b)
				if reused, want := first.conn == second.conn, name == "reused after a reply"; reused != want {
					t.Errorf("calls on connections %d and %d, want the same connection: %v", first.conn, second.conn, want)
				}
			})
		})
	}
}

// TestPool_SharesConnectionsAboveLimit checks that at most maxExclusiveConns connections are
// opened, and that consecutive calls of a run use different connections even when calls share
// connections.
func TestPool_SharesConnectionsAboveLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFakeDependency(t)
		defer b.close()
		for i := range 2 * maxExclusiveConns {
			b.call(fmt.Sprint("other", i), 1)
		}
		if b.conns != maxExclusiveConns {
			t.Errorf("%d connections for %d calls, want %d", b.conns, 2*maxExclusiveConns, maxExclusiveConns)
		}
		for number, last := 1, 0; number <= 8; number++ {
			p := b.call("r", number)
			if p.conn == last {
				t.Errorf("call %d uses connection %d, as does the run's previous call", number, p.conn)
			}
			last = p.conn
			b.pool.Abandon("r")
		}
	})
}

// TestPool_RetriesCallAfterRefusedConnection checks that a call whose connection was refused
// counts as one that never ran: the call is made again, and the request is served once the
// dependency listens.
func TestPool_RetriesCallAfterRefusedConnection(t *testing.T) {
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
	<-called // the second call: the first one did not fail the request
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Skipf("another process has taken the port: %v", err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		if nc, err := l.Accept(); err == nil {
			serveOutcome(t, nc, "posted 2\r\nok")
		}
	}()
	if response, want := <-got, fmt.Sprint("r ", dispatch.Served); response != want {
		t.Errorf("response %s, want %s", response, want)
	}
}

// reportingPool signals on called after it has passed a call to the pool.
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

// servePosts sends the calls that arrive on a listener's connections to posts, and each
// connection that was closed to closed.
func servePosts(l net.Listener, posts chan<- post, closed chan<- net.Conn) {
	for nc, err := l.Accept(); err == nil; nc, err = l.Accept() {
		go func() {
			for r := bufio.NewReader(nc); ; {
				words, err := readPost(r)
				if err != nil {
					closed <- nc
					return
				}
				posts <- post{words[1], 0, nc}
			}
		}()
	}
}

// TestPool_MovesToNewAddress changes the address while a call is in flight. That call must
// finish on its connection, the next call must go to the new address, and the old connection
// must then be closed.
func TestPool_MovesToNewAddress(t *testing.T) {
	posts, closed := make(chan post, 2), make(chan net.Conn, 2)
	first, second := listen(t), listen(t)
	go servePosts(first, posts, closed)
	go servePosts(second, posts, closed)
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
		t.Errorf("the call after the change goes to %s, want %s", b.LocalAddr(), second.Addr())
	}
	for _, p := range []post{a, b} {
		replyTo(p, p.id, "posted 2\r\nok")
		if response, want := <-got, fmt.Sprint(p.id, " ", dispatch.Served); response != want {
			t.Errorf("response %s, want %s", response, want)
		}
	}
	if nc := <-closed; nc != a.Conn {
		t.Errorf("the pool closed its connection to %s, want the one to %s", nc.LocalAddr(), first.Addr())
	}
}
