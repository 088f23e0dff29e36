package server_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/guard"
	"quincerail.example/quincerail/internal/fakes"
	"quincerail.example/quincerail/protocol/thrift"
)

// balancer is a balancer's Thrift connection on which a test sends and reads messages.
type balancer struct {
	t testing.TB
	*net.TCPConn
	r   *bufio.Reader
	seq int32
}

// balancer connects to the server as a balancer.
func (h *harness) balancer(t testing.TB) *balancer {
	t.Helper()
	conn := dial(t, h.Addr().String())
	mustSucceed(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	return &balancer{t, conn, bufio.NewReader(conn), 0}
}

// executeMessage returns the next call of execute, encoded.
func (b *balancer) executeMessage(class, key, body string) []byte {
	b.seq++
	fields := map[string]string{"verb": class, "txn": fakes.NewID(), "lb": "1", "ram": "20", "standing": "0.5"}
	if key != "" {
		fields["unique"] = key
	}
	return fakes.AppendExecute(nil, b.seq, fields, []byte(body))
}

func (b *balancer) write(p []byte) {
	b.t.Helper()
	if _, err := b.Write(p); err != nil {
		b.t.Fatal(err)
	}
}

func (b *balancer) send(class, key, body string) {
	b.t.Helper()
	b.write(b.executeMessage(class, key, body))
}

// replies reads n replies to execute, and skips other messages. It returns the outcomes by
// sequence number.
func (b *balancer) replies(n int) (kinds map[int32]string) {
	b.t.Helper()
	kinds = make(map[int32]string)
	for len(kinds) < n {
		reply, err := fakes.ReadReply(b.r)
		if err != nil {
			b.t.Fatalf("got replies %v, then error %v; want %d replies", kinds, err, n)
		}
		if reply.Name == "execute" {
			if kinds[reply.Seq] != "" {
				b.t.Errorf("request %d got two answers, want one", reply.Seq)
			}
			kinds[reply.Seq] = reply.Outcome().Kind
		}
	}
	return kinds
}

// expectLeaving reads one message, which must be leaving.
func (b *balancer) expectLeaving() {
	b.t.Helper()
	if reply, err := fakes.ReadReply(b.r); err != nil || reply.Name != "leaving" {
		b.t.Errorf("next message = %+v, %v, want leaving", reply, err)
	}
}

// expectEOF reads until the server closes the connection. A further answer to execute or a
// reset fails the test.
func (b *balancer) expectEOF() {
	b.t.Helper()
	for {
		reply, err := fakes.ReadReply(b.r)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil || reply.Name == "execute" {
			b.t.Fatalf("next message = %+v, %v, want EOF", reply, err)
		}
	}
}

// oneRunAtATime limits the server to one run at a time, so that further requests wait in the
// queue.
func oneRunAtATime(c *config.Config) {
	c.Settings.Cores, c.Settings.OverloadRatio = 1, 1
	c.Settings.DrainGrace, c.StopTimeout = 300*time.Millisecond, 1500*time.Millisecond
}

// TestDrain_AnswersEveryReadRequest begins a drain while one request runs or waits for its
// downstream call, and others wait in the queue. Each must get one answer before the kill
// time, and the server must close the connection without a reset, as the balancer never
// closes it.
func TestDrain_AnswersEveryReadRequest(t *testing.T) {
	for _, body := range []string{"hang on", "call hold"} {
		for _, class := range []string{"kampanjsida", "ny-gava"} {
			t.Run(body+" "+class, func(t *testing.T) {
				t.Parallel()
				h := newHarness(t, oneRunAtATime)
				b := h.balancer(t)
				b.send(class, "k", body)
				<-h.work.Started()
				if body == "call hold" {
					<-h.dependency.Calls
				}
				for range 3 {
					b.send("kampanjsida", "", "queued")
				}
				b.write(fakes.AppendCheck(nil, b.seq+1, false)) // the server has read all requests once it answers this check
				for reply := (fakes.Reply{}); reply.Name != "check"; {
					reply = must(fakes.ReadReply(b.r))(t)
				}
				began := time.Now()
				h.startShutdown()
				got := b.replies(4)
				if took := time.Since(began); took > 1500*time.Millisecond { // the kill time; answers are due 250 ms before it
					t.Errorf("last answer %v after the drain began, want at most 1.5s", took)
				}
				b.expectEOF() // a process that is killed does not close its connections gracefully
				<-h.drained
				if class == "ny-gava" && got[1] != "failed" {
					t.Errorf("outcome of the keyed request that ran = %s, want failed", got[1])
				}
			})
		}
	}
}

// TestDrain_PartialMessages begins a drain when half of a frame has arrived on each
// connection. The request is served if its rest arrives within the grace, and is shed and
// never runs if the rest arrives later. If the rest never arrives, the server closes the
// connection.
func TestDrain_PartialMessages(t *testing.T) {
	t.Parallel()
	h := newHarness(t, shortGrace)
	halves := make(map[string][]byte)
	conns := make(map[string]*balancer)
	for _, name := range []string{"early", "late", "never"} {
		b := h.balancer(t)
		m := b.executeMessage("ny-gava", name, name)
		b.write(m[:len(m)/2])
		conns[name], halves[name] = b, m[len(m)/2:]
	}
	h.startShutdown()
	for _, b := range conns {
		b.expectLeaving()
	}
	conns["early"].write(halves["early"])
	if got := conns["early"].replies(1)[1]; got != "served" {
		t.Errorf("outcome of a request whose last bytes arrived within the grace = %s, want served", got)
	}
	h.waitClosed(t)
	if _, err := conns["late"].Write(halves["late"]); err == nil {
		reply, err := fakes.ReadReply(conns["late"].r)
		if err == nil && reply.Outcome().Kind != "refused" || err != nil && !errors.Is(err, io.EOF) {
			t.Errorf("reply to a request whose last bytes arrived after the grace = %+v, %v, want refused or EOF", reply, err)
		}
	}
	conns["never"].expectEOF()
	<-h.drained
	if n := h.work.Runs("late"); n > 0 {
		t.Errorf("a request whose last bytes arrived after the grace ran %d times, want 0", n)
	}
}

// TestDrain_NotifiesAndServesNewConnection checks that a balancer that connects during a
// drain first gets the message leaving and is served within the grace, and that the server
// closes the connections, as the balancers never do.
func TestDrain_NotifiesAndServesNewConnection(t *testing.T) {
	t.Parallel()
	h := newHarness(t, shortGrace)
	idle := h.balancer(t)
	idle.send("kampanjsida", "", "before")
	idle.replies(1)
	h.startShutdown()
	idle.expectLeaving()
	late := h.balancer(t)
	late.expectLeaving()
	late.send("kampanjsida", "", "late")
	if got := late.replies(1)[1]; got != "served" {
		t.Errorf("outcome on a new connection within the grace = %s, want served", got)
	}
	idle.expectEOF()
	late.expectEOF()
	<-h.drained
}

// TestDrain_AnswersDuringConnectionFlood opens many connections without a message during a
// drain, and sends requests on another one. Each request must get one answer, and the drain
// must end in time.
func TestDrain_AnswersDuringConnectionFlood(t *testing.T) {
	t.Parallel()
	h := newHarness(t, func(c *config.Config) {
		shortGrace(c)
		c.MaxDescriptors = 64
	})
	h.startShutdown()
	b := h.balancer(t)
	b.expectLeaving()
	b.send("kampanjsida", "", "hang on") // the connection stays open while its answer is pending
	<-h.work.Started()
	hanging := b.seq
	var silent []net.Conn
	for i := range 100 {
		if conn, err := tryDial(h.Addr().String()); err == nil {
			silent = append(silent, conn)
		}
		if i%5 == 0 {
			b.send("kampanjsida", "", fmt.Sprint("page ", i))
		}
	}
	b.write(fakes.AppendInterrupt(nil, hanging))
	b.replies(20)
	b.expectEOF()
	for _, conn := range silent {
		closeConn(conn)
	}
	<-h.drained
}

// TestMalformedMessage_OtherRequestsAreServed checks that a malformed message loses no other
// request: the requests before and after it on its connection are served, the server closes
// that connection when it is idle, and other connections stay open.
func TestMalformedMessage_OtherRequestsAreServed(t *testing.T) {
	for name, malformed := range map[string][]byte{
		"not a message":         append([]byte{0, 0, 0, 8}, "rubbish!"...),
		"oversized frame":       {0x7f, 0, 0, 0},
		"wrong sequence number": fakes.AppendCheck(nil, 99, false),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.work.Duration = 100 * time.Millisecond
			b, other := h.balancer(t), h.balancer(t)
			b.send("kampanjsida", "", "one")
			<-h.work.Started()
			b.write(append(append([]byte{}, malformed...), b.executeMessage("kampanjsida", "", "after")...))
			other.send("kampanjsida", "", "other")
			got := b.replies(2)
			if got[1] != "served" || got[2] != "served" || h.work.Runs("after") != 1 {
				t.Errorf("outcomes of the requests before and after = %v, %d runs of the second, want both served and 1 run", got, h.work.Runs("after"))
			}
			b.expectEOF()
			if got := other.replies(1)[1]; got != "served" {
				t.Errorf("outcome on another connection = %s, want served", got)
			}
		})
	}
}

// TestMalformedMessages_TooManyCloseConnection checks that a caller that keeps sending invalid
// data still gets the answers to its open requests, and that its connection is closed.
func TestMalformedMessages_TooManyCloseConnection(t *testing.T) {
	reply := fakes.AppendCheck(nil, 1, false)
	reply[7] = byte(thrift.Reply)
	for name, noise := range map[string][]byte{
		"bytes":    bytes.Repeat([]byte{0x7f}, 2*guard.MaxSkippedBytes),
		"messages": bytes.Repeat(reply, 2*guard.MaxInvalidMessages),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			b := h.balancer(t)
			b.send("kampanjsida", "", "hang on")
			<-h.work.Started()
			b.write(noise)
			if got := b.replies(1)[1]; got != "failed" {
				t.Errorf("outcome of the open request = %s, want failed", got)
			}
			b.expectEOF()
		})
	}
}

// TestHalfClose_OpenRequestIsAnswered checks that a balancer that closes its writing side
// while a request is open still gets one answer to it.
func TestHalfClose_OpenRequestIsAnswered(t *testing.T) {
	h := newHarness(t, nil)
	b := h.balancer(t)
	b.send("kampanjsida", "", "hang on")
	<-h.work.Started()
	mustSucceed(t, b.CloseWrite())
	if got := b.replies(1)[1]; got != "failed" {
		t.Errorf("outcome of the open request = %s, want failed", got)
	}
	b.expectEOF()
	<-h.work.Stopped()
}

// TestConnectionReset_DuplicateGetsResult checks that after a caller resets its connection,
// the run of its keyed request continues, and a duplicate on another connection gets the
// result.
func TestConnectionReset_DuplicateGetsResult(t *testing.T) {
	h := newHarness(t, nil)
	h.work.Duration = 100 * time.Millisecond
	b, other := h.balancer(t), h.balancer(t)
	b.send("ny-gava", "k", "gift")
	<-h.work.Started()
	mustSucceed(t, b.SetLinger(0)) // makes Close send a reset
	mustSucceed(t, b.Close())
	other.send("ny-gava", "k", "gift")
	if got := other.replies(1)[1]; got != "served" || h.work.Runs("gift") != 1 {
		t.Errorf("outcome of the duplicate = %s with %d runs, want served with 1 run", got, h.work.Runs("gift"))
	}
}
