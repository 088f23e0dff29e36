// Package admin serves operators. [CommandHandler] executes commands to this process, each of
// which is a line on a connection of its own. [NewHandler] returns HTTP endpoints for the
// fleet's rollouts and voters.
package admin

import (
	"bufio"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"quincerail.example/quincerail/protocol/control"
	"quincerail.example/quincerail/transport"
)

// MaxCommandConnections is the limit on open connections for commands. It leaves room for
// operators that connect and send no command.
const MaxCommandConnections = 48

// commandTimeout is the time after which a connection that has sent no command is closed.
const commandTimeout = 10 * time.Second

// The commands of the platform's operators.
const (
	commandCheck          = "check"     // answered with an error if the process is not ready to serve
	commandDisableTraffic = "drain-on"  // makes callers use other servers
	commandEnableTraffic  = "drain-off" // reverses commandDisableTraffic
)

var errNotReady = errors.New("not ready to serve")

// Core executes the commands. It is implemented by *dispatch.Core. If the core has stopped,
// its methods return an error and don't call their callback.
type Core interface {
	Ready(reply func(ready bool)) error
	SetTrafficDisabled(on bool, done func()) error
}

// CommandHandler serves the connections for operators' commands.
type CommandHandler struct {
	Core    Core
	Serving func() bool // reports whether the server accepts callers
}

// Serve executes the one command of a connection, and closes the connection after the answer.
// It does not log why a connection ended, since the operator sees that.
func (h *CommandHandler) Serve(c *transport.Conn) {
	var answered atomic.Bool // read by the goroutine that reclaims connections
	c.SetReceiveTimeouts(commandTimeout, commandTimeout, answered.Load)
	_ = c.Serve(func(r *bufio.Reader) error {
		if answered.Load() { // the read returns when the connection ends
			_, err := r.ReadByte()
			return err
		}
		command, err := control.Read(r)
		if err != nil && !errors.Is(err, control.ErrMalformed) {
			return err
		}
		answered.Store(true)
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

// execute executes a command. It calls answer exactly once, before it returns or later.
func (h *CommandHandler) execute(command string, answer func(error)) {
	if err := h.startCommand(command, answer); err != nil {
		answer(err)
	}
}

// startCommand starts the execution of a command. The core calls answer when the command is
// done. If startCommand returns an error, answer is not called.
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
