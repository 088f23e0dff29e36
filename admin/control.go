// Package admin serves the operators: commands to this process, each a line on a connection
// of its own, and HTTP endpoints about the fleet's rollouts and voters.
package admin

import (
	"bufio"
	"errors"
	"fmt"
	"time"

	"quincerail.example/quincerail/protocol/control"
	"quincerail.example/quincerail/transport"
)

// MaxCommandConnections is how many connections for commands may be open at once. Some
// operators connect and send no command.
const MaxCommandConnections = 48

// commandTimeout is how long a command may take to arrive.
const commandTimeout = 10 * time.Second

// The commands of the platform's operators.
const (
	commandCheck          = "check"     // answered without an error if the process is ready to serve
	commandDisableTraffic = "drain-on"  // has callers sent to other servers
	commandEnableTraffic  = "drain-off" // ends that
)

var errNotReady = errors.New("not ready to serve")

// Core executes the commands; *dispatch.Core is one. Its methods return an error if the core
// has stopped, and don't call back then.
type Core interface {
	Ready(reply func(ready bool)) error
	SetTrafficDisabled(on bool, done func()) error
}

// CommandHandler serves the connections for operators' commands.
type CommandHandler struct {
	Core    Core
	Serving func() bool // whether callers are let in
}

// Serve executes the one command of a connection, and closes the connection after the answer.
// The reason of a connection's end is not logged: the operator sees it.
func (h *CommandHandler) Serve(c *transport.Conn) {
	c.SetReadDeadline(time.Now().Add(commandTimeout))
	answered := false
	_ = c.Serve(func(r *bufio.Reader) error {
		if answered { // all that can come is the end of the connection
			_, err := r.ReadByte()
			return err
		}
		command, err := control.Read(r)
		if err != nil && !errors.Is(err, control.ErrMalformed) {
			return err
		}
		answered = true
		if err != nil {
			answerCommand(c, err)
			return nil
		}
		h.execute(command, func(err error) { answerCommand(c, err) })
		return nil
	})
}

func answerCommand(c *transport.Conn, err error) {
	c.Send(control.AppendAnswer(nil, err))
	c.Close()
}

// execute executes a command, and calls answer once, now or later.
func (h *CommandHandler) execute(command string, answer func(error)) {
	if err := h.startCommand(command, answer); err != nil {
		answer(err)
	}
}

// startCommand has a command executed. It calls answer later unless it returns an error.
func (h *CommandHandler) startCommand(command string, answer func(error)) error {
	switch command {
	case commandCheck:
		return h.Core.Ready(func(ready bool) {
			if ready && h.Serving() {
				answer(nil)
			} else {
				answer(errNotReady)
			}
		})
	case commandDisableTraffic:
		return h.Core.SetTrafficDisabled(true, func() { answer(nil) })
	case commandEnableTraffic:
		return h.Core.SetTrafficDisabled(false, func() { answer(nil) })
	}
	return fmt.Errorf("%q is no call", command)
}
