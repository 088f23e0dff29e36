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

// balancer is a balancer's connection that asks and reads at will.
type balancer struct {
	t testing.TB
	*net.TCPConn
	r   *bufio.Reader
	seq int32
}

func (w *harness) balancer(t testing.TB) *balancer {
	t.Helper()
	conn := dial(t, w.Addr().String())
	mustDo(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	return &balancer{t, conn, bufio.NewReader(conn), 0}
}

// request gives the next call of execute.
func (b *balancer) request(class, key, body string) []byte {
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

func (b *balancer) ask(class, key, body string) { b.t.Helper(); b.write(b.request(class, key, body)) }

// replies reads so many replies of execute, and leaves out what else comes.
func (b *balancer) replies(n int) (kinds map[int32]string) {
	b.t.Helper()
	kinds = make(map[int32]string)
	for len(kinds) < n {
		reply, err := fakes.ReadReply(b.r)
		if err != nil {
			b.t.Fatalf("%v after %v, %d replies wanted", err, kinds, n)
		}
		if reply.Name == "execute" {
			if kinds[reply.Seq] != "" {
				b.t.Errorf("request %d has two answers", reply.Seq)
			}
			kinds[reply.Seq] = reply.Outcome().Kind
		}
	}
	return kinds
}

// leaving reads up to the message of that name.
func (b *balancer) leaving() {
	b.t.Helper()
	if reply, err := fakes.ReadReply(b.r); err != nil || reply.Name != "leaving" {
		b.t.Errorf("%+v, %v, leaving wanted", reply, err)
	}
}

// end reads to the end of the connection: no answer, and no reset.
func (b *balancer) end() {
	b.t.Helper()
	for {
		reply, err := fakes.ReadReply(b.r)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil || reply.Name == "execute" {
			b.t.Fatalf("%+v, %v, the end wanted", reply, err)
		}
	}
}

// oneAtATime has one run at work, what else comes waits in the queue.
func oneAtATime(c *config.Config) {
	c.Settings.Cores, c.Settings.OverloadRatio = 1, 1
	c.Settings.DrainGrace, c.StopTimeout = 300*time.Millisecond, 1500*time.Millisecond
}

// TestDrainAnswersAllThatIsRead: at SIGTERM one request runs or waits on its call,
// and others wait in the queue. Each has its one answer before the process
// is to be stopped, and the connection, which its balancer never ends, is ended in
// order.
func TestDrainAnswersAllThatIsRead(t *testing.T) {
	for _, body := range []string{"hang on", "call hold"} {
		for _, class := range []string{"kampanjsida", "ny-gava"} {
			t.Run(body+" "+class, func(t *testing.T) {
				t.Parallel()
				w := newHarness(t, oneAtATime)
				b := w.balancer(t)
				b.ask(class, "k", body)
				<-w.work.Started()
				if body == "call hold" {
					<-w.ledger.Calls
				}
				for range 3 {
					b.ask("kampanjsida", "", "queued")
				}
				b.write(fakes.AppendCheck(nil, b.seq+1, false)) // all are read once it is answered
				for reply := (fakes.Reply{}); reply.Name != "check"; {
					reply = must(fakes.ReadReply(b.r))(t)
				}
				began := time.Now()
				w.startShutdown()
				got := b.replies(4)
				if took := time.Since(began); took > 1500*time.Millisecond { // the stop; answers are due 250 ms before it
					t.Errorf("answered after %v", took)
				}
				b.end() // a process that was killed does not end it in order
				<-w.drained
				if class == "ny-gava" && got[1] != "failed" {
					t.Errorf("a gift that ran is %s", got[1])
				}
			})
		}
	}
}

// TestHalfMessagesInADrain: half a frame has come at SIGTERM. One whose rest comes
// in the grace is served, one whose rest comes later is shed and never runs,
// and one whose rest never comes is ended.
func TestHalfMessagesInADrain(t *testing.T) {
	t.Parallel()
	w := newHarness(t, shortGrace)
	halves := make(map[string][]byte)
	conns := make(map[string]*balancer)
	for _, name := range []string{"early", "late", "never"} {
		b := w.balancer(t)
		m := b.request("ny-gava", name, name)
		b.write(m[:len(m)/2])
		conns[name], halves[name] = b, m[len(m)/2:]
	}
	w.startShutdown()
	for _, b := range conns {
		b.leaving()
	}
	conns["early"].write(halves["early"])
	if got := conns["early"].replies(1)[1]; got != "served" {
		t.Errorf("early: %s", got)
	}
	w.waitClosed(t)
	if _, err := conns["late"].Write(halves["late"]); err == nil {
		reply, err := fakes.ReadReply(conns["late"].r)
		if err == nil && reply.Outcome().Kind != "refused" || err != nil && !errors.Is(err, io.EOF) {
			t.Errorf("late: %+v, %v", reply, err)
		}
	}
	conns["never"].end()
	<-w.drained
	if n := w.work.Runs("late"); n > 0 {
		t.Errorf("what was complete after the grace ran %d times", n)
	}
}

// TestLateConnection: a balancer that connects in a drain is notified (leaving) before
// anything else, is served within the grace, and is ended though it never ends by
// itself.
func TestLateConnection(t *testing.T) {
	t.Parallel()
	w := newHarness(t, shortGrace)
	resting := w.balancer(t)
	resting.ask("kampanjsida", "", "before")
	resting.replies(1)
	w.startShutdown()
	resting.leaving()
	late := w.balancer(t)
	late.leaving()
	late.ask("kampanjsida", "", "late")
	if got := late.replies(1)[1]; got != "served" {
		t.Errorf("in the grace: %s", got)
	}
	resting.end()
	late.end()
	<-w.drained
}

// TestFloodInADrain: while the process drains, callers that send nothing and
// requests come in numbers. All that is asked is answered once, the process ends in
// time.
func TestFloodInADrain(t *testing.T) {
	t.Parallel()
	w := newHarness(t, func(c *config.Config) {
		shortGrace(c)
		c.MaxDescriptors = 64
	})
	w.startShutdown()
	b := w.balancer(t)
	b.leaving()
	b.ask("kampanjsida", "", "hang on") // while an answer is pending, its connection stays
	<-w.work.Started()
	hanging := b.seq
	var silent []net.Conn
	for i := range 100 {
		if conn, err := tryDial(w.Addr().String()); err == nil {
			silent = append(silent, conn)
		}
		if i%5 == 0 {
			b.ask("kampanjsida", "", fmt.Sprint("page ", i))
		}
	}
	b.write(fakes.AppendInterrupt(nil, hanging))
	b.replies(20)
	b.end()
	for _, conn := range silent {
		closeConn(conn)
	}
	<-w.drained
}

// TestBadMessageKeepsOthers: a message that makes no sense costs no other request: what
// was asked before and behind it is served, the connection ends once it rests, and other
// connections go on.
func TestBadMessageKeepsOthers(t *testing.T) {
	for name, malformed := range map[string][]byte{
		"no message":   append([]byte{0, 0, 0, 8}, "rubbish!"...),
		"oversized":    {0x7f, 0, 0, 0},
		"wrong number": fakes.AppendCheck(nil, 99, false),
	} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, nil)
			w.work.Duration = 100 * time.Millisecond
			b, other := w.balancer(t), w.balancer(t)
			b.ask("kampanjsida", "", "one")
			<-w.work.Started()
			b.write(append(append([]byte{}, malformed...), b.request("kampanjsida", "", "after")...))
			other.ask("kampanjsida", "", "other")
			got := b.replies(2)
			if got[1] != "served" || got[2] != "served" || w.work.Runs("after") != 1 {
				t.Errorf("what was asked before and behind it: %v; %d runs of the latter", got, w.work.Runs("after"))
			}
			b.end()
			if got := other.replies(1)[1]; got != "served" {
				t.Errorf("the other's: %s", got)
			}
		})
	}
}

// TestNoiseEndsConnection: a caller that goes on sending what is no message is answered
// what it has open, and its connection ends.
func TestNoiseEndsConnection(t *testing.T) {
	reply := fakes.AppendCheck(nil, 1, false)
	reply[7] = byte(thrift.Reply)
	for name, noise := range map[string][]byte{
		"bytes":    bytes.Repeat([]byte{0x7f}, 2*guard.MaxSkippedBytes),
		"messages": bytes.Repeat(reply, 2*guard.MaxInvalidMessages),
	} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, nil)
			b := w.balancer(t)
			b.ask("kampanjsida", "", "hang on")
			<-w.work.Started()
			b.write(noise)
			if got := b.replies(1)[1]; got != "failed" {
				t.Errorf("it is %s", got)
			}
			b.end()
		})
	}
}

// TestCallerHalfCloses: a balancer that shuts its writing end with requests open
// still gets one answer to each.
func TestCallerHalfCloses(t *testing.T) {
	w := newHarness(t, nil)
	b := w.balancer(t)
	b.ask("kampanjsida", "", "hang on")
	<-w.work.Started()
	mustDo(t, b.CloseWrite())
	if got := b.replies(1)[1]; got != "failed" {
		t.Errorf("it is %s", got)
	}
	b.end()
	<-w.work.Stopped()
}

// TestAnswersCutByTheirCaller: a caller that resets its connection under its answers
// harms no other, and a keyed run goes on for its repeat.
func TestAnswersCutByTheirCaller(t *testing.T) {
	w := newHarness(t, nil)
	w.work.Duration = 100 * time.Millisecond
	b, other := w.balancer(t), w.balancer(t)
	b.ask("ny-gava", "k", "gift")
	<-w.work.Started()
	mustDo(t, b.SetLinger(0)) // its close is a reset
	mustDo(t, b.Close())
	other.ask("ny-gava", "k", "gift")
	if got := other.replies(1)[1]; got != "served" || w.work.Runs("gift") != 1 {
		t.Errorf("the repeat is %s, %d runs", got, w.work.Runs("gift"))
	}
}
