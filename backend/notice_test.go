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

// TestNoticeCutAtEveryByte has the processor's connection break after each byte of the
// notice that a run is over. On the next connection the processor sends it again if it was
// not read, and the request has its one answer.
func TestNoticeCutAtEveryByte(t *testing.T) {
	const notice = "complete 1 r good 1 6\r\nresult\r\n"
	for cut := range len(notice) + 1 {
		l := listen(t)
		hellos, working := make(chan string, 9), make(chan struct{})
		go func() {
			for links := 0; ; links++ {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				p := scriptedProcessor{conn: nc, part: notice[:cut], notice: notice, hellos: hellos, working: working}
				p.serve(links)
			}
		}()
		link := NewProcessor(l.Addr().String(), nil, slog.Default())
		core, got := dispatchtest.StartCore(t, dispatch.Options{Backend: link, Machine: link}), make(dispatchtest.Answers, 2)
		link.Attach(core)
		ctx, cancel := context.WithCancel(t.Context())
		go link.Run(ctx)
		if hello := <-hellos; hello != "0" {
			t.Errorf("hello %s on the first link", hello)
		}
		<-working
		err := core.Submit(dispatch.Request{ID: "r", Class: "ny-gava", Key: "k", ArrivedAt: time.Now(), ReservedKB: 1, Responder: got})
		if err != nil {
			t.Fatal(err)
		}
		if answer, want := <-got, fmt.Sprint("r ", dispatch.Served); answer != want {
			t.Errorf("cut after %d bytes: answer %s, want %s", cut, answer, want)
		}
		if hello, want := <-hellos, map[bool]string{true: "1", false: "0"}[cut == len(notice)]; hello != want {
			t.Errorf("cut after %d bytes: hello %s, want %s", cut, hello, want)
		}
		cancel()
		if err := l.Close(); err != nil {
			t.Error(err)
		}
		if len(got) > 0 {
			t.Errorf("cut after %d bytes: a second answer %s", cut, <-got)
		}
	}
}

// listen opens a listening socket.
func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// scriptedProcessor plays the processor on one connection: the first breaks after a part of
// the notice, the others bring the whole of it where the hello shows that it was not read.
type scriptedProcessor struct {
	conn         net.Conn
	part, notice string
	hellos       chan<- string
	working      chan struct{} // closed once the core asks for gauges, which it does when it can run requests
}

// write writes to the connection, whose other side may have closed it.
func (p scriptedProcessor) write(format string, args ...any) {
	_, _ = fmt.Fprintf(p.conn, format, args...)
}

// serve serves the connection, which comes after so many others.
func (p scriptedProcessor) serve(before int) {
	defer func() { _ = p.conn.Close() }()
	for r, questions := bufio.NewReader(p.conn), 0; ; {
		words, _, err := lines.Read(r, func(w []string) bool { return w[0] == "begin" })
		if err != nil {
			return
		}
		switch words[0] {
		case "hello":
			p.write("hi old 5\r\n")
			if before > 0 && words[1] == "0" {
				p.write("%s", p.notice)
			}
			p.hellos <- words[1]
		case "usage":
			if questions++; before == 0 && questions == 2 { // the first is the connection's own
				close(p.working)
			}
			p.write("used %s\r\n", words[1])
		case "begin":
			if before == 0 {
				p.write("%s", p.part)
				return
			}
		}
	}
}
