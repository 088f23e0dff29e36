package backend

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/internal/dispatchtest"
	"quincerail.example/quincerail/internal/randomsteps"
	"quincerail.example/quincerail/protocol/lines"
	"quincerail.example/quincerail/transport"
)

func submit(t *testing.T, core *dispatch.Core, id, class string, sink dispatch.Responder) {
	t.Helper()
	err := core.Submit(dispatch.Request{
		ID: id, Class: class, Key: "key of " + id, ArrivedAt: time.Now(), ReservedKB: 1, Responder: sink,
		Payload: dispatch.Payload{Body: []byte("body of " + id)},
	})
	if err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
}

// engine is the processor's side of a link that breaks: it may lose what was
// written last, and sends notices again.
type engine struct {
	t       *testing.T
	link    *Processor
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

// FuzzProcessor checks the link against a model: up, deaf (about to break),
// down. Every run is begun, in order, and its end is told once, however often
// the link breaks and whatever is lost with it.
func FuzzProcessor(f *testing.F) {
	randomsteps.Fuzz(f, func(t *testing.T, s *randomsteps.Source) {
		link := NewProcessor("", nil, slog.Default())
		link.core = dispatchtest.New(t, dispatch.Options{Backend: link, Machine: link})
		e := &engine{t: t, link: link}
		got := make(dispatchtest.Answers, 1000)
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
			if a := <-got; !strings.HasSuffix(a, fmt.Sprint(" ", dispatch.Served)) {
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
		link := NewProcessor("", nil, slog.Default())
		link.core = dispatchtest.New(t, dispatch.Options{Backend: link, Machine: link})
		e := &engine{t: t, link: link}
		e.open()
		got := make(dispatchtest.Answers, 2)
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
			if a := <-got; !strings.HasSuffix(a, fmt.Sprint(" ", dispatch.Served)) {
				t.Errorf("answer %s", a)
			}
		}
		old.Close()
		e.cut()
	})
}

// health remembers what a core last said of itself.
type health struct{ on atomic.Bool }

// SetAccepting implements dispatch.Presence.
func (h *health) SetAccepting(on bool) { h.on.Store(on) }

// TestProcessorReject sees that a begin which was not carried out fails its
// request at once, and that such requests, which only a bad client sends, don't
// make the server take its own runs for bad.
func TestProcessorReject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := NewProcessor("", nil, slog.Default())
		self := &health{}
		link.core = dispatchtest.New(t, dispatch.Options{Backend: link, Machine: link, Registrar: self})
		e := &engine{t: t, link: link}
		e.open()
		got := make(dispatchtest.Answers, 1)
		for i := range 12 {
			id := fmt.Sprint("r", i)
			submit(t, link.core, id, "kampanjsida", got)
			fmt.Fprintf(e.far, "reject begin %s\r\n", id)
			if a := <-got; a != fmt.Sprint(id, " ", dispatch.Failed) {
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
			link := NewProcessor("", nil, slog.Default())
			link.core = dispatchtest.New(t, dispatch.Options{Backend: link, Machine: link})
			e := &engine{t: t, link: link}
			e.open()
			go e.far.Write([]byte(bytes))
			<-e.done // the link is closed
			link.closed(e.near, io.EOF)
		})
	}
}
