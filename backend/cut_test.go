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

// TestNoticeCutAtEveryByte has the processor's link break after each byte of the
// notice that a run is over. On the next link the processor says it again, as far
// as it was not read, and the request has its one answer.
func TestNoticeCutAtEveryByte(t *testing.T) {
	const notice = "complete 1 r good 1 6\r\nresult\r\n"
	for cut := range len(notice) + 1 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		hellos, working := make(chan string, 9), make(chan struct{})
		go func() {
			for links := 0; ; links++ {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				serveLink(nc, links, notice[:cut], notice, hellos, working)
			}
		}()
		link := NewProcessor(l.Addr().String(), nil, slog.Default())
		core, got := dispatchtest.New(t, dispatch.Options{Backend: link, Machine: link}), make(dispatchtest.Answers, 2)
		link.Attach(core)
		ctx, cancel := context.WithCancel(t.Context())
		go link.Run(ctx)
		if hello := <-hellos; hello != "0" {
			t.Errorf("hello %s on the first link", hello)
		}
		<-working
		err = core.Submit(dispatch.Request{ID: "r", Class: "ny-gava", Key: "k", ArrivedAt: time.Now(), ReservedKB: 1, Responder: got})
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
		l.Close()
		if len(got) > 0 {
			t.Errorf("cut after %d bytes: a second answer %s", cut, <-got)
		}
	}
}

// serveLink plays the processor on one link: the first breaks after a part of the
// notice, the others bring the whole of it where the hello did not have it. working
// is closed once the core asks for gauges, which it does when it can run requests.
func serveLink(nc net.Conn, links int, part, notice string, hellos chan<- string, working chan struct{}) {
	defer nc.Close()
	for r, questions := bufio.NewReader(nc), 0; ; {
		words, _, err := lines.Read(r, func(w []string) bool { return w[0] == "begin" })
		if err != nil {
			return
		}
		switch words[0] {
		case "hello":
			fmt.Fprint(nc, "hi old 5\r\n")
			if links > 0 && words[1] == "0" {
				fmt.Fprint(nc, notice)
			}
			hellos <- words[1]
		case "usage":
			if questions++; links == 0 && questions == 2 { // the first is the link's own
				close(working)
			}
			fmt.Fprintf(nc, "used %s\r\n", words[1])
		case "begin":
			if links == 0 {
				nc.Write([]byte(part))
				return
			}
		}
	}
}
