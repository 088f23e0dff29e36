package backend

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/internal/dispatchtest"
	"quincerail.example/quincerail/protocol/lines"
)

// TestProcessor_RecoversNoticeCutAtEveryByte breaks the processor's connection after each
// byte of the notice that a run has completed. If the notice was not read, the processor sends
// it again on the next connection. The request must get exactly one response.
func TestProcessor_RecoversNoticeCutAtEveryByte(t *testing.T) {
	const notice = "complete 1 r good 1 6\r\nresult\r\n"
	for cut := range len(notice) + 1 {
		l := listen(t)
		hellos, ready := make(chan string, 9), make(chan struct{})
		go func() {
			for connections := 0; ; connections++ {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				p := scriptedProcessor{conn: nc, partialNotice: notice[:cut], notice: notice, hellos: hellos, ready: ready}
				p.serve(connections)
			}
		}()
		backend := NewProcessor(l.Addr().String(), nil, slog.Default())
		core, got := dispatchtest.StartCore(t, dispatch.Options{Backend: backend, Machine: backend}), make(dispatchtest.Answers, 2)
		backend.Attach(core)
		ctx, cancel := context.WithCancel(t.Context())
		go backend.Run(ctx)
		if hello := <-hellos; hello != "0" {
			t.Errorf("cut after %d bytes: hello %s on the first connection, want 0", cut, hello)
		}
		<-ready
		err := core.Submit(dispatch.Request{ID: "r", Class: "ny-gava", Key: "k", ArrivedAt: time.Now(), ReservedKB: 1, Responder: got})
		if err != nil {
			t.Fatal(err)
		}
		if response, want := <-got, fmt.Sprint("r ", dispatch.Served); response != want {
			t.Errorf("cut after %d bytes: response %s, want %s", cut, response, want)
		}
		if hello, want := <-hellos, map[bool]string{true: "1", false: "0"}[cut == len(notice)]; hello != want {
			t.Errorf("cut after %d bytes: hello %s on the second connection, want %s", cut, hello, want)
		}
		cancel()
		if err := l.Close(); err != nil {
			t.Error(err)
		}
		if len(got) > 0 {
			t.Errorf("cut after %d bytes: second response %s, want exactly one", cut, <-got)
		}
	}
}

// listen opens a listening TCP socket on the loopback interface.
func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// scriptedProcessor simulates the processor on one connection. It closes the first connection
// after sending partialNotice. On later connections it sends the whole notice if the hello
// shows that the backend has not read it.
type scriptedProcessor struct {
	conn                  net.Conn
	partialNotice, notice string
	hellos                chan<- string // the notice number of each hello
	ready                 chan struct{} // closed when the core queries the gauges, which it does once it can run requests
}

// write writes to the connection. It ignores errors, because the other side may have closed it.
func (p scriptedProcessor) write(format string, args ...any) {
	_, _ = fmt.Fprintf(p.conn, format, args...)
}

// serve serves the connection. previous is the number of connections before it.
func (p scriptedProcessor) serve(previous int) {
	defer func() { _ = p.conn.Close() }()
	for r, queries := bufio.NewReader(p.conn), 0; ; {
		words, _, err := lines.Read(r, func(w []string) bool { return w[0] == "begin" })
		if err != nil {
			return
		}
		switch words[0] {
		case "hello":
			p.write("hi old 5\r\n")
			if previous > 0 && words[1] == "0" {
				p.write("%s", p.notice)
			}
			p.hellos <- words[1]
		case "usage":
			if queries++; previous == 0 && queries == 2 { // the first query is the backend's own, after the greeting
				close(p.ready)
			}
			p.write("used %s\r\n", words[1])
		case "begin":
			if previous == 0 {
				p.write("%s", p.partialNotice)
				return
			}
		}
	}
}
