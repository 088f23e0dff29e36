package program

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/internal/steps"
	"quincerail.example/quincerail/protocol/lines"
	"quincerail.example/quincerail/routing"
	"quincerail.example/quincerail/transport"
)

// answers collects what a core answers.
type answers chan string

// Answer implements routing.Sink.
func (a answers) Answer(id string, o routing.Outcome) { a <- fmt.Sprint(id, " ", o.Kind) }

func newCore(t *testing.T, opt routing.Options) *routing.Core {
	t.Helper()
	c, err := ParseConfig(exampleConfig(t))
	if err != nil {
		t.Fatal(err)
	}
	opt.Settings, opt.Classes = c.Settings, c.Classes
	core, err := routing.New(opt)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	go core.Run(ctx)
	t.Cleanup(cancel)
	return core
}

func submit(t *testing.T, core *routing.Core, id, class string, sink routing.Sink) {
	t.Helper()
	err := core.Submit(routing.Request{ID: id, Class: class, Key: "key of " + id, Door: time.Now(), HeldKB: 1, Sink: sink,
		Payload: routing.Payload{Body: []byte("body of " + id)}})
	if err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
}

// engine is the processor's side of a link that breaks: it may lose what was
// written last, and sends notices again.
type engine struct {
	t       *testing.T
	link    *processorLink
	near    *transport.Conn
	far     net.Conn
	done    chan struct{}
	begun   []string
	notices []string
	deaf    bool // what is written now is lost with the link
	mute    bool // nothing is said to hello
}

func (e *engine) open() {
	near, far := net.Pipe()
	e.near, e.far, e.done, e.deaf = transport.NewConn(near), far, make(chan struct{}), false
	go func() {
		defer close(e.done)
		r := bufio.NewReaderSize(far, 16<<10)
		for {
			words, _, err := lines.Read(r, func(w []string) bool { return w[0] == "begin" })
			if err != nil {
				return
			}
			e.command(words)
		}
	}()
	go e.near.Serve(e.link.opened(e.near))
	synctest.Wait()
}

func (e *engine) command(words []string) {
	if e.deaf {
		return
	}
	switch words[0] {
	case "hello":
		last, _ := strconv.Atoi(words[1])
		if e.mute {
			return
		}
		fmt.Fprintf(e.far, "hi old 5\r\n%s", strings.Join(e.notices[last:], ""))
	case "usage":
		fmt.Fprintf(e.far, "used %s 0 0 0 0\r\n", words[1])
	case "begin":
		if !slices.Contains(e.begun, words[1]) { // for one that runs already nothing happens
			e.begun = append(e.begun, words[1])
		}
	}
}

func (e *engine) complete(id string) {
	text := fmt.Sprintf("complete %d %s good 1 2\r\nok\r\n", len(e.notices)+1, id)
	e.notices = append(e.notices, text)
	if !e.deaf { // else the link breaks before it is read
		e.far.Write([]byte(text))
	}
	synctest.Wait()
}

func (e *engine) cut() {
	e.far.Close()
	<-e.done
	synctest.Wait()
	e.link.closed(e.near, io.EOF)
}

// FuzzProcessorLink checks the link against a model: up, deaf (about to break),
// down. Every run is begun, in order, and its end is told once, however often
// the link breaks and whatever is lost with it.
func FuzzProcessorLink(f *testing.F) {
	steps.Fuzz(f, func(t *testing.T, s *steps.Source) {
		link := newProcessorLink("", nil, slog.Default())
		link.core = newCore(t, routing.Options{Backend: link, Machine: link})
		e := &engine{t: t, link: link}
		got := make(answers, 1000)
		var sent, open []string
		e.open()
		for s.More() && len(sent) < 20 {
			switch s.Pick(4) {
			case 0, 1:
				if len(open) < 4 { // so that all run at once
					id := fmt.Sprint("r", len(sent))
					sent, open = append(sent, id), append(open, id)
					submit(t, link.core, id, "ny-gava", got)
				}
			case 2:
				if i := s.Pick(len(open) + 1); i < len(open) && slices.Contains(e.begun, open[i]) {
					e.complete(open[i])
					open = slices.Delete(open, i, i+1)
				}
			case 3:
				if e.deaf = !e.deaf; !e.deaf {
					e.cut()
					e.open()
				}
			}
		}
		if e.deaf {
			e.cut()
			e.open()
		}
		if !slices.Equal(e.begun, sent) {
			t.Errorf("begun %v, sent %v", e.begun, sent)
		}
		for _, id := range open {
			e.complete(id)
		}
		if len(got) != len(sent) {
			t.Errorf("%d answers to %d requests", len(got), len(sent))
		}
		for range sent {
			if a := <-got; !strings.HasSuffix(a, fmt.Sprint(" ", routing.Served)) {
				t.Errorf("answer %s", a)
			}
		}
		e.cut()
	})
}

// TestProcessorMove guards a move of the link: while the new one brings the
// notices that were missed, a later one that still comes over the old would hide
// them by its number.
func TestProcessorMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := newProcessorLink("", nil, slog.Default())
		link.core = newCore(t, routing.Options{Backend: link, Machine: link})
		e := &engine{t: t, link: link}
		e.open()
		got := make(answers, 2)
		submit(t, link.core, "r0", "kampanjsida", got)
		submit(t, link.core, "r1", "kampanjsida", got)
		old := e.far
		e.deaf = true
		e.complete("r0") // lost on its way
		e.complete("r1")
		late := e.notices[1]
		e.mute = true // the new link's notices are held back
		e.open()
		go io.WriteString(old, late)
		synctest.Wait()
		e.mute = false
		fmt.Fprintf(e.far, "hi old 5\r\n%s", strings.Join(e.notices, ""))
		synctest.Wait()
		for range 2 {
			if a := <-got; !strings.HasSuffix(a, fmt.Sprint(" ", routing.Served)) {
				t.Errorf("answer %s", a)
			}
		}
		old.Close()
		e.cut()
	})
}

// health remembers what a core last said of itself.
type health struct{ on atomic.Bool }

// Accepting implements routing.Presence.
func (h *health) Accepting(on bool) { h.on.Store(on) }

// TestProcessorReject sees that a begin which was not carried out fails its
// request at once, and that such requests, which only a bad client sends, don't
// make the server take its own runs for bad.
func TestProcessorReject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := newProcessorLink("", nil, slog.Default())
		self := &health{}
		link.core = newCore(t, routing.Options{Backend: link, Machine: link, Presence: self})
		e := &engine{t: t, link: link}
		e.open()
		got := make(answers, 1)
		for i := range 12 {
			id := fmt.Sprint("r", i)
			submit(t, link.core, id, "kampanjsida", got)
			fmt.Fprintf(e.far, "reject begin %s\r\n", id)
			if a := <-got; a != fmt.Sprint(id, " ", routing.Failed) {
				t.Errorf("answer %s", a)
			}
		}
		time.Sleep(time.Second)
		if !self.on.Load() {
			t.Error("it takes itself for sick")
		}
		e.cut()
	})
}

// TestProcessorOutOfTurn sees that bytes which are no protocol end the link and
// not the program.
func TestProcessorOutOfTurn(t *testing.T) {
	for _, bytes := range []string{"hi old 5\r\n", "used 1 0\r\nhi new 5\r\n", "sing\r\n", "complete 1 a good 1 99999999\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			link := newProcessorLink("", nil, slog.Default())
			link.core = newCore(t, routing.Options{Backend: link, Machine: link})
			e := &engine{t: t, link: link}
			e.open()
			go e.far.Write([]byte(bytes))
			<-e.done // the link is closed
			link.closed(e.near, io.EOF)
		})
	}
}

// asking is a backend whose runs stand at a call.
type asking struct {
	core    *routing.Core
	resumed chan string
}

// Begin implements routing.Backend.
func (a *asking) Begin(r routing.Run) { go a.core.Asked(r.ID, 1, r.Payload.Body) }

// Interrupt implements routing.Backend.
func (a *asking) Interrupt(id string) { go a.core.Completed(id, routing.Cut, 0, routing.Payload{}) }

// Answer implements routing.Backend.
func (a *asking) Answer(id string, reply []byte) {
	a.resumed <- string(reply)
	go a.core.Completed(id, routing.Good, 0, routing.Payload{})
}

// Without implements routing.Backend.
func (a *asking) Without(id string, _ uint64) { a.Answer(id, []byte("without")) }

// TestLedgerOutcomes maps what the ledger says, or does not, to what becomes of
// a keyed request, which calls once and never again after an unclear end.
func TestLedgerOutcomes(t *testing.T) {
	for _, x := range []struct{ says, want string }{
		{"posted 2\r\nok", fmt.Sprint("r ", routing.Served)},
		{"error", fmt.Sprint("r ", routing.Failed)},
		{"expired", fmt.Sprint("r ", routing.Failed)},
		{"moot", fmt.Sprint("r ", routing.Failed)},
		{"", fmt.Sprint("r ", routing.Failed)}, // the connection breaks
		{"sing", fmt.Sprint("r ", routing.Failed)},
	} {
		t.Run(x.says, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				for nc, err := l.Accept(); err == nil; nc, err = l.Accept() {
					words, _, _ := lines.Read(bufio.NewReader(nc), func(w []string) bool { return w[0] == "post" })
					if x.says != "" {
						fmt.Fprintf(nc, "%s %s\r\n", words[1], x.says)
					}
					if !strings.HasPrefix(x.says, "posted") {
						nc.Close()
					}
				}
			}()
			pool, back := newLedgerPool(l.Addr().String()), &asking{resumed: make(chan string, 1)}
			core := newCore(t, routing.Options{Backend: back, Dependency: pool})
			pool.core, back.core = core, core
			core.Started(false, 0)
			got := make(answers, 1)
			if err := core.Submit(routing.Request{ID: "r", Class: "ny-gava", Key: "k", Door: time.Now(), HeldKB: 1, Sink: got}); err != nil {
				t.Fatal(err)
			}
			if a := <-got; a != x.want {
				t.Errorf("answer %s, want %s", a, x.want)
			}
		})
	}
}

// books is the ledger's side of a pool: what is posted, and over which connection.
type books struct {
	pool  *ledgerPool
	posts chan post
	conns int
}

type post struct {
	id   string
	conn int
	net.Conn
}

func newBooks(t *testing.T) *books {
	b := &books{pool: newLedgerPool(""), posts: make(chan post, 100)}
	b.pool.core = newCore(t, routing.Options{})
	b.pool.connect = func(string) (net.Conn, error) {
		near, far := net.Pipe()
		b.conns++
		go b.read(far, b.conns)
		return near, nil
	}
	return b
}

func (b *books) read(far net.Conn, conn int) {
	defer far.Close()
	r := bufio.NewReader(far)
	for {
		words, _, err := lines.Read(r, func(w []string) bool { return w[0] == "post" })
		if err != nil {
			return
		}
		if words[0] == "post" {
			b.posts <- post{words[1], conn, far}
		}
	}
}

// call makes a call that comes out at the ledger.
func (b *books) call(id string, number int) post {
	b.pool.Call(id, number, time.Second, nil)
	synctest.Wait()
	return <-b.posts
}

// reply answers a call, with a number of copies.
func (p post) reply(copies int) {
	p.Write([]byte(strings.Repeat(p.id+" posted 2\r\nok\r\n", copies)))
	synctest.Wait()
}

// end ends all connections.
func (b *books) end() {
	b.pool.move("elsewhere")
	b.pool.mu.Lock()
	ids := slices.Collect(maps.Keys(b.pool.where))
	b.pool.mu.Unlock()
	for _, id := range ids {
		b.pool.Abandon(id)
	}
	time.Sleep(time.Second)
}

// TestLedgerConnections sees over which connection a call goes. None may share
// one that breaks or falls silent with it, as long as they are few; a late or
// second reply must not be taken for that to the run's next call; and the ledger
// forgets connections that idle.
func TestLedgerConnections(t *testing.T) {
	for name, play := range map[string]func(b *books) (first, second post){
		"used again": func(b *books) (first, second post) {
			first = b.call("a", 1)
			first.reply(1)
			return first, b.call("b", 1)
		},
		"at once": func(b *books) (first, second post) {
			return b.call("a", 1), b.call("b", 1)
		},
		"silent": func(b *books) (first, second post) {
			first = b.call("a", 1)
			b.pool.Abandon("a")
			return first, b.call("b", 1)
		},
		"second copy": func(b *books) (first, second post) {
			first = b.call("a", 1)
			first.reply(2)
			return first, b.call("a", 2)
		},
		"idle": func(b *books) (first, second post) {
			first = b.call("a", 1)
			first.reply(1)
			time.Sleep(ledgerIdle + time.Millisecond)
			return first, b.call("b", 1)
		},
		"closed while idle": func(b *books) (first, second post) {
			first = b.call("a", 1)
			first.reply(1)
			first.Close()
			synctest.Wait()
			return first, b.call("b", 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBooks(t)
				defer b.end()
				first, second := play(b)
				if same := first.conn == second.conn; same != (name == "used again") {
					t.Errorf("connections %d and %d", first.conn, second.conn)
				}
			})
		})
	}
}

// TestLedgerShared sees that no more than so many connections are opened, and
// that a late reply can't be taken for that to the next call even then.
func TestLedgerShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBooks(t)
		defer b.end()
		for i := range 2 * ledgerConns {
			b.call(fmt.Sprint("other", i), 1)
		}
		if b.conns != ledgerConns {
			t.Errorf("%d connections for %d calls", b.conns, 2*ledgerConns)
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

// TestLedgerRefused sees that a refused connection counts as a call that never
// ran: the call is made again, and served once the ledger is up.
func TestLedgerRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	pool := newLedgerPool(address)
	called := make(chan decision.Outcome, 1)
	back := &asking{resumed: make(chan string, 1)}
	core := newCore(t, routing.Options{Backend: back, Dependency: dependency{pool, called}})
	pool.core, back.core = core, core
	core.Started(false, 0)
	got := make(answers, 1)
	if err := core.Submit(routing.Request{ID: "r", Class: "ny-gava", Key: "k", Door: time.Now(), HeldKB: 1, Sink: got}); err != nil {
		t.Fatal(err)
	}
	<-called
	<-called // again: it has not been failed by the first
	if l, err = net.Listen("tcp", address); err != nil {
		t.Skipf("the port was taken meanwhile: %v", err)
	}
	defer l.Close()
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		words, _, _ := lines.Read(bufio.NewReader(nc), func(w []string) bool { return w[0] == "post" })
		fmt.Fprintf(nc, "%s posted 2\r\nok\r\n", words[1])
	}()
	if a := <-got; a != fmt.Sprint("r ", routing.Served) {
		t.Errorf("answer %s", a)
	}
}

// TestLedgerMoves sees that a call which is out when the ledger moves is waited
// for where it was made, that the next one goes to the new address, and that the
// old connection then ends.
func TestLedgerMoves(t *testing.T) {
	posts, ended := make(chan post, 2), make(chan net.Conn, 2)
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for nc, err := l.Accept(); err == nil; nc, err = l.Accept() {
				go func() {
					r := bufio.NewReader(nc)
					for {
						words, _, err := lines.Read(r, func(w []string) bool { return w[0] == "post" })
						if err != nil {
							ended <- nc
							return
						}
						posts <- post{words[1], 0, nc}
					}
				}()
			}
		}()
		return l
	}
	first, second := listen(), listen()
	defer second.Close()
	pool, back := newLedgerPool(first.Addr().String()), &asking{resumed: make(chan string, 2)}
	core := newCore(t, routing.Options{Backend: back, Dependency: pool})
	pool.core, back.core = core, core
	core.Started(false, 0)
	got := make(answers, 2)
	call := func(id string) post {
		if err := core.Submit(routing.Request{ID: id, Class: "ny-gava", Key: id, Door: time.Now(), HeldKB: 1, Sink: got}); err != nil {
			t.Fatal(err)
		}
		return <-posts
	}
	a := call("a")
	pool.move(second.Addr().String())
	first.Close()
	b := call("b")
	if b.LocalAddr().String() != second.Addr().String() {
		t.Errorf("the call after the move comes to %s", b.LocalAddr())
	}
	for _, p := range []post{a, b} {
		fmt.Fprintf(p, "%s posted 2\r\nok\r\n", p.id)
		if answer := <-got; answer != fmt.Sprint(p.id, " ", routing.Served) {
			t.Errorf("answer %s", answer)
		}
	}
	if nc := <-ended; nc != a.Conn {
		t.Error("the connection that ends is not the old one")
	}
}

// dependency tells of each call on its way to the pool.
type dependency struct {
	*ledgerPool
	called chan decision.Outcome
}

// Call implements routing.Dependency.
func (d dependency) Call(id string, number int, wait time.Duration, body []byte) {
	d.ledgerPool.Call(id, number, wait, body)
	select {
	case d.called <- decision.OK:
	default:
	}
}
