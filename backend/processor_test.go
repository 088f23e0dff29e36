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

// fakeProcessor is the processor's side of a connection that breaks: it may lose what was
// written last, and sends notices again.
type fakeProcessor struct {
	t       *testing.T
	backend *Processor
	near    *transport.Conn
	far     net.Conn
	done    chan struct{} // closed when no more commands are read
	started []string
	notices []string
	lossy   bool // what is written now is lost with the connection
	mute    bool // hello gets no answer
}

// newFakeProcessor returns a processor and the core whose backend is connected to it.
func newFakeProcessor(t *testing.T, registrar dispatch.Registrar) *fakeProcessor {
	t.Helper()
	backend := NewProcessor("", nil, slog.Default())
	backend.core = dispatchtest.StartCore(t, dispatch.Options{Backend: backend, Machine: backend, Registrar: registrar})
	f := &fakeProcessor{t: t, backend: backend}
	f.open()
	return f
}

// open opens the next connection.
func (f *fakeProcessor) open() {
	near, far := net.Pipe()
	f.near, f.far, f.done, f.lossy = transport.NewConn(near), far, make(chan struct{}), false
	go func() {
		defer close(f.done)
		r := bufio.NewReaderSize(far, 16<<10)
		for {
			words, _, err := lines.Read(r, func(w []string) bool { return w[0] == "begin" })
			if err != nil {
				return
			}
			f.command(words)
		}
	}()
	go func(c *transport.Conn) { _ = c.Serve(f.backend.opened(c)) }(f.near) // the test breaks it
	synctest.Wait()
}

// write writes to the connection, which breaks while it is written to in some tests.
func (f *fakeProcessor) write(format string, args ...any) {
	_, _ = fmt.Fprintf(f.far, format, args...)
}

// command carries out a command.
func (f *fakeProcessor) command(words []string) {
	if f.lossy {
		return
	}
	switch words[0] {
	case "hello":
		last, err := strconv.Atoi(words[1])
		if err != nil {
			f.t.Errorf("hello %q", words)
		}
		if f.mute {
			return
		}
		f.write("hi old 5\r\n%s", strings.Join(f.notices[last:], ""))
	case "usage":
		f.write("used %s 0 0 0 0\r\n", words[1])
	case "begin":
		if !slices.Contains(f.started, words[1]) { // for one that runs already nothing happens
			f.started = append(f.started, words[1])
		}
	}
}

// complete ends a run.
func (f *fakeProcessor) complete(id string) {
	text := fmt.Sprintf("complete %d %s good 1 2\r\nok\r\n", len(f.notices)+1, id)
	f.notices = append(f.notices, text)
	if !f.lossy { // else the connection breaks before it is read
		f.write("%s", text)
	}
	synctest.Wait()
}

// breakConn breaks the connection.
func (f *fakeProcessor) breakConn() {
	if err := f.far.Close(); err != nil {
		f.t.Error(err)
	}
	<-f.done
	synctest.Wait()
	f.backend.closed(f.near, io.EOF)
}

// reconnect breaks the connection and opens the next.
func (f *fakeProcessor) reconnect() {
	f.breakConn()
	f.open()
}

// FuzzProcessor checks the backend against a model of the connection: up, lossy (about to
// break), down. Every run is started, in order, and its end is reported once, however often
// the connection breaks and whatever is lost with it.
func FuzzProcessor(f *testing.F) {
	randomsteps.Fuzz(f, func(t *testing.T, s *randomsteps.Source) {
		f := newFakeProcessor(t, nil)
		got := make(dispatchtest.Answers, 1000)
		var sent, open []string
		for s.More() && len(sent) < 20 {
			switch s.Pick(4) {
			case 0, 1:
				if len(open) < 4 { // so that all run at once
					id := fmt.Sprint("r", len(sent))
					sent, open = append(sent, id), append(open, id)
					submit(t, f.backend.core, id, "ny-gava", got)
				}
			case 2:
				if i := s.Pick(len(open) + 1); i < len(open) && slices.Contains(f.started, open[i]) {
					f.complete(open[i])
					open = slices.Delete(open, i, i+1)
				}
			case 3:
				if !f.lossy {
					f.lossy = true
				} else {
					f.reconnect()
				}
			}
		}
		if f.lossy {
			f.reconnect()
		}
		if !slices.Equal(f.started, sent) {
			t.Errorf("started %v, sent %v", f.started, sent)
		}
		for _, id := range open {
			f.complete(id)
		}
		if len(got) != len(sent) {
			t.Errorf("%d answers to %d requests", len(got), len(sent))
		}
		wantServed(t, got, len(sent))
		f.breakConn()
	})
}

// wantServed sees that the next answers are that requests were served.
func wantServed(t *testing.T, got dispatchtest.Answers, requests int) {
	t.Helper()
	for range requests {
		if a := <-got; !strings.HasSuffix(a, fmt.Sprint(" ", dispatch.Served)) {
			t.Errorf("answer %s", a)
		}
	}
}

// TestProcessorMove guards a change of the address: while the new connection brings the
// notices that were missed, a later one that still comes over the old one would hide them
// by its number.
func TestProcessorMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeProcessor(t, nil)
		got := make(dispatchtest.Answers, 2)
		submit(t, f.backend.core, "r0", "kampanjsida", got)
		submit(t, f.backend.core, "r1", "kampanjsida", got)
		old := f.far
		f.lossy = true
		f.complete("r0") // lost on its way
		f.complete("r1")
		late := f.notices[1]
		f.mute = true // the new connection's notices are held back
		f.open()
		go func() { _, _ = io.WriteString(old, late) }() // the backend may close it first
		synctest.Wait()
		f.mute = false
		f.write("hi old 5\r\n%s", strings.Join(f.notices, ""))
		synctest.Wait()
		wantServed(t, got, 2)
		if err := old.Close(); err != nil {
			t.Error(err)
		}
		f.breakConn()
	})
}

// health records whether a core last reported that it accepts requests.
type health struct{ on atomic.Bool }

// SetAccepting implements dispatch.Registrar.
func (h *health) SetAccepting(on bool) { h.on.Store(on) }

// TestProcessorReject sees that a rejected start fails its request at once, and that such
// requests, which only a faulty client sends, don't count as failures of the server's own
// runs.
func TestProcessorReject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		self := &health{}
		f := newFakeProcessor(t, self)
		got := make(dispatchtest.Answers, 1)
		for i := range 12 {
			id := fmt.Sprint("r", i)
			submit(t, f.backend.core, id, "kampanjsida", got)
			f.write("reject begin %s\r\n", id)
			if a := <-got; a != fmt.Sprint(id, " ", dispatch.Failed) {
				t.Errorf("answer %s", a)
			}
		}
		time.Sleep(time.Second)
		if !self.on.Load() {
			t.Error("it reports itself as unhealthy")
		}
		f.breakConn()
	})
}

// TestProcessorOutOfTurn sees that bytes which are not the protocol's end the connection and
// not the program.
func TestProcessorOutOfTurn(t *testing.T) {
	for _, bytes := range []string{"hi old 5\r\n", "used 1 0\r\nhi new 5\r\n", "sing\r\n", "complete 1 a good 1 99999999\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeProcessor(t, nil)
			go f.write("%s", bytes)
			<-f.done // the link is closed
			f.backend.closed(f.near, io.EOF)
		})
	}
}
