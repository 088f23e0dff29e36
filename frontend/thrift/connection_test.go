package thrift

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/internal/fakes"
	"quincerail.example/quincerail/internal/frontendtest"
	"quincerail.example/quincerail/match"
	protocol "quincerail.example/quincerail/protocol/thrift"
	"quincerail.example/quincerail/transport"
)

func newFrontend(b *frontendtest.Backend) *Frontend {
	return New(Options{Core: b.Core, Rules: &match.ActiveRules{}, Log: slog.Default()})
}

// TestLargeResult: a result that the platform's protocol does not allow,
// as a run for the other front may have left it, fails its repeat over Thrift.
func TestLargeResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		caller := &frontendtest.Caller{Conn: far}
		defer caller.Disconnect()
		c := &connection{
			core: &dispatch.Core{}, conn: transport.NewConn(near),
			seqByRequest: map[string]int32{"a": 1}, requestBySeq: map[int32]string{1: "a"},
		}
		c.Respond("a", dispatch.Outcome{Kind: dispatch.Served, Result: dispatch.Payload{Body: make([]byte, protocol.MaxResult+1)}})
		go func() {
			_ = c.conn.Serve(func(r *bufio.Reader) error { _, err := r.ReadByte(); return err })
		}()
		if reply, err := fakes.ReadReply(bufio.NewReader(caller)); err != nil || reply.ResultField != 2 {
			t.Errorf("%+v, %v, want Fault", reply, err)
		}
	})
}

// peers are the peers of a front's connections, by name. Each keeps the messages that it
// gets, and "ended" for the end of its connection.
type peers struct {
	t        *testing.T
	front    *Frontend
	received map[string]chan string
}

const connectionEnded = "ended"

// connect opens a connection and sends a message on it.
func (p *peers) connect(name string, message []byte) {
	caller, _ := frontendtest.Dial(p.front.Serve)
	received := make(chan string, 9)
	p.received[name] = received
	go func() {
		defer caller.Disconnect()
		for r := bufio.NewReader(caller); ; {
			reply, err := fakes.ReadReply(r)
			if err != nil {
				received <- connectionEnded
				return
			}
			received <- reply.Name
		}
	}()
	caller.Send(message)
	time.Sleep(10 * time.Millisecond)
}

// want checks that a peer has got these messages and no others.
func (p *peers) want(name string, messages ...string) {
	p.t.Helper()
	synctest.Wait()
	for _, want := range messages {
		select {
		case got := <-p.received[name]:
			if got != want {
				p.t.Errorf("%s gets %s, want %s", name, got, want)
			}
		default:
			p.t.Errorf("%s gets nothing, want %s", name, want)
		}
	}
	if len(p.received[name]) > 0 {
		p.t.Errorf("%s also gets %s", name, <-p.received[name])
	}
}

// TestMakeRoom guards the table of connections against callers that ask once and keep
// theirs, or send nothing: the silent are notified and then closed, the one that has idled
// longest is notified and then closed, and one with an open call stays.
func TestMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		front := newFrontend(frontendtest.NewBackend(t))
		p := &peers{t: t, front: front, received: make(map[string]chan string)}
		p.connect("busy", fakes.AppendExecute(nil, 1, map[string]string{
			protocol.FieldClass:          "kampanjsida",
			protocol.FieldAttemptID:      "0000000000000001",
			protocol.FieldCaller:         "1",
			protocol.FieldReservedMemory: "1",
			protocol.FieldRank:           "0",
		}, []byte(frontendtest.HangingBody)))
		p.connect("idle", fakes.AppendCheck(nil, 1, false))
		p.connect("later", fakes.AppendCheck(nil, 1, false))
		p.connect("silent", nil)
		p.want("idle", "check")
		p.want("later", "check")
		front.MakeRoom()
		p.want("silent")
		time.Sleep(silentTimeout)
		front.MakeRoom()
		p.want("silent", "leaving") // a request of its own may be on its way
		p.want("idle")
		time.Sleep(noticePeriodWhenFull - time.Millisecond)
		front.MakeRoom()
		p.want("silent")
		time.Sleep(idleTimeoutWhenFull)
		front.MakeRoom()
		p.want("silent", connectionEnded)
		p.want("idle", "leaving")
		front.MakeRoom() // at once: room was just made
		time.Sleep(noticePeriodWhenFull + time.Millisecond)
		front.CloseIdle(time.Hour)
		p.want("idle") // it has a second where there is room
		front.MakeRoom()
		p.want("idle", connectionEnded)
		p.want("later", "leaving")
		p.want("busy")
		front.connections.Each(func(c *connection) { c.conn.Close() })
		synctest.Wait()
	})
}

// TestMalformedFields sees that an intact call with wrong contents gets an
// application exception and the connection goes on, and that too many open
// calls are not taken.
func TestMalformedFields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := frontendtest.NewBackend(t)
		caller, ended := frontendtest.Dial(newFrontend(b).Serve)
		r := bufio.NewReader(caller)
		good := map[string]string{
			protocol.FieldClass:          "kampanjsida",
			protocol.FieldAttemptID:      "0000000000000001",
			protocol.FieldCaller:         "1",
			protocol.FieldReservedMemory: "1",
			protocol.FieldRank:           "0",
		}
		seq := int32(0)
		for field, value := range map[string]string{
			protocol.FieldClass:          "okänd",
			protocol.FieldAttemptID:      "xyz",
			protocol.FieldCaller:         "x",
			protocol.FieldReservedMemory: "0",
			protocol.FieldRank:           "1",
		} {
			seq++
			fields := map[string]string{field: value}
			for name, v := range good {
				if name != field {
					fields[name] = v
				}
			}
			go caller.Send(fakes.AppendExecute(nil, seq, fields, nil))
			if reply, err := fakes.ReadReply(r); err != nil || reply.Type != protocol.Exception || reply.Seq != seq {
				t.Errorf("%s %q: %+v, %v, want an exception", field, value, reply, err)
			}
		}
		var calls []byte
		for range maxOpenRequests + 1 {
			seq++
			good[protocol.FieldAttemptID] = fmt.Sprintf("%016x", seq)
			calls = fakes.AppendExecute(calls, seq, good, []byte(frontendtest.HangingBody))
		}
		go caller.Send(calls)
		if reply, err := fakes.ReadReply(r); err != nil || reply.Type != protocol.Exception || reply.Seq != seq {
			t.Errorf("one call too many: %+v, %v, want an exception", reply, err)
		}
		caller.Disconnect()
		<-ended
	})
}
