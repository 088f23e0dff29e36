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

// submit submits a request with an idempotency key and waits until the core has handled it.
func submit(t *testing.T, core *dispatch.Core, id, class string, responder dispatch.Responder) {
	t.Helper()
	err := core.Submit(dispatch.Request{
		ID: id, Class: class, Key: "key of " + id, ArrivedAt: time.Now(), ReservedKB: 1, Responder: responder,
		Payload: dispatch.Payload{Body: []byte("body of " + id)},
	})
	if err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
}

// fakeProcessor is the processor's side of a connection that may break. A break may lose the
// bytes written last; fakeProcessor sends missed notices again on the next connection.
type fakeProcessor struct {
	t       *testing.T
	backend *Processor
	near    *transport.Conn
	far     net.Conn
	done    chan struct{} // closed when the connection's command reader has returned
	started []string
	notices []string
	lossy   bool // commands and notices are lost from now on, until the connection breaks
	mute    bool // hello gets no answer
}

// newFakeProcessor returns a processor with a connected backend and the backend's core.
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
			f.handle(words)
		}
	}()
	go func(c *transport.Conn) { _ = c.Serve(f.backend.connOpened(c)) }(f.near) // the error is ignored: the test breaks the connection
	synctest.Wait()
}

// write writes to the connection. It ignores errors, because some tests break the connection
// during a write.
func (f *fakeProcessor) write(format string, args ...any) {
	_, _ = fmt.Fprintf(f.far, format, args...)
}

// handle handles a command from the backend.
func (f *fakeProcessor) handle(words []string) {
	if f.lossy {
		return
	}
	switch words[0] {
	case "hello":
		last, err := strconv.Atoi(words[1])
		if err != nil {
			f.t.Errorf("hello command %q has no notice number: %v", words, err)
		}
		if f.mute {
			return
		}
		f.write("hi old 5\r\n%s", strings.Join(f.notices[last:], ""))
	case "usage":
		f.write("used %s 0 0 0 0\r\n", words[1])
	case "begin":
		if !slices.Contains(f.started, words[1]) { // a second start of a run has no effect
			f.started = append(f.started, words[1])
		}
	}
}

// complete completes a run and sends its notice.
func (f *fakeProcessor) complete(id string) {
	text := fmt.Sprintf("complete %d %s good 1 2\r\nok\r\n", len(f.notices)+1, id)
	f.notices = append(f.notices, text)
	if !f.lossy { // else the notice is lost
		f.write("%s", text)
	}
	synctest.Wait()
}

// breakConn breaks the connection and reports that to the backend.
func (f *fakeProcessor) breakConn() {
	if err := f.far.Close(); err != nil {
		f.t.Error(err)
	}
	<-f.done
	synctest.Wait()
	f.backend.connClosed(f.near, io.EOF)
}

// reconnect breaks the connection and opens the next one.
func (f *fakeProcessor) reconnect() {
	f.breakConn()
	f.open()
}

// FuzzProcessor breaks the connection at random points and loses what was sent shortly before.
// Every run must be started, in the order of submission, and every request must get exactly
// one response.
func FuzzProcessor(f *testing.F) {
	randomsteps.Fuzz(f, func(t *testing.T, s *randomsteps.Source) {
		f := newFakeProcessor(t, nil)
		got := make(dispatchtest.Answers, 1000)
		var sent, open []string
		for s.More() && len(sent) < 20 {
			switch s.Pick(4) {
			case 0, 1:
				if len(open) < 4 { // few enough to run at the same time
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
			t.Errorf("started runs %v, want %v", f.started, sent)
		}
		for _, id := range open {
			f.complete(id)
		}
		if len(got) != len(sent) {
			t.Errorf("%d responses to %d requests, want one to each", len(got), len(sent))
		}
		wantServed(t, got, len(sent))
		f.breakConn()
	})
}

// wantServed checks that the next responses report requests that were served.
func wantServed(t *testing.T, got dispatchtest.Answers, requests int) {
	t.Helper()
	for range requests {
		if response := <-got; !strings.HasSuffix(response, fmt.Sprint(" ", dispatch.Served)) {
			t.Errorf("response %s, want one with outcome %v", response, dispatch.Served)
		}
	}
}

// TestProcessor_IgnoresOldConnectionAfterAddressChange sends a notice over the old connection
// while the new one has not delivered the missed notices yet. If the backend accepted that
// notice, its higher number would suppress the earlier notices.
func TestProcessor_IgnoresOldConnectionAfterAddressChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeProcessor(t, nil)
		got := make(dispatchtest.Answers, 2)
		submit(t, f.backend.core, "r0", "kampanjsida", got)
		submit(t, f.backend.core, "r1", "kampanjsida", got)
		old := f.far
		f.lossy = true
		f.complete("r0") // the notice is lost
		f.complete("r1")
		late := f.notices[1]
		f.mute = true // delays the notices of the new connection
		f.open()
		go func() { _, _ = io.WriteString(old, late) }() // the error is ignored: the backend may close the connection first
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

// health records whether the core last reported that it accepts requests.
type health struct{ accepting atomic.Bool }

// SetAccepting implements dispatch.Registrar.
func (h *health) SetAccepting(on bool) { h.accepting.Store(on) }

// TestProcessor_FailsRequestsOfRejectedStarts checks that a rejected start fails its request at
// once. Only a faulty client causes rejected starts, so they must not count as failures of
// the server's own runs.
func TestProcessor_FailsRequestsOfRejectedStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registrar := &health{}
		f := newFakeProcessor(t, registrar)
		got := make(dispatchtest.Answers, 1)
		for i := range 12 {
			id := fmt.Sprint("r", i)
			submit(t, f.backend.core, id, "kampanjsida", got)
			f.write("reject begin %s\r\n", id)
			if response, want := <-got, fmt.Sprint(id, " ", dispatch.Failed); response != want {
				t.Errorf("response %s, want %s", response, want)
			}
		}
		time.Sleep(time.Second)
		if !registrar.accepting.Load() {
			t.Error("the server reports that it does not accept requests after rejected starts")
		}
		f.breakConn()
	})
}

// TestProcessor_ClosesConnectionOnProtocolError checks that unexpected, unknown and oversized
// notices close the connection and do not crash the program.
func TestProcessor_ClosesConnectionOnProtocolError(t *testing.T) {
	for _, notices := range []string{"hi old 5\r\n", "used 1 0\r\nhi new 5\r\n", "sing\r\n", "complete 1 a good 1 99999999\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeProcessor(t, nil)
			go f.write("%s", notices)
			<-f.done // the backend has closed the connection
			f.backend.connClosed(f.near, io.EOF)
		})
	}
}
