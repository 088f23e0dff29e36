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

// fakeCore is a Core that calls its callbacks before it returns.
type fakeCore struct {
	ready           bool
	trafficDisabled bool
	err             error // returned by all methods if the core has stopped
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

// sendCommand sends a line to a handler, and returns the line that it answers.
func sendCommand(t *testing.T, h *CommandHandler, line string) string {
	t.Helper()
	client, server := net.Pipe()
	served := make(chan struct{})
	go func() {
		defer close(served)
		h.Serve(transport.NewConn(server))
	}()
	if _, err := client.Write([]byte(line)); err != nil {
		t.Fatal(err)
	}
	answer, err := bufio.NewReader(client).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	if err := client.Close(); err != nil {
		t.Error(err)
	}
	<-served
	return answer
}

// TestCommandHandler_Answers checks the answer to each operators' command, and that only
// drain-on disables traffic.
func TestCommandHandler_Answers(t *testing.T) {
	stopped := errors.New("stopped")
	for _, test := range []struct {
		name    string
		core    fakeCore
		serving bool
		line    string
		want    string
	}{
		{"ready", fakeCore{ready: true}, true, "check\r\n", "done\r\n"},
		{"not yet serving", fakeCore{ready: true}, false, "check\r\n", "error not ready to serve\r\n"},
		{"not ready", fakeCore{}, true, "check\r\n", "error not ready to serve\r\n"},
		{"core stopped", fakeCore{err: stopped}, true, "check\r\n", "error stopped\r\n"},
		{"drain-on", fakeCore{}, true, "drain-on\r\n", "done\r\n"},
		{"drain-off with the core stopped", fakeCore{err: stopped}, true, "drain-off\n", "error stopped\r\n"},
		{"unknown command", fakeCore{}, true, "drain\r\n", "error \"drain\" is no call\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &CommandHandler{Core: &test.core, Serving: func() bool { return test.serving }}
				if got := sendCommand(t, h, test.line); got != test.want {
					t.Errorf("answer to %q = %q, want %q", test.line, got, test.want)
				}
				if want := test.line == "drain-on\r\n"; test.core.trafficDisabled != want {
					t.Errorf("traffic disabled after %q = %t, want %t", test.line, test.core.trafficDisabled, want)
				}
			})
		})
	}
}

// TestCommandHandler_ClosesSilentConnection checks that a connection on which no command
// arrives is closed after commandTimeout.
func TestCommandHandler_ClosesSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		began := time.Now()
		go (&CommandHandler{Core: &fakeCore{}, Serving: func() bool { return true }}).Serve(transport.NewConn(server))
		if _, err := client.Read(make([]byte, 1)); err == nil {
			t.Error("got an answer without a command, want a closed connection")
		}
		if took := time.Since(began); took < commandTimeout {
			t.Errorf("connection closed after %v, want at least %v", took, commandTimeout)
		}
		if err := client.Close(); err != nil {
			t.Error(err)
		}
		synctest.Wait()
	})
}
