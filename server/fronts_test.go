package server

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/internal/dispatchtest"
	"quincerail.example/quincerail/internal/fakes"
	"quincerail.example/quincerail/internal/randomsteps"
	"quincerail.example/quincerail/match"
	"quincerail.example/quincerail/protocol/thrift"
	"quincerail.example/quincerail/protocol/uwsgi"
	"quincerail.example/quincerail/transport"
)

// instant is a backend whose runs end at once, but for bodies that say hang.
type instant struct{ core *dispatch.Core }

// Start implements dispatch.Backend.
func (b *instant) Start(r dispatch.Run) {
	if string(r.Payload.Body) != "hang" {
		go b.core.RunCompleted(r.ID, dispatch.RunSucceeded, 0, r.Payload)
	}
}

// Cancel implements dispatch.Backend.
func (b *instant) Cancel(id string) {
	go b.core.RunCompleted(id, dispatch.RunCancelled, 0, dispatch.Payload{})
}

// ReplyToCall implements dispatch.Backend.
func (b *instant) ReplyToCall(string, []byte) {}

// SkipCall implements dispatch.Backend.
func (b *instant) SkipCall(string, uint64) {}

func newInstant(t *testing.T) *instant {
	b := &instant{}
	b.core = dispatchtest.New(t, dispatch.Options{Backend: b})
	b.core.BackendReady(false, 0)
	return b
}

// dial opens a connection to a front without a network.
func dial(f front) (far net.Conn, ended chan struct{}) {
	near, far := net.Pipe()
	ended = make(chan struct{})
	go func() { f.serve(transport.NewConn(near)); close(ended) }()
	return far, ended
}

// FuzzThriftConn checks a balancer's connection against a model: silent, open with
// calls that wait or were given up, left, and ended, by its own choice only if
// it was left before or silent for too long, or by a broken sequence. Each call has one reply; one that
// was given up may have none.
func FuzzThriftConn(f *testing.F) {
	fields := func(id int, class string) map[string]string {
		return map[string]string{"verb": class, "txn": fmt.Sprintf("%016x", id), "lb": "1", "ram": "1", "standing": "0"}
	}
	randomsteps.Fuzz(f, func(t *testing.T, s *randomsteps.Source) {
		b := newInstant(t)
		front := newThriftFront(b.core, &match.Rules{}, slog.Default(), nil, nil)
		far, ended := dial(front)
		replies := make(map[int32]int)
		read := make(chan struct{})
		go func() {
			defer close(read)
			for r := bufio.NewReader(far); ; {
				reply, err := fakes.ReadReply(r)
				if err != nil {
					return
				}
				replies[reply.Seq]++
			}
		}()
		owed, gone, hanging := make(map[int32]bool), make(map[int32]bool), 0
		seq, left, over := int32(0), false, false
		silent, since := true, time.Now()
		send := func(m []byte) { far.Write(m); synctest.Wait() }
		for s.More() && seq < 60 && !over {
			step := s.Pick(6)
			if step < 3 || step == 4 {
				seq++
			}
			silent = silent && step == 5
			switch step {
			case 0, 1:
				owed[seq] = true
				send(fakes.AppendExecute(nil, seq, fields(int(seq), "givarhistorik"), nil))
			case 2:
				if owed[seq] = true; hanging < 3 {
					hanging++
					send(fakes.AppendExecute(nil, seq, fields(int(seq), "givarhistorik"), []byte("hang")))
				} else {
					send(fakes.AppendExecute(nil, seq, fields(int(seq), "okänd"), nil))
				}
			case 3:
				target := int32(1 + s.Pick(int(seq)+1))
				gone[target] = gone[target] || target <= seq
				send(fakes.AppendInterrupt(nil, target))
			case 4:
				owed[seq] = true
				send(fakes.AppendCheck(nil, seq, s.Pick(2) == 1))
			case 5:
				time.Sleep(time.Duration(s.Pick(30)) * 100 * time.Millisecond)
				front.notifyDraining()
				synctest.Wait()
				select {
				case <-ended:
					over = true
					if !left && !(silent && time.Since(since) >= thriftWithin) {
						t.Error("it ended before it was left")
					}
				default:
					left = true
				}
			}
		}
		if !over && !silent {
			time.Sleep(5 * time.Second) // beyond the class's deadline
			owed[seq+1] = true
			send(fakes.AppendCheck(nil, seq+1, false))
			send(fakes.AppendCheck(nil, seq+1+int32(2*s.Pick(2)), false)) // a number again, or one left out, ends it
		}
		<-ended
		<-read
		delete(replies, 0) // leaving
		for n := range owed {
			if got := replies[n]; got != 1 && !(gone[n] && got == 0) {
				t.Errorf("call %d: %d replies", n, got)
			}
			delete(replies, n)
		}
		if len(replies) > 0 {
			t.Errorf("replies to nothing: %v", replies)
		}
	})
}

func uwsgiTestConfig() *config.UWSGI {
	return &config.UWSGI{
		KeyVariable: "HTTP_IDEMPOTENCY_KEY", HealthPath: "/health", MaxBody: 64,
		Routes: []config.UWSGIRoute{{Method: "POST", Path: "/gavor", Class: "ny-gava"}, {Path: "/k/{id}", Class: "kampanjsida"}},
	}
}

// FuzzUWSGIConn checks a uwsgi connection against a model: nothing read, half
// read, whole, answered. However a request is cut up, and whatever wakes the
// connection, it has one response; half of it has one too when the grace of a
// drain is over, and none of it has none.
func FuzzUWSGIConn(f *testing.F) {
	randomsteps.Fuzz(f, func(t *testing.T, s *randomsteps.Source) {
		b := newInstant(t)
		front := newUWSGIFront(b.core, b, uwsgiTestConfig(), &match.Rules{})
		far, ended := dial(front)
		packet, err := uwsgi.AppendRequest(nil, []uwsgi.Var{
			{Name: "REQUEST_METHOD", Value: "POST"},
			{Name: "PATH_INFO", Value: "/gavor"},
			{Name: "HTTP_IDEMPOTENCY_KEY", Value: "k"},
		}, []byte("10 kr"))
		if err != nil {
			t.Fatal(err)
		}
		status := make(chan int, 1)
		go func() {
			resp, err := uwsgi.ReadResponse(bufio.NewReader(far), "POST")
			if err != nil {
				resp = &uwsgi.Response{}
			}
			status <- resp.Status
		}()
		sent, late, want := 0, false, 200
		for s.More() && sent < len(packet) && !late {
			switch s.Pick(4) {
			case 0, 1:
				n := min(len(packet)-sent, 1+s.Pick(40))
				far.Write(packet[sent : sent+n])
				sent += n
			case 2:
				front.conns.each(func(u *uwsgiConn) { u.conn.Wake() })
			case 3:
				late = s.Pick(12) == 0
			}
			synctest.Wait()
		}
		if late {
			if want = 503; sent == 0 {
				want = 0
			}
			front.refuseLate()
		} else if sent < len(packet) {
			if want = 408; sent == 0 {
				want = 0
			}
			time.Sleep(uwsgiReadWithin)
		}
		if got := <-status; got != want {
			t.Errorf("status %d with %d of %d bytes sent, late %t, want %d", got, sent, len(packet), late, want)
		}
		far.Close()
		<-ended
	})
}

// TestUWSGIStatuses sees each way in which a request ends before it is handed in.
func TestUWSGIStatuses(t *testing.T) {
	vars := func(method, path, key string) []uwsgi.Var {
		v := []uwsgi.Var{{Name: "REQUEST_METHOD", Value: method}, {Name: "PATH_INFO", Value: path}}
		if key != "" {
			v = append(v, uwsgi.Var{Name: "HTTP_IDEMPOTENCY_KEY", Value: key})
		}
		return v
	}
	for _, x := range []struct {
		name   string
		vars   []uwsgi.Var
		body   string
		status int
	}{
		{"served", vars("GET", "/k/jul", ""), "", 200},
		{"served by URI", []uwsgi.Var{{Name: "REQUEST_METHOD", Value: "GET"}, {Name: "REQUEST_URI", Value: "/k/jul?x=1"}}, "", 200},
		{"healthy", vars("GET", "/health", ""), "", 200},
		{"no route", vars("GET", "/om", ""), "", 404},
		{"no key", vars("POST", "/gavor", ""), "10 kr", 400},
		{"too large", vars("POST", "/gavor", "k"), strings.Repeat("x", 65), 413},
		{"out of time", vars("GET", "/k/jul", ""), "hang", 503}, // the module turns safe work away when its time is over
		{"out of time", vars("POST", "/gavor", "k"), "hang", 504},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newInstant(t)
				far, ended := dial(newUWSGIFront(b.core, b, uwsgiTestConfig(), &match.Rules{}))
				packet, err := uwsgi.AppendRequest(nil, x.vars, []byte(x.body))
				if err != nil {
					t.Fatal(err)
				}
				go far.Write(packet)
				resp, err := uwsgi.ReadResponse(bufio.NewReader(far), "POST")
				if err != nil || resp.Status != x.status {
					t.Errorf("%+v, %v, want status %d", resp, err, x.status)
				}
				far.Close()
				<-ended
			})
		})
	}
}

func TestUWSGIPing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newInstant(t)
		far, ended := dial(newUWSGIFront(b.core, b, uwsgiTestConfig(), &match.Rules{}))
		go far.Write([]byte{uwsgi.ModifierPing, 0, 0, 0})
		pong := make([]byte, 4)
		if _, err := far.Read(pong); err != nil || string(pong) != string(uwsgi.AppendPong(nil)) {
			t.Errorf("%v, %v", pong, err)
		}
		far.Close()
		<-ended
	})
}

// TestThriftLargeResult: a result that the platform's protocol does not allow,
// as a run for the other front may have left it, fails its repeat over Thrift.
func TestThriftLargeResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		c := &thriftConn{core: &dispatch.Core{}, conn: transport.NewConn(near), open: map[string]int32{"a": 1}, ids: map[int32]string{1: "a"}}
		c.Respond("a", dispatch.Outcome{Kind: dispatch.Served, Result: dispatch.Payload{Body: make([]byte, thrift.MaxResult+1)}})
		go c.conn.Serve(func(r *bufio.Reader) error { _, err := r.ReadByte(); return err })
		if reply, err := fakes.ReadReply(bufio.NewReader(far)); err != nil || reply.Which != 2 {
			t.Errorf("%+v, %v, want Fault", reply, err)
		}
		far.Close()
	})
}

// TestThriftCrowded guards the table of connections against callers that ask
// once and keep theirs, or say nothing: the silent are left and then ended, the one that has idled
// longest is left and then ended, and one with an open call stays.
func TestThriftCrowded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newInstant(t)
		front := newThriftFront(b.core, &match.Rules{}, slog.Default(), nil, nil)
		said := make(map[string]chan string) // what each connection hears, until it ends
		open := func(name string, says []byte) {
			far, _ := dial(front)
			heard := make(chan string, 9)
			said[name] = heard
			go func() {
				for r := bufio.NewReader(far); ; {
					reply, err := fakes.ReadReply(r)
					if err != nil {
						heard <- "ended"
						far.Close()
						return
					}
					heard <- reply.Name
				}
			}()
			far.Write(says)
			time.Sleep(10 * time.Millisecond)
		}
		want := func(name string, what ...string) {
			t.Helper()
			synctest.Wait()
			for _, w := range what {
				select {
				case got := <-said[name]:
					if got != w {
						t.Errorf("%s: it hears %s, want %s", name, got, w)
					}
				default:
					t.Errorf("%s: it hears nothing, want %s", name, w)
				}
			}
			if len(said[name]) > 0 {
				t.Errorf("%s: it also hears %s", name, <-said[name])
			}
		}
		open("busy", fakes.AppendExecute(nil, 1, map[string]string{
			"verb": "kampanjsida", "txn": "0000000000000001",
			"lb": "1", "ram": "1", "standing": "0",
		}, []byte("hang")))
		open("idle", fakes.AppendCheck(nil, 1, false))
		open("later", fakes.AppendCheck(nil, 1, false))
		open("silent", nil)
		want("idle", "check")
		want("later", "check")
		front.crowded()
		want("silent")
		time.Sleep(silentAfter)
		front.crowded()
		want("silent", "leaving") // a request of its own may be on its way
		want("idle")
		time.Sleep(crowdedLeave - time.Millisecond)
		front.crowded()
		want("silent")
		time.Sleep(crowdedAfter)
		front.crowded()
		want("silent", "ended")
		want("idle", "leaving")
		front.crowded() // at once: room was just made
		time.Sleep(crowdedLeave + time.Millisecond)
		front.leaveIdle(time.Hour)
		want("idle") // it has a second where there is room
		front.crowded()
		want("idle", "ended")
		want("later", "leaving")
		want("busy")
		front.conns.each(func(t *thriftConn) { t.conn.Close() })
		synctest.Wait()
	})
}

// TestThriftFaults sees that an intact call with wrong contents gets an
// application exception and the connection goes on, and that too many open
// calls are not taken.
func TestThriftFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newInstant(t)
		far, ended := dial(newThriftFront(b.core, &match.Rules{}, slog.Default(), nil, nil))
		r := bufio.NewReader(far)
		good := map[string]string{"verb": "kampanjsida", "txn": "0000000000000001", "lb": "1", "ram": "1", "standing": "0"}
		seq := int32(0)
		for field, value := range map[string]string{"verb": "okänd", "txn": "xyz", "lb": "x", "ram": "0", "standing": "1"} {
			seq++
			fields := map[string]string{field: value}
			for name, v := range good {
				if name != field {
					fields[name] = v
				}
			}
			go far.Write(fakes.AppendExecute(nil, seq, fields, nil))
			if reply, err := fakes.ReadReply(r); err != nil || reply.Type != thrift.Exception || reply.Seq != seq {
				t.Errorf("%s %q: %+v, %v, want an exception", field, value, reply, err)
			}
		}
		var calls []byte
		for range maxOpen + 1 {
			seq++
			good["txn"] = fmt.Sprintf("%016x", seq)
			calls = fakes.AppendExecute(calls, seq, good, []byte("hang"))
		}
		go far.Write(calls)
		if reply, err := fakes.ReadReply(r); err != nil || reply.Type != thrift.Exception || reply.Seq != seq {
			t.Errorf("one call too many: %+v, %v, want an exception", reply, err)
		}
		far.Close()
		<-ended
	})
}
