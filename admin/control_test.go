package admin

import (
	"bufio"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"quincerail.example/quincerail/transport"
)

// fakeCore answers at once.
type fakeCore struct {
	ready           bool
	trafficDisabled bool
	err             error // that it has stopped with
}

func (f *fakeCore) Ready(reply func(bool)) error {
	if f.err == nil {
		reply(f.ready)
	}
	return f.err
}

func (f *fakeCore) SetTrafficDisabled(on bool, done func()) error {
	if f.err == nil {
		f.trafficDisabled = on
		done()
	}
	return f.err
}

// command sends a command, and returns the line that answers it.
func command(t *testing.T, h *CommandHandler, line string) string {
	t.Helper()
	near, far := net.Pipe()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		h.Serve(transport.NewConn(far))
	}()
	if _, err := near.Write([]byte(line)); err != nil {
		t.Fatal(err)
	}
	answer, err := bufio.NewReader(near).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	if err := near.Close(); err != nil {
		t.Error(err)
	}
	<-ended
	return answer
}

// TestCommands keeps the answers to operators' commands.
func TestCommands(t *testing.T) {
	stopped := errors.New("stopped")
	for _, x := range []struct {
		name    string
		core    fakeCore
		serving bool
		line    string
		want    string
	}{
		{"ready", fakeCore{ready: true}, true, "check\r\n", "done\r\n"},
		{"no callers let in", fakeCore{ready: true}, false, "check\r\n", "error not ready to serve\r\n"},
		{"not ready", fakeCore{}, true, "check\r\n", "error not ready to serve\r\n"},
		{"stopped", fakeCore{err: stopped}, true, "check\r\n", "error stopped\r\n"},
		{"drain-on", fakeCore{}, true, "drain-on\r\n", "done\r\n"},
		{"drain-off after the stop", fakeCore{err: stopped}, true, "drain-off\n", "error stopped\r\n"},
		{"unknown", fakeCore{}, true, "drain\r\n", "error \"drain\" is no call\r\n"},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &CommandHandler{Core: &x.core, Serving: func() bool { return x.serving }}
				if got := command(t, h, x.line); got != x.want {
					t.Errorf("%q, want %q", got, x.want)
				}
				if want := x.line == "drain-on\r\n"; x.core.trafficDisabled != want {
					t.Errorf("traffic disabled: %t, want %t", x.core.trafficDisabled, want)
				}
			})
		})
	}
}

// TestSilentOperator: a connection without a command ends after a time.
func TestSilentOperator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		began := time.Now()
		go (&CommandHandler{Core: &fakeCore{}, Serving: func() bool { return true }}).Serve(transport.NewConn(far))
		if _, err := near.Read(make([]byte, 1)); err == nil {
			t.Error("an answer to nothing")
		}
		if took := time.Since(began); took < commandTimeout {
			t.Errorf("it ends after %v, want %v at least", took, commandTimeout)
		}
		if err := near.Close(); err != nil {
			t.Error(err)
		}
		synctest.Wait()
	})
}
