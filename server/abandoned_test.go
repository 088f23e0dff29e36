package server_test

import (
	"bufio"
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/frontend/thrift"
	"quincerail.example/quincerail/frontend/uwsgi"
	"quincerail.example/quincerail/internal/dispatchtest"
	"quincerail.example/quincerail/internal/fakes"
	"quincerail.example/quincerail/internal/frontendtest"
	"quincerail.example/quincerail/match"
	protocol "quincerail.example/quincerail/protocol/uwsgi"
	"quincerail.example/quincerail/transport"
)

// startsOnly is a backend whose runs never end. It records their ids.
type startsOnly struct {
	frontendtest.Backend
	starts chan string
}

// Start implements dispatch.Backend.
func (b *startsOnly) Start(r dispatch.Run) { b.starts <- r.ID }

// Cancel implements dispatch.Backend.
func (b *startsOnly) Cancel(string) {}

// sendAndLeave writes keyed requests whose keys begin with prefix to a listener that accepts
// nothing yet, and closes the connections.
type sendAndLeave func(t *testing.T, address, prefix string) (connections int)

// leaveThrift sends requests on one connection.
func leaveThrift(t *testing.T, address, prefix string) (connections int) {
	const requests = 32
	conn := dial(t, address)
	var messages []byte
	for seq := range int32(requests) {
		messages = fakes.AppendExecute(messages, seq+1, map[string]string{
			"verb": "ny-gava", "txn": fakes.NewID(), "lb": "1", "ram": "1", "standing": "0.5", "unique": fmt.Sprint(prefix, seq),
		}, []byte("gift"))
	}
	_, err := conn.Write(messages)
	mustSucceed(t, err)
	mustSucceed(t, conn.Close())
	return 1
}

// leaveUWSGI sends each request on a connection of its own.
func leaveUWSGI(t *testing.T, address, prefix string) (connections int) {
	const requests = 64
	for n := range requests {
		attempt := must(fakes.UWSGI(address, "ny-gava", fmt.Sprint(prefix, n), "gift"))(t)
		mustSucceed(t, attempt.Send())
		attempt.Disconnect()
	}
	return requests
}

// TestPeerClosed_UnreadRequestsDoNotRun guards against requests that are sent on after their
// client has left: a client writes keyed requests and closes its connections before the server
// reads them. None of them runs, and a key that comes again does.
func TestPeerClosed_UnreadRequestsDoNotRun(t *testing.T) {
	for _, test := range []struct {
		name   string
		client fakes.Client
		leave  sendAndLeave
		serve  func(*startsOnly) func(*transport.Conn)
	}{
		{"thrift", fakes.Thrift, leaveThrift, func(b *startsOnly) func(*transport.Conn) {
			return thrift.New(thrift.Options{Core: b.Core, Rules: &match.ActiveRules{}, Log: slog.Default()}).Serve
		}},
		{"uwsgi", fakes.UWSGI, leaveUWSGI, func(b *startsOnly) func(*transport.Conn) {
			routes := config.UWSGI{
				KeyVariable: "HTTP_IDEMPOTENCY_KEY", MaxBody: 4096,
				Routes: []config.UWSGIRoute{{Path: "/ny-gava", Class: "ny-gava"}},
			}
			return uwsgi.New(uwsgi.Options{
				Core: b.Core, Backend: b, Rules: &match.ActiveRules{},
				Config: uwsgi.Config{Routes: routes.RouteTable(), MaxBodyBytes: routes.MaxBody},
			}).Serve
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := &startsOnly{starts: make(chan string, 100)}
			b.Core = dispatchtest.StartCore(t, dispatch.Options{Backend: b})
			b.Core.BackendReady(false, 0)
			l := listen(t)
			connections := test.leave(t, l.Addr().String(), "key")
			closed := make(chan struct{}, connections+1)
			serve := test.serve(b)
			s := transport.NewServer(l, connections+1, func(c *transport.Conn) {
				serve(c)
				closed <- struct{}{}
			}, func() {})
			go func() { _ = s.Serve() }()
			for range connections {
				<-closed
			}
			counted := make(chan int, 1)
			mustSucceed(t, b.Core.CountUnanswered(func(n int) { counted <- n }))
			if n := <-counted; n != 0 || len(b.starts) != 0 {
				t.Errorf("%d requests open and %d runs after the clients have left, want 0 and 0", n, len(b.starts))
			}
			again := must(test.client(l.Addr().String(), "ny-gava", "key0", "gift"))(t)
			defer again.Disconnect()
			mustSucceed(t, again.Send())
			select {
			case <-b.starts:
			case <-time.After(5 * time.Second):
				t.Error("the key did not run when it came again")
			}
			s.Close()
		})
	}
}

// TestHalfClose_UWSGIRequestIsAnswered checks that a caller over uwsgi that shuts down its write
// side while its request runs gets an answer: before, the connection closed without one.
func TestHalfClose_UWSGIRequestIsAnswered(t *testing.T) {
	h := newHarness(t, nil)
	conn := dial(t, h.UWSGIAddr().String())
	request := must(protocol.AppendRequest(nil, []protocol.Var{
		{Name: "REQUEST_METHOD", Value: http.MethodPost}, {Name: "PATH_INFO", Value: "/kampanjsida"},
	}, []byte("hang on")))(t)
	_, err := conn.Write(request)
	mustSucceed(t, err)
	<-h.work.Started()
	mustSucceed(t, conn.CloseWrite())
	response := must(protocol.ReadResponse(bufio.NewReader(conn), http.MethodPost))(t)
	if response.Status != http.StatusBadGateway {
		t.Errorf("status = %d, want %d", response.Status, http.StatusBadGateway)
	}
	<-h.work.Stopped()
}
